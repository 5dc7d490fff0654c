use {
    bytes::{Buf, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
};

/// Largest server-sent event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Why no further event can be read.
#[derive(Debug)]
pub enum EventFailure {
    /// The stream ended.
    Ended,
    /// The connection broke.
    Broken(hyper::Error),
    /// An event is larger than allowed or not UTF-8.
    Malformed,
}

/// Reads server-sent events from a body.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buffer: BytesMut,
    scanned: usize,
}

impl EventReader {
    /// Creates a reader.
    #[must_use]
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            scanned: 0,
        }
    }

    /// Reads the data of the next event. It may be cancelled and called again.
    ///
    /// # Errors
    /// See [`EventFailure`].
    pub async fn next(&mut self) -> Result<String, EventFailure> {
        loop {
            if let Some(data) = self.cut_event()? {
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

    /// Takes a whole event out of the buffer; events without data are skipped.
    fn cut_event(&mut self) -> Result<Option<String>, EventFailure> {
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
