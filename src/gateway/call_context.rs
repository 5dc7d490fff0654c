use {
    super::call_order::{CallOrder, DeskMessage},
    crate::{
        adapters::{BackendPool, JsonClient, NodeRuntime},
        core::{
            dispatch::{DeskEvent, DeskStatus, RequestIntake},
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
    pub(super) desk: ActorRef<DeskMessage>,
    pub(super) pool: BackendPool,
    pub(super) client: JsonClient,
    pub(super) ready: AtomicBool,
    next_ticket: AtomicU64,
    open: AtomicUsize,
}

/// Counts a call while it lives.
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
        desk: ActorRef<DeskMessage>,
        client: JsonClient,
    ) -> Self {
        Self {
            runtime,
            desk,
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

    /// Hands a request to the desk; orders arrive on the returned queue.
    pub(super) fn submit(&self, intake: RequestIntake) -> mpsc::Receiver<CallOrder> {
        let (sender, orders) = mpsc::channel(2);
        let ticket = intake.ticket;
        let event = DeskEvent::Arrived(Box::new(intake));
        let _ = self
            .desk
            .send_message(DeskMessage::Open(event, ticket, sender));
        orders
    }

    pub(super) fn tell(&self, event: DeskEvent) {
        let _ = self.desk.send_message(DeskMessage::Event(event));
    }

    pub(super) async fn status(&self) -> DeskStatus {
        let (sender, reply) = oneshot::channel();
        let _ = self.desk.send_message(DeskMessage::Status(sender));
        reply.await.unwrap_or_default()
    }
}

/// Tells the desk that the caller left, unless the call has ended.
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

    /// The desk knows the end of the call.
    pub(super) const fn disarm(&mut self) {
        self.ticket = None;
    }
}

impl Drop for LeaveGuard {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.context.tell(DeskEvent::CallerLeft(ticket));
        }
    }
}
