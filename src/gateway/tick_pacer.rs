use {
    super::call_order::DispatchMessage,
    crate::core::dispatch::DispatchEvent,
    ractor::ActorRef,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Time between two ticks while requests or claims are open; claims are
/// batched over a few milliseconds.
const BUSY_TICK: Duration = Duration::from_millis(4);

/// Time between two ticks without any; groups are checked at this pace.
const IDLE_TICK: Duration = Duration::from_millis(50);

/// Sends ticks to the dispatcher, seldom while it has nothing open.
#[derive(Debug, Clone, Default)]
pub(super) struct TickPacer {
    busy: Arc<AtomicBool>,
    woken: Arc<Notify>,
}

impl TickPacer {
    /// Notes whether requests or claims are open; a change to busy ends the idle wait.
    pub(super) fn set_busy(&self, busy: bool) {
        let was_busy = self.busy.swap(busy, Ordering::Relaxed);
        if busy && !was_busy {
            self.woken.notify_one();
        }
    }

    /// Sends ticks until the actor stops.
    pub(super) async fn run(self, actor: ActorRef<DispatchMessage>) {
        loop {
            if self.busy.load(Ordering::Relaxed) {
                sleep(BUSY_TICK).await;
            } else {
                // Both a wake-up and the end of the wait call for a tick.
                let _ = timeout(IDLE_TICK, self.woken.notified()).await;
            }
            let tick = DispatchMessage::Event(DispatchEvent::Tick);
            if actor.cast(tick).is_err() {
                return;
            }
        }
    }
}
