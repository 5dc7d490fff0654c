use {
    super::{ConnectionLimits, SMALL_BODY_BYTES},
    slotmap::{SlotMap, new_key_type},
    smallvec::SmallVec,
    std::time::Duration,
};

new_key_type! {
    /// A connection of a caller.
    pub struct ConnectionKey;
}

/// Connections that are to be closed.
pub type ClosedConnections = SmallVec<[ConnectionKey; 4]>;

/// Shortest time for which a caller reads nothing until its connection may be closed in favour of
/// other responses.
const MIN_BLOCKED: Duration = Duration::from_secs(1);

value_type! {
    /// What makes room for another response.
    #[derive(Copy, Eq)]
    pub enum ReaderVerdict {
        /// This connection is closed, since its caller does not read.
        Close(ConnectionKey),
        /// The caller of a connection may be found not to read after this time.
        Wait(Duration),
        /// All callers of large responses read them.
        AllRead,
    }
}

#[derive(Debug, Clone)]
struct ConnectionRecord {
    /// Bytes read since the last request began, as far as the read buffer may hold them.
    unparsed_bytes: usize,
    /// Bytes of the head of the running request.
    head_bytes: usize,
    /// Bytes of the last response that was buffered whole.
    reply_bytes: usize,
    is_busy: bool,
    last_active: Duration,
    /// Time since which the caller has taken no byte of a response; none when nothing waits.
    blocked_since: Option<Duration>,
}

/// Counts the connections of callers and the bytes that they hold beside bodies, and decides which
/// are closed: those that have been idle for the longest time when there is no room, and those whose
/// callers don't read. A connection whose request has not been read whole counts as idle since its
/// last byte.
#[derive(Debug)]
pub struct ConnectionLedger {
    limits: ConnectionLimits,
    records: SlotMap<ConnectionKey, ConnectionRecord>,
    held_bytes: usize,
}

