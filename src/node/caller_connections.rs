//! Open connections of callers, and the memory that they take beside bodies and responses.

use {
    super::{node_clock::now, node_context::lock},
    crate::core::intake::{
        ClosedConnections, ConnectionKey, ConnectionLedger, ConnectionLimits, ReaderVerdict,
    },
    slotmap::SecondaryMap,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Connections of callers with the signals that close them.
#[derive(Debug)]
pub struct CallerConnections {
    state: Mutex<ConnectionState>,
}

#[derive(Debug)]
struct ConnectionState {
    ledger: ConnectionLedger,
    closers: SecondaryMap<ConnectionKey, Arc<Notify>>,
    /// Connections that were closed to make room and not counted in a metric yet.
    closed: usize,
}

/// A connection that counts until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: Arc<CallerConnections>,
    key: ConnectionKey,
    /// Notified when the connection is to be closed.
    pub(super) closer: Arc<Notify>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.connections.state);
        state.ledger.remove(self.key);
        state.closers.remove(self.key);
    }
}

/// Keeps a connection busy with a request until it is dropped.
#[derive(Debug)]
pub struct BusyGuard(Arc<ConnectionGuard>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        let mut state = lock(&self.0.connections.state);
        state.ledger.end_request(now(), self.0.key);
    }
}

impl ConnectionState {
    fn close(&mut self, keys: &[ConnectionKey]) {
        for key in keys {
            if let Some(closer) = self.closers.remove(*key) {
                closer.notify_one();
            }
        }
    }

    /// Closes the connections chosen by the ledger; false when the asking one has to be closed.
    fn apply(&mut self, verdict: Option<ClosedConnections>) -> bool {
        let Some(closed) = verdict else {
            self.closed += 1;
            return false;
        };
        self.closed += closed.len();
        self.close(&closed);
        true
    }
}

impl CallerConnections {
    /// Creates the list of no connections.
    #[must_use]
    pub fn new(limits: ConnectionLimits) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(ConnectionState {
                ledger: ConnectionLedger::new(limits),
                closers: SecondaryMap::new(),
                closed: 0,
            }),
        })
    }

    /// Number of open connections, and their bytes.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = lock(&self.state);
        (state.ledger.connections(), state.ledger.held_bytes())
    }

    /// Number of connections that were closed to make room since the last call.
    pub fn take_closed(&self) -> usize {
        std::mem::take(&mut lock(&self.state).closed)
    }

    /// Adds a connection; none when there is no room for it.
    pub(super) fn admit(self: &Arc<Self>) -> Option<Arc<ConnectionGuard>> {
        let mut state = lock(&self.state);
        let (key, closed) = state.ledger.admit(now())?;
        state.closed += closed.len();
        state.close(&closed);
        let signal = Arc::new(Notify::new());
        state.closers.insert(key, Arc::clone(&signal));
        drop(state);
        Some(Arc::new(ConnectionGuard {
            connections: Arc::clone(self),
            key,
            closer: signal,
        }))
    }

    /// Closes the connections whose callers have taken no byte of a response for `limit`.
    pub fn close_stalled(&self, limit: Duration) -> usize {
        let mut state = lock(&self.state);
        let stalled: ClosedConnections = state.ledger.remove_stalled(now(), limit);
        state.close(&stalled);
        stalled.len()
    }

    /// Closes the connection whose caller has left a large response unread for the longest time, if
    /// that is long enough.
    pub fn close_slowest_reader(&self) -> ReaderVerdict {
        let mut state = lock(&self.state);
        let verdict = state.ledger.remove_slowest_reader(now());
        if let ReaderVerdict::Close(key) = verdict {
            state.close(&[key]);
        }
        verdict
    }
}

impl ConnectionGuard {
    /// Counts bytes that were read; false when the connection is to be closed.
    pub(super) fn note_read(&self, bytes: usize, buffer_bytes: usize) -> bool {
        let mut state = lock(&self.connections.state);
        let verdict = state.ledger.note_read(now(), self.key, bytes, buffer_bytes);
        state.apply(verdict)
    }

    /// Notes whether the caller takes no bytes at present.
    pub(super) fn note_blocked(&self, is_blocked: bool) {
        let mut state = lock(&self.connections.state);
        state.ledger.note_blocked(now(), self.key, is_blocked);
    }

    /// Notes the length of a response that is buffered whole.
    pub(super) fn begin_reply(&self, bytes: usize) {
        lock(&self.connections.state)
            .ledger
            .begin_reply(self.key, bytes);
    }

    /// Counts the head of a request; false when the connection is to be closed.
    pub(super) fn begin_request(&self, head_bytes: usize) -> bool {
        let mut state = lock(&self.connections.state);
        let verdict = state.ledger.begin_request(now(), self.key, head_bytes);
        state.apply(verdict)
    }

    /// Marks the connection as busy until the result is dropped: its request was read whole.
    pub(super) fn run_request(self: &Arc<Self>) -> BusyGuard {
        lock(&self.connections.state)
            .ledger
            .run_request(now(), self.key);
        BusyGuard(Arc::clone(self))
    }
}
