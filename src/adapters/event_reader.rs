use {
    bytes::{Buf, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// Maximum size of a server-sent event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why no further server-sent event can be read.
#[derive(Debug)]
pub enum EventFailure {
    /// The body ended without an error; an incomplete last event is discarded.
    Ended,
    /// The connection broke before the end of the body.
    Broken(hyper::Error),
    /// An event is larger than 1 MiB or not UTF-8.
    Malformed,
}

/// Splits the body of a response into server-sent events.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    /// Bytes at the start of `buffer` that were searched for the end of an event.
    scanned: usize,
}

impl EventReader {
    /// Creates a reader at the start of a body.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Reads the next event that has data, and returns its data lines joined with line feeds. The
    /// future may be dropped and `next` called again without a loss.
    ///
    /// # Errors
    /// See [`EventFailure`].
    pub async fn next(&mut self) -> Result<String, EventFailure> {
        loop {
            if let Some(data) = self.take_event()? {
                return Ok(data);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventFailure::Malformed);
            }
            match self.body.frame().await {
                None => return Err(EventFailure::Ended),
                Some(Err(error)) => return Err(EventFailure::Broken(error)),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    /// Removes the next complete event with data from the buffer, and any before it without data.
    fn take_event(&mut self) -> Result<Option<String>, EventFailure> {
        loop {
            let start = self.scanned.saturating_sub(1);
            let rest = &self.buffer[start..];
            let Some(end) = rest.windows(2).position(|pair| pair == b"\n\n") else {
                self.scanned = self.buffer.len();
                return Ok(None);
            };
            let event = self.buffer.split_to(start + end);
            self.buffer.advance(2);
            self.scanned = 0;
            let text = std::str::from_utf8(&event).map_err(|_| EventFailure::Malformed)?;
            let data: Vec<&str> = text
                .lines()
                .filter_map(|line| line.strip_prefix("data:"))
                .map(str::trim_start)
                .collect();
            if !data.is_empty() {
                return Ok(Some(data.join("\n")));
            }
        }
    }
}
