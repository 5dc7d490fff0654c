use {
    bytes::{Buf, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// Reads server-sent events from a response body.
#[derive(Debug)]
pub struct EventStream {
    body: Incoming,
    buffer: BytesMut,
}

impl EventStream {
    /// Wraps a body of which nothing has been read.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the next event, without the blank line that ends it; `None` at the end of the body
    /// or when the connection breaks.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
                let event = self.buffer.split_to(end);
                self.buffer.advance(2);
                return Some(String::from_utf8_lossy(&event).into_owned());
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }

    /// Reads all remaining events, up to the end of the body or a broken connection.
    pub async fn read_to_end(&mut self) -> Vec<String> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }
}
