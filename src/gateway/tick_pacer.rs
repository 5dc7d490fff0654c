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

/// Time between two ticks while requests or claims are open. It is short because claims are batched
/// over a few milliseconds.
const BUSY_TICK_INTERVAL: Duration = Duration::from_millis(4);

/// Time between two ticks while no request or claim is open. Groups are checked at this interval.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Sends ticks to the dispatcher, less often while no request or claim is open.
#[derive(Debug, Clone, Default)]
pub(super) struct TickPacer {
    busy: Arc<AtomicBool>,
    became_busy: Arc<Notify>,
}

impl TickPacer {
    /// Sets whether requests or claims are open. A change to busy ends the idle wait, so that the
    /// next tick comes at once.
    pub(super) fn set_busy(&self, busy: bool) {
        let was_busy = self.busy.swap(busy, Ordering::Relaxed);
        if busy && !was_busy {
            self.became_busy.notify_one();
        }
    }

    /// Sends ticks until the actor stops.
    pub(super) async fn run(self, actor: ActorRef<DispatchMessage>) {
        loop {
            if self.busy.load(Ordering::Relaxed) {
                sleep(BUSY_TICK_INTERVAL).await;
            } else {
                // A tick is sent in either case: on the change to busy and on the timeout.
                let _ = timeout(IDLE_TICK_INTERVAL, self.became_busy.notified()).await;
            }
            let tick = DispatchMessage::Event(DispatchEvent::Tick);
            if actor.cast(tick).is_err() {
                return;
            }
        }
    }
}
