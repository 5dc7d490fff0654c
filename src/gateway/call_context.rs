use {
    super::{
        call_order::{CallOrder, DispatchMessage},
        caller_slots::BusySlot,
    },
    crate::{
        adapters::{BackendPool, JsonClient, ProcessRuntime},
        core::{
            dispatch::{DispatchEvent, DispatchStatus, RequestIntake},
            intake::IntakeLimits,
            view::Configuration,
        },
        intake::{BodyIntake, BodyLease},
    },
    ractor::ActorRef,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::Instant,
    },
};

/// Memory limit of a gateway whose settings do not state it, in MiB.
pub(super) const DEFAULT_MEMORY_MB: u64 = 1_024;

/// Maximum open requests of one gateway; further ones are refused.
pub(super) const MAX_OPEN_REQUESTS: usize = 4_096;

/// Shared state of all calls of a gateway.
#[derive(Debug)]
pub(super) struct CallContext {
    pub(super) runtime: ProcessRuntime,
    pub(super) dispatcher: ActorRef<DispatchMessage>,
    pub(super) pool: BackendPool,
    pub(super) client: JsonClient,
    /// Limits the memory for the bodies of requests.
    pub(super) intake: Arc<BodyIntake>,
    /// False once the gateway drains; `/readyz` checks for a configuration separately.
    pub(super) ready: AtomicBool,
    next_ticket: AtomicU64,
    open_requests: AtomicUsize,
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    context: Arc<CallContext>,
    /// Keeps the bytes of the request counted.
    pub(super) lease: Option<Arc<BodyLease>>,
    /// Keeps the connection of the request from being closed for another one.
    pub(super) busy: Option<BusySlot>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.context.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallContext {
    pub(super) fn new(
        runtime: ProcessRuntime,
        dispatcher: ActorRef<DispatchMessage>,
        client: JsonClient,
        memory_mb: u64,
    ) -> Self {
        let limits = IntakeLimits::for_memory(Some(memory_mb), None);
        Self {
            runtime,
            dispatcher,
            pool: BackendPool::default(),
            client,
            intake: BodyIntake::new(limits),
            ready: AtomicBool::new(true),
            next_ticket: AtomicU64::new(1),
            open_requests: AtomicUsize::new(0),
        }
    }

    /// Counts a new request as open; `None` if [`MAX_OPEN_REQUESTS`] are open already.
    pub(super) fn open_request(self: &Arc<Self>) -> Option<RequestGuard> {
        let guard = RequestGuard {
            context: Arc::clone(self),
            lease: None,
            busy: None,
        };
        let count = self.open_requests.fetch_add(1, Ordering::Relaxed);
        (count < MAX_OPEN_REQUESTS).then_some(guard)
    }

    /// Number of open requests.
    pub(super) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Number for a new request, unique within the process and counted from 1.
    pub(super) fn next_ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Monotonic time since the process started, as used in dispatcher events.
    pub(super) fn now(&self) -> Duration {
        self.runtime.started.elapsed()
    }

    /// Converts a monotonic time since the process started into a tokio instant.
    pub(super) fn to_instant(&self, at: Duration) -> Instant {
        Instant::from_std(self.runtime.started + at)
    }

    pub(super) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.runtime.view.borrow().configuration.clone()
    }

    /// Hands a request to the dispatcher, whose orders arrive on the returned queue. The queue ends
    /// when the dispatcher has forgotten the request.
    pub(super) fn submit(&self, intake: RequestIntake) -> mpsc::Receiver<CallOrder> {
        let (sender, orders) = mpsc::channel(2);
        let ticket = intake.ticket;
        let event = DispatchEvent::Arrived(Box::new(intake));
        let _ = self
            .dispatcher
            .send_message(DispatchMessage::Open(event, ticket, sender));
        orders
    }

    pub(super) fn send_event(&self, event: DispatchEvent) {
        let _ = self.dispatcher.send_message(DispatchMessage::Event(event));
    }

    pub(super) async fn status(&self) -> DispatchStatus {
        let (sender, reply) = oneshot::channel();
        let _ = self
            .dispatcher
            .send_message(DispatchMessage::Status(sender));
        reply.await.unwrap_or_default()
    }
}

/// Reports on drop that the caller left, unless it was disarmed before.
#[derive(Debug)]
pub(super) struct DisconnectGuard {
    context: Arc<CallContext>,
    ticket: Option<u64>,
}

impl DisconnectGuard {
    pub(super) const fn new(context: Arc<CallContext>, ticket: u64) -> Self {
        Self {
            context,
            ticket: Some(ticket),
        }
    }

    /// Prevents the report, for a call whose end the dispatcher knows already.
    pub(super) const fn disarm(&mut self) {
        self.ticket = None;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.context.send_event(DispatchEvent::CallerLeft(ticket));
        }
    }
}
