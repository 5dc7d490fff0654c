//! The connections of callers, as many as the memory of a gateway holds. When there is no room for
//! another one, the connection that has had no whole request for the longest time is closed.

use {
    slotmap::{SlotMap, new_key_type},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    tokio::task::JoinHandle,
};

/// Most connections of a gateway, however much memory it has.
const MAX_CONNECTIONS: u64 = 4_096;

/// Fewest connections of a gateway with little memory.
const MIN_CONNECTIONS: u64 = 16;

/// Memory of a connection: the read buffer of HTTP/1 and the window of HTTP/2.
const CONNECTION_BYTES: u64 = 96 * 1024;

new_key_type! {
    struct SlotKey;
}

/// The open connections of callers.
#[derive(Debug)]
pub(super) struct CallerSlots {
    limit: usize,
    open: Mutex<SlotMap<SlotKey, OpenConnection>>,
}

#[derive(Debug)]
struct OpenConnection {
    /// Whole requests that have not ended.
    running: usize,
    /// Time of the last head or of the end of the last request.
    idle_since: Instant,
    /// None until the task of the connection has started.
    task: Option<JoinHandle<()>>,
}

/// Place of an open connection; freed when dropped.
#[derive(Debug)]
pub(super) struct CallerSlot {
    slots: Arc<CallerSlots>,
    key: SlotKey,
}

/// Keeps a connection open while a whole request runs.
#[derive(Debug)]
pub(super) struct BusySlot(Arc<CallerSlot>);

impl CallerSlots {
    /// Takes three eighths of the memory for connections.
    pub(super) fn new(memory_mb: u64) -> Self {
        let bytes = memory_mb.saturating_mul(1024 * 1024) / 8 * 3;
        let limit = (bytes / CONNECTION_BYTES).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
        Self {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            open: Mutex::new(SlotMap::with_key()),
        }
    }

    /// Place of a new connection; none while all others have whole requests. Returns once the
    /// connection that is closed for it has ended.
    pub(super) async fn admit(self: &Arc<Self>) -> Option<Arc<CallerSlot>> {
        if self.is_full() {
            let task = self.take_oldest()?;
            task.abort();
            // The task was cancelled, or had ended already.
            let _ = task.await;
        }
        let mut open = self.lock();
        let key = open.insert(OpenConnection {
            running: 0,
            idle_since: Instant::now(),
            task: None,
        });
        let slots = Arc::clone(self);
        Some(Arc::new(CallerSlot { slots, key }))
    }

    fn is_full(&self) -> bool {
        self.lock().len() >= self.limit
    }

    /// Task of the connection that is closed for another one; none when none may be closed.
    fn take_oldest(&self) -> Option<JoinHandle<()>> {
        let mut open = self.lock();
        let idle = open.iter().filter(|(_, one)| one.running == 0);
        let (oldest, _) = idle.min_by_key(|(_, one)| one.idle_since)?;
        open.remove(oldest)?.task
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<SlotKey, OpenConnection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallerSlot {
    /// Sets the task that is aborted when the connection has to be closed.
    pub(super) fn set_task(&self, task: JoinHandle<()>) {
        if let Some(one) = self.slots.lock().get_mut(self.key) {
            one.task = Some(task);
        }
    }

    /// Records that the head of a request has arrived.
    pub(super) fn touch(&self) {
        if let Some(one) = self.slots.lock().get_mut(self.key) {
            one.idle_since = Instant::now();
        }
    }

    /// Records that a request was read whole; it runs until the result is dropped.
    pub(super) fn begin_request(self: &Arc<Self>) -> BusySlot {
        if let Some(one) = self.slots.lock().get_mut(self.key) {
            one.running += 1;
        }
        BusySlot(Arc::clone(self))
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        self.slots.lock().remove(self.key);
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        if let Some(one) = self.0.slots.lock().get_mut(self.0.key) {
            one.running -= 1;
            one.idle_since = Instant::now();
        }
    }
}
