value_type! {
    /// Result of checking whole events.
    #[derive(Eq)]
    pub struct CheckedEvents {
        /// Bytes from the start that hold events of the stream, to be passed on.
        pub length: usize,
        /// Number of events in them.
        pub count: usize,
        /// Why the bytes after them are no events of the stream; none when there are no others.
        pub fault: Option<&'static str>,
    }
}

/// Checks that the events of a stream follow each other over all servers that send parts of it, and
/// that the bytes between them are events. A faulty server may send an error in place of events, or
/// events that were sent before.
#[derive(Debug, Clone)]
pub struct EventOrder {
    last: Option<u64>,
    /// True while each identifier was greater than the one before it by 1.
    is_consecutive: bool,
    /// True until the first numbered event of a server that resumes the stream.
    is_resuming: bool,
    has_unnumbered: bool,
}

impl Default for EventOrder {
    fn default() -> Self {
        Self {
            last: None,
            is_consecutive: true,
            is_resuming: false,
            has_unnumbered: false,
        }
    }
}

/// What the lines of one event say.
#[derive(Default)]
struct EventLines {
    id: Option<u64>,
    /// True when the event has other lines than comments.
    has_fields: bool,
}

impl EventOrder {
    /// Identifier of the last numbered event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// True when the stream can go on at another server: it has no events yet, or all of them have
    /// identifiers.
    #[must_use]
    pub const fn can_resume(&self) -> bool {
        !self.has_unnumbered
    }

    /// The next events come from a server that resumes the stream.
    pub const fn begin_resumption(&mut self) {
        self.is_resuming = self.last.is_some();
    }

    /// Checks bytes that end with the end of an event.
    ///
    /// ```
    /// use toucanring::core::retry::EventOrder;
    ///
    /// let mut order = EventOrder::default();
    /// assert_eq!(order.check(b"id: 1\ndata: a\n\n").fault, None);
    /// let checked = order.check(b"id: 2\ndata: b\n\nHTTP/1.1 503 Full\r\n\r\n");
    /// assert_eq!(checked.length, 15);
    /// assert_eq!(checked.fault, Some("foreign_bytes"));
    /// ```
    pub fn check(&mut self, bytes: &[u8]) -> CheckedEvents {
        let mut checked = CheckedEvents {
            length: 0,
            count: 0,
            fault: None,
        };
        let mut position = 0;
        let mut event = EventLines::default();
        for line in bytes.split_inclusive(|byte| *byte == b'\n') {
            position += line.len();
            let line = line.trim_ascii_end();
            let verdict = if line.is_empty() {
                self.accept(&event)
            } else {
                event.read(line)
            };
            if let Err(fault) = verdict {
                checked.fault = Some(fault);
                return checked;
            }
            if line.is_empty() {
                checked.count += usize::from(event.has_fields);
                checked.length = position;
                event = EventLines::default();
            }
        }
        checked
    }

    fn accept(&mut self, event: &EventLines) -> Result<(), &'static str> {
        if !event.has_fields {
            return Ok(());
        }
        let Some(id) = event.id else {
            if self.is_resuming {
                return Err("unnumbered_event");
            }
            self.has_unnumbered = true;
            return Ok(());
        };
        if let Some(last) = self.last {
            let is_next = last.checked_add(1) == Some(id);
            if id <= last {
                return Err("repeated_event");
            }
            // Identifiers need only increase, so a gap shows only beside events without one.
            if self.is_resuming && self.is_consecutive && !is_next {
                return Err("missing_event");
            }
            self.is_consecutive &= is_next;
        }
        self.last = Some(id);
        self.is_resuming = false;
        Ok(())
    }
}

impl EventLines {
    fn read(&mut self, line: &[u8]) -> Result<(), &'static str> {
        if line.starts_with(b":") {
            return Ok(());
        }
        if !is_field(line) {
            return Err("foreign_bytes");
        }
        self.has_fields = true;
        if let Some(id) = event_id(line) {
            self.id = Some(id);
        }
        Ok(())
    }
}

/// True for a field of an event: a name in lower case, which other protocols do not begin with, and
/// a colon. The field `data` may stand alone.
fn is_field(line: &[u8]) -> bool {
    let Some(end) = line.iter().position(|byte| *byte == b':') else {
        return line == b"data";
    };
    let is_name_byte =
        |byte: &u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || *byte == b'-';
    line[..end].iter().all(is_name_byte)
}

/// Numeric identifier of an event, when the line states one.
///
/// ```
/// assert_eq!(toucanring::core::retry::event_id(b"id: 7"), Some(7));
/// ```
#[must_use]
pub fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    let text = std::str::from_utf8(value).ok()?;
    text.trim().parse().ok()
}
