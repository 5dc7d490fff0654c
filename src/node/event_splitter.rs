use {
    crate::core::retry::event_id,
    bytes::{Bytes, BytesMut},
};

/// Largest event in bytes that is waited for.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Bytes of the longest sequence that ends an event, `\r\n\r\n`.
const MAX_BOUNDARY_BYTES: usize = 4;

/// Cuts the bytes of an event stream into whole events, so that an event is passed on only when all
/// of it has arrived.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Length of the prefix of `pending` that was searched and holds no end of an event.
    searched: usize,
}

/// One or more whole events, with their count and identifiers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EventBatch {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// First and last numeric event identifier; none when no event has one.
    pub ids: Option<(u64, u64)>,
    /// Number of events with a numeric identifier, at least 1.
    pub count: usize,
}

impl EventSplitter {
    /// Adds bytes from the stream; returns the events that are complete now, or none.
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
        // The end of an event may be split between two pieces.
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

    /// True when bytes of an incomplete event are left.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// True when the incomplete event is larger than any valid one.
    #[must_use]
    pub fn is_oversized(&self) -> bool {
        self.pending.len() > MAX_EVENT_BYTES
    }
}

/// Position after the last blank line, which ends an event.
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
