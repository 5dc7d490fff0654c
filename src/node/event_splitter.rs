use bytes::{Bytes, BytesMut};

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of the longest mark that ends an event.
const MAX_BOUNDARY_BYTES: usize = 4;

/// Cuts the bytes of an event stream into whole events, so that nothing of an
/// event is passed on before all of it is there.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Pending bytes that hold no end of an event.
    searched: usize,
}

/// Whole events, in one piece, with what they say of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events.
    pub bytes: Bytes,
    /// Identifiers of the events that carry one, first and last.
    pub ids: Option<(u64, u64)>,
    /// Number of events.
    pub count: usize,
}

impl EventSplitter {
    /// Adds bytes; returns the events that are whole now.
    ///
    /// ```
    /// use toucanring::node::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert_eq!(splitter.push(b"id: 1\ndata: a\n"), None);
    /// let batch = splitter.push(b"\nid: 2\n").unwrap();
    /// assert_eq!(batch.ids, Some((1, 1)));
    /// assert!(splitter.has_pending());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Option<EventBatch> {
        self.pending.extend_from_slice(bytes);
        // An end may have begun in the piece before.
        let from = self.searched.saturating_sub(MAX_BOUNDARY_BYTES - 1);
        let Some(end) = last_event_end(&self.pending[from..]) else {
            self.searched = self.pending.len();
            return None;
        };
        let end = from + end;
        self.searched = 0;
        let whole = self.pending.split_to(end).freeze();
        let mut ids = None;
        let mut count = 0;
        for line in whole.split(|byte| *byte == b'\n') {
            if is_blank(line) {
                continue;
            }
            let Some(id) = event_id(line) else {
                continue;
            };
            count += 1;
            ids = Some(match ids {
                None => (id, id),
                Some((first, _)) => (first, id),
            });
        }
        Some(EventBatch {
            bytes: whole,
            ids,
            count: count.max(1),
        })
    }

    /// True when part of an event is left.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// True when the event in progress is larger than any proper one.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Position after the last blank line.
fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let unix = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n");
    let unix = unix.map(|at| at + 2);
    let crlf = crlf.map(|at| at + 4);
    unix.max(crlf)
}

fn is_blank(line: &[u8]) -> bool {
    line.is_empty() || line == b"\r"
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