impl ConnectionLedger {
    /// Creates a ledger without connections.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::intake::{ConnectionLedger, ConnectionLimits},
    /// };
    ///
    /// let limits = ConnectionLimits { connections: 1, bytes: 1_000_000, base_bytes: 10_000 };
    /// let mut ledger = ConnectionLedger::new(limits);
    /// let (first, closed) = ledger.admit(Duration::ZERO).unwrap();
    /// assert!(closed.is_empty());
    /// let (_, closed) = ledger.admit(Duration::from_secs(1)).unwrap();
    /// assert_eq!(closed.as_slice(), [first]);
    /// ```
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            records: SlotMap::with_key(),
            held_bytes: 0,
        }
    }

    /// Number of connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.records.len()
    }

    /// Bytes that count for all connections.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Adds a connection; also returns those that are closed for it. None when all others are
    /// busy, and it is to be closed itself.
    pub fn admit(&mut self, now: Duration) -> Option<(ConnectionKey, ClosedConnections)> {
        let mut closed = ClosedConnections::new();
        if !self.can_make_room(self.limits.base_bytes, None) {
            return None;
        }
        if self.records.len() >= self.limits.connections {
            let oldest = self.oldest_idle(None)?;
            self.remove(oldest);
            closed.push(oldest);
        }
        if !self.make_room(self.limits.base_bytes, None, &mut closed) {
            return None;
        }
        let key = self.records.insert(ConnectionRecord {
            unparsed_bytes: 0,
            head_bytes: 0,
            reply_bytes: 0,
            is_busy: false,
            last_active: now,
            blocked_since: None,
        });
        self.held_bytes += self.limits.base_bytes;
        Some((key, closed))
    }

    /// Counts bytes that a connection has read into a buffer of at most `buffer_bytes`. Returns the
    /// connections that are closed for them; none when this one is to be closed.
    pub fn note_read(
        &mut self,
        now: Duration,
        key: ConnectionKey,
        bytes: usize,
        buffer_bytes: usize,
    ) -> Option<ClosedConnections> {
        let record = self.records.get_mut(key)?;
        record.last_active = now;
        let unparsed = (record.unparsed_bytes + bytes).min(buffer_bytes);
        let added = unparsed - record.unparsed_bytes;
        let is_busy = record.is_busy;
        let mut closed = ClosedConnections::new();
        // A request that has begun is not cut off for the buffer of its connection.
        if !self.make_room(added, Some(key), &mut closed) && !is_busy {
            self.remove(key);
            return None;
        }
        self.records[key].unparsed_bytes = unparsed;
        self.held_bytes += added;
        Some(closed)
    }

    /// Counts the head of a request, which has been parsed; its body is still to be read. Returns
    /// the connections that are closed for it; none when this one is to be closed.
    pub fn begin_request(
        &mut self,
        now: Duration,
        key: ConnectionKey,
        head_bytes: usize,
    ) -> Option<ClosedConnections> {
        let record = self.records.get_mut(key)?;
        self.held_bytes -= record.unparsed_bytes + record.head_bytes;
        record.unparsed_bytes = 0;
        record.head_bytes = 0;
        record.last_active = now;
        let mut closed = ClosedConnections::new();
        if !self.make_room(head_bytes, Some(key), &mut closed) {
            self.remove(key);
            return None;
        }
        self.records[key].head_bytes = head_bytes;
        self.held_bytes += head_bytes;
        Some(closed)
    }

    /// Marks a connection as busy: its request was read whole and runs.
    pub fn run_request(&mut self, now: Duration, key: ConnectionKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.is_busy = true;
            record.last_active = now;
        }
    }

    /// Marks the request of a connection as finished, and its response as built.
    pub fn end_request(&mut self, now: Duration, key: ConnectionKey) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        self.held_bytes -= record.head_bytes;
        record.head_bytes = 0;
        record.is_busy = false;
        record.last_active = now;
    }

    /// Notes the length of a response that is buffered whole.
    pub fn begin_reply(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(record) = self.records.get_mut(key) {
            record.reply_bytes = bytes;
        }
    }

    /// Notes whether the caller takes no bytes at present.
    pub fn note_blocked(&mut self, now: Duration, key: ConnectionKey, is_blocked: bool) {
        let Some(record) = self.records.get_mut(key) else {
            return;
        };
        record.last_active = now;
        record.blocked_since = is_blocked.then(|| record.blocked_since.unwrap_or(now));
    }

    /// Removes the connections whose callers have taken no byte for `limit`.
    pub fn remove_stalled(&mut self, now: Duration, limit: Duration) -> ClosedConnections {
        let mut stalled = ClosedConnections::new();
        for (key, record) in &self.records {
            if let Some(since) = record.blocked_since
                && now.saturating_sub(since) >= limit
            {
                stalled.push(key);
            }
        }
        for key in &stalled {
            self.remove(*key);
        }
        stalled
    }

    /// Removes the connection whose caller has read nothing of a response for the longest time, a
    /// second or more, so that its memory serves others. Responses up to [`SMALL_BODY_BYTES`] are
    /// left alone.
    pub fn remove_slowest_reader(&mut self, now: Duration) -> ReaderVerdict {
        let mut slowest: Option<(Duration, ConnectionKey)> = None;
        for (key, record) in &self.records {
            let Some(since) = record.blocked_since else {
                continue;
            };
            if record.reply_bytes > SMALL_BODY_BYTES
                && slowest.is_none_or(|(other, _)| since < other)
            {
                slowest = Some((since, key));
            }
        }
        let Some((since, key)) = slowest else {
            return ReaderVerdict::AllRead;
        };
        let left = (since + MIN_BLOCKED).saturating_sub(now);
        if !left.is_zero() {
            return ReaderVerdict::Wait(left);
        }
        self.remove(key);
        ReaderVerdict::Close(key)
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, key: ConnectionKey) {
        let Some(record) = self.records.remove(key) else {
            return;
        };
        self.held_bytes -= self.bytes_of(&record);
    }

    const fn bytes_of(&self, record: &ConnectionRecord) -> usize {
        self.limits.base_bytes + record.unparsed_bytes + record.head_bytes
    }

    /// Closes idle connections until there is room for `bytes`; false when there is none.
    fn make_room(
        &mut self,
        bytes: usize,
        except: Option<ConnectionKey>,
        closed: &mut ClosedConnections,
    ) -> bool {
        if !self.can_make_room(bytes, except) {
            return false;
        }
        while self.held_bytes + bytes > self.limits.bytes {
            let Some(oldest) = self.oldest_idle(except) else {
                return false;
            };
            self.remove(oldest);
            closed.push(oldest);
        }
        true
    }

    /// True when enough bytes are free, or held by idle connections. Without this check connections
    /// would be closed for one that gets no room in the end.
    fn can_make_room(&self, bytes: usize, except: Option<ConnectionKey>) -> bool {
        if self.held_bytes + bytes <= self.limits.bytes {
            return true;
        }
        let idle = self.idle(except).map(|(_, record)| self.bytes_of(record));
        self.held_bytes.saturating_sub(idle.sum::<usize>()) + bytes <= self.limits.bytes
    }

    fn oldest_idle(&self, except: Option<ConnectionKey>) -> Option<ConnectionKey> {
        let oldest = self
            .idle(except)
            .min_by_key(|(_, record)| record.last_active);
        oldest.map(|(key, _)| key)
    }

    fn idle(
        &self,
        except: Option<ConnectionKey>,
    ) -> impl Iterator<Item = (ConnectionKey, &ConnectionRecord)> {
        self.records.iter().filter(move |(key, record)| {
            !record.is_busy && record.blocked_since.is_none() && Some(*key) != except
        })
    }
}
