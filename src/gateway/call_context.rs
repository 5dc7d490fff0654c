use {
    super::call_order::{CallOrder, DispatchMessage},
    crate::{
        adapters::{BackendPool, JsonClient, NodeRuntime},
        core::{
            dispatch::{DispatchEvent, DispatchStatus, RequestIntake},
            view::Configuration,
        },
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

/// Most requests between arrival and end in one gateway.
pub(super) const MAX_OPEN: usize = 4_096;

/// What every call shares.
#[derive(Debug)]
pub(super) struct CallContext {
    pub(super) runtime: NodeRuntime,
    pub(super) dispatcher: ActorRef<DispatchMessage>,
    pub(super) pool: BackendPool,
    pub(super) client: JsonClient,
    pub(super) ready: AtomicBool,
    next_ticket: AtomicU64,
    open: AtomicUsize,
}

/// Counts a call while it is open.
#[derive(Debug)]
pub(super) struct OpenGuard(Arc<CallContext>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallContext {
    pub(super) fn new(
        runtime: NodeRuntime,
        dispatcher: ActorRef<DispatchMessage>,
        client: JsonClient,
    ) -> Self {
        Self {
            runtime,
            dispatcher,
            pool: BackendPool::default(),
            client,
            ready: AtomicBool::new(true),
            next_ticket: AtomicU64::new(1),
            open: AtomicUsize::new(0),
        }
    }

    /// Counts a call in; `None` when too many are open.
    pub(super) fn enter(self: &Arc<Self>) -> Option<OpenGuard> {
        let guard = OpenGuard(Arc::clone(self));
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        (before < MAX_OPEN).then_some(guard)
    }

    /// Calls that are open.
    pub(super) fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    pub(super) fn ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Monotonic time as the decisions count it.
    pub(super) fn now(&self) -> Duration {
        self.runtime.started.elapsed()
    }

    /// The instant of a monotonic time.
    pub(super) fn instant(&self, at: Duration) -> Instant {
        Instant::from_std(self.runtime.started + at)
    }

    pub(super) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.runtime.view.borrow().configuration.clone()
    }

    /// Hands a request to the dispatcher; orders arrive on the returned queue.
    pub(super) fn submit(&self, intake: RequestIntake) -> mpsc::Receiver<CallOrder> {
        let (sender, orders) = mpsc::channel(2);
        let ticket = intake.ticket;
        let event = DispatchEvent::Arrived(Box::new(intake));
        let _ = self
            .dispatcher
            .send_message(DispatchMessage::Open(event, ticket, sender));
        orders
    }

    pub(super) fn tell(&self, event: DispatchEvent) {
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

/// Tells the dispatcher that the caller left, unless the call has ended.
#[derive(Debug)]
pub(super) struct LeaveGuard {
    context: Arc<CallContext>,
    ticket: Option<u64>,
}

impl LeaveGuard {
    pub(super) const fn new(context: Arc<CallContext>, ticket: u64) -> Self {
        Self {
            context,
            ticket: Some(ticket),
        }
    }

    /// The dispatcher knows the end of the call.
    pub(super) const fn disarm(&mut self) {
        self.ticket = None;
    }
}

impl Drop for LeaveGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.context.tell(DispatchEvent::CallerLeft(ticket));
        }
    }
}
