use {
    super::{
        CallerConnections, ConnectionPool, LogSink, NodeMetrics, ResponseBudget, WireCodec,
        attempt_slot::millis, cold_notices::new_cold_gate, node_clock::now,
    },
    crate::{
        conf::NodeSettings,
        core::{
            cold::ColdGate,
            drain::{DomainDrains, DrainFreshness},
            fleet::FleetView,
            lease::TermWatch,
            peers::{DeltaOutbox, DeltaTracker, LagWatch, PeerBook, VersionNews},
            placement::{
                AttemptKey, PlacementDecision, PlacementScheduler, PlainBalancer, RetryWindow,
                SchedulerTick, TicketKey,
            },
            retry::CrashTracker,
            routes::RouteTable,
            stop::{AnswerTimes, StopDeadline},
            store::IgnoredRows,
            transfer::PieceStore,
        },
        intake::BodyIntake,
    },
    slog::{Logger, info, warn},
    std::{
        collections::HashMap,
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::sync::{Notify, oneshot, watch},
};

/// Locks a mutex. A poisoned lock is used all the same, since no code path leaves the value half
/// changed.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Phases of a graceful stop, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The node serves requests.
    Running,
    /// The readiness check fails, so that the balancer sends callers elsewhere; connections are
    /// still accepted.
    Leaving,
    /// Idle connections are closed and no new ones are accepted.
    Closing,
}

/// The operator's configuration that the node uses at present.
#[derive(Debug, Clone)]
pub struct ActiveRoutes {
    /// The parsed routes, indexed for look-up by host, path and key.
    pub table: Arc<RouteTable>,
}

/// Where a configuration came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoutesOrigin {
    /// This node has read it from the store.
    Store,
    /// Another node has sent it in pieces, which this node has kept.
    Peer,
}

impl RoutesOrigin {
    const fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// State that all parts of a node share. The node runs on one thread; each lock is held for one
/// step and never across an `await`.
#[derive(Debug)]
pub struct NodeContext {
    /// Settings read at the start; a reload doesn't change them.
    pub settings: NodeSettings,
    /// Encodes and decodes the messages of callers, backend servers, engines and the store.
    pub codec: WireCodec,
    /// Writes into `log_sink`; every line names the process.
    pub logger: Logger,
    /// Bounded buffer of log lines; it is written out every 100 ms and when the node stops.
    pub log_sink: LogSink,
    /// Counters and histograms, served under `/metrics`.
    pub metrics: NodeMetrics,
    /// Idle connections to backend servers, for reuse.
    pub pool: ConnectionPool,
    /// Limits the memory for responses that are buffered whole before they are passed on.
    pub response_budget: ResponseBudget,
    /// Limits the memory for the bodies of requests.
    pub intake: Arc<BodyIntake>,
    /// Open connections of callers.
    pub connections: Arc<CallerConnections>,
    /// Random number drawn at the start. It distinguishes this process from an earlier one of the
    /// same name.
    pub boot: u64,
    /// Notified when the list of backend servers changes or a group becomes suspect; wakes the
    /// control actor.
    pub fleet_changed: Notify,
    /// Notified when a newer configuration is applied.
    pub routes_changed: Notify,
    /// Current phase of a graceful stop; set by [`Self::begin_stop`] and `run_node`.
    pub stop: watch::Sender<StopPhase>,
    /// Gateways heard within the last seconds, this one included; they share the retry budgets.
    pub gateways: AtomicU32,
    /// Time of the last response of the store, in milliseconds of the node clock; 0 before the
    /// first.
    pub last_store_response_ms: AtomicU64,
    /// Highest era of the store that this node has read or heard of; 0 before the first.
    pub store_era: watch::Sender<u64>,
    /// True once the whole list of backend servers was read from the store or from a peer.
    pub fleet_known: AtomicBool,
    /// True once a caller's request was seen, here or at a peer; ends the preparation of groups at
    /// the first start.
    pub serving: AtomicBool,
    /// Suspect groups with their epochs, reported by this gateway or a peer and not yet passed to
    /// the control actor, which empties the list.
    pub suspects: Mutex<Vec<(String, u64)>>,
    /// Permits for cold servers.
    pub cold: ColdGate,
    pub(super) fleet: Mutex<FleetView>,
    pub(super) drains: Mutex<DomainDrains>,
    pub(super) drain_freshness: Mutex<DrainFreshness>,
    /// Notified when news of drains have arrived after a suspension.
    pub(super) drain_news: Notify,
    pub(super) routes: Mutex<Option<ActiveRoutes>>,
    /// The configuration in use, and one that is being fetched, in pieces for other nodes.
    pub(super) pieces: Mutex<PieceStore>,
    pub(super) version_news: Mutex<VersionNews>,
    /// Notified at the first news of a newer configuration.
    pub(super) version_heard: Notify,
    /// Version of a configuration of a peer that could not be used; 0 without any.
    pub(super) unusable_version: AtomicU64,
    scheduler: Mutex<PlacementScheduler>,
    plain_balancer: Mutex<PlainBalancer>,
    /// Requests to plain services that wait for a permit, by service.
    pub(super) permit_waiters: Mutex<HashMap<String, u32>>,
    decision_senders: Mutex<HashMap<TicketKey, oneshot::Sender<PlacementDecision>>>,
    move_senders: Mutex<HashMap<AttemptKey, oneshot::Sender<()>>>,
    pub(super) retry_windows: Mutex<HashMap<String, RetryWindow>>,
    pub(super) peers: Mutex<PeerBook>,
    pub(super) held_terms: Mutex<Vec<(String, u64)>>,
    pub(super) term_watch: Mutex<TermWatch>,
    pub(super) delta_tracker: Mutex<DeltaTracker>,
    pub(super) lag_watch: Mutex<LagWatch>,
    pub(super) delta_outbox: Mutex<DeltaOutbox>,
    ignored_rows: Mutex<IgnoredRows>,
    pub(super) crash_tracker: Mutex<CrashTracker>,
    /// Notified when there may be news of crashes for the other nodes.
    pub crash_news_due: Notify,
    /// Notified when a request or a part of prompts is blocked; waiting requests check theirs.
    pub blocks_changed: Notify,
    /// Notified when changed rows wait in `delta_outbox` to be sent to other nodes.
    pub delta_due: Notify,
    /// Number of store tables whose reads fail at present.
    pub(super) failing_feeds: AtomicU32,
    open_requests: AtomicUsize,
    /// Time limits of the graceful stop; unset while the node runs.
    pub(super) stop_deadline: OnceLock<StopDeadline>,
    /// Answer times by route.
    pub(super) answer_times: Mutex<HashMap<String, AnswerTimes>>,
}

/// Counts a request or a connection as open until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<NodeContext>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

impl NodeContext {
    /// Creates the context of a node; `boot` is its random start number.
    #[must_use]
    pub fn new(
        settings: NodeSettings,
        codec: WireCodec,
        logger: Logger,
        log_sink: LogSink,
        boot: u64,
    ) -> Arc<Self> {
        let cold = new_cold_gate(&settings);
        let mut scheduler = PlacementScheduler::new(&settings.failure_domain, boot);
        scheduler.cold = cold.clone();
        if settings.recovery_pace.unwrap_or(false) {
            scheduler.enable_pace(boot);
        }
        if settings.slot_division.unwrap_or(false) {
            scheduler.enable_slot_division();
        }
        if settings.account_shares() {
            scheduler.enable_account_shares();
        }
        let plain_balancer = PlainBalancer::new(cold.clone());
        let drains = DomainDrains::new(&settings.failure_domains);
        let freshness = DrainFreshness::new(settings.drain_bound(), now());
        let peers = PeerBook::new(settings.peer_listen, &settings.peers, now());
        Arc::new(Self {
            response_budget: ResponseBudget::new(settings.memory_mb),
            intake: BodyIntake::new(settings.intake_limits()),
            connections: CallerConnections::new(settings.connection_limits()),
            settings,
            codec,
            logger,
            log_sink,
            metrics: NodeMetrics::default(),
            pool: ConnectionPool::default(),
            boot,
            fleet_changed: Notify::new(),
            routes_changed: Notify::new(),
            stop: watch::Sender::new(StopPhase::Running),
            gateways: AtomicU32::new(1),
            last_store_response_ms: AtomicU64::new(0),
            store_era: watch::Sender::new(0),
            fleet_known: AtomicBool::new(false),
            serving: AtomicBool::new(false),
            suspects: Mutex::default(),
            cold,
            fleet: Mutex::default(),
            drains: Mutex::new(drains),
            drain_freshness: Mutex::new(freshness),
            drain_news: Notify::new(),
            routes: Mutex::default(),
            pieces: Mutex::default(),
            version_news: Mutex::default(),
            version_heard: Notify::new(),
            unusable_version: AtomicU64::new(0),
            scheduler: Mutex::new(scheduler),
            plain_balancer: Mutex::new(plain_balancer),
            permit_waiters: Mutex::default(),
            decision_senders: Mutex::default(),
            move_senders: Mutex::default(),
            retry_windows: Mutex::default(),
            peers: Mutex::new(peers),
            held_terms: Mutex::default(),
            term_watch: Mutex::default(),
            delta_tracker: Mutex::default(),
            lag_watch: Mutex::default(),
            delta_outbox: Mutex::default(),
            ignored_rows: Mutex::default(),
            crash_tracker: Mutex::new(CrashTracker::new(boot)),
            crash_news_due: Notify::new(),
            blocks_changed: Notify::new(),
            delta_due: Notify::new(),
            failing_feeds: AtomicU32::new(0),
            open_requests: AtomicUsize::new(0),
            stop_deadline: OnceLock::new(),
            answer_times: Mutex::default(),
        })
    }

    /// The routes used at present; none before the first configuration was read.
    #[must_use]
    pub fn routes(&self) -> Option<ActiveRoutes> {
        lock(&self.routes).clone()
    }

    /// Locks the list of backend servers.
    pub fn fleet(&self) -> MutexGuard<'_, FleetView> {
        lock(&self.fleet)
    }

    /// Locks the scheduler that places requests at replica groups.
    pub fn scheduler(&self) -> MutexGuard<'_, PlacementScheduler> {
        lock(&self.scheduler)
    }

    /// Locks the balancer that chooses among the servers of plain services.
    pub fn plain_balancer(&self) -> MutexGuard<'_, PlainBalancer> {
        lock(&self.plain_balancer)
    }

    /// True when the node isn't stopping and knows the routes, the backend servers and the drained
    /// failure domains.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_running()
            && self.fleet_known.load(Ordering::Relaxed)
            && lock(&self.routes).is_some()
            && self.drains().is_known()
    }

    /// Counts a request, or a connection that has carried one, as open until the guard is dropped.
    #[must_use]
    pub fn open_request(self: &Arc<Self>) -> RequestGuard {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(self))
    }

    /// Number of guards from [`Self::open_request`] that exist; a stop waits until it is 0.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Applies a configuration if its version is higher than the current one; one that cannot be
    /// decoded is logged and ignored.
    pub fn apply_routes(&self, raw: &[u8], origin: RoutesOrigin) {
        let source = origin.label();
        let rules = match (self.codec.read_routes)(raw) {
            Ok(rules) => rules,
            Err(fault) => {
                if self.note_ignored("configuration", source) {
                    warn!(self.logger, "ignored a configuration that cannot be decoded";
                        "source" => source, "field" => fault.field, "error" => fault.rule,
                        "bytes" => fault.bytes);
                }
                return;
            }
        };
        {
            let mut routes = lock(&self.routes);
            let current = routes.as_ref().map(|routes| routes.table.version());
            if current.is_some_and(|current| current >= rules.version) {
                return;
            }
            let delay = lock(&self.version_news).settle(now(), rules.version);
            info!(self.logger, "applied a newer configuration";
                "version" => rules.version, "before" => current, "source" => source,
                "heard_before_ms" => delay.map(millis), "bytes" => raw.len(),
                "routes" => rules.routes.len(), "accounts" => rules.accounts.len());
            if let Some(delay) = delay {
                self.metrics
                    .configuration_delay
                    .observe(delay.as_secs_f64());
            }
            match origin {
                RoutesOrigin::Store => lock(&self.pieces).publish(rules.version, raw),
                RoutesOrigin::Peer => lock(&self.pieces).publish_fetched(),
            }
            let services = rules.services.iter();
            let rules_by_name = services.map(|service| (service.name.clone(), service.cold));
            self.cold.limiter().set_rules(rules_by_name);
            *routes = Some(ActiveRoutes {
                table: Arc::new(RouteTable::new(rules)),
            });
        }
        self.sync_schedulers();
        self.routes_changed.notify_waiters();
    }

    pub(super) fn sync_schedulers(&self) {
        let Some(routes) = self.routes() else {
            return;
        };
        {
            let fleet = self.fleet();
            self.scheduler().sync(&fleet, &routes.table);
            self.plain_balancer().sync(&fleet);
        }
        self.tick_scheduler();
    }

    /// Lets the scheduler check for stalled groups and for requests that wait, and applies the
    /// results.
    pub fn tick_scheduler(&self) {
        let mut tick = self.scheduler().tick(now());
        self.report_paces(std::mem::take(&mut tick.paces));
        self.apply_tick(tick);
    }

    /// Places waiting requests in slots that have become free.
    pub fn place_waiting(&self) {
        let mut tick = SchedulerTick::default();
        self.scheduler().pump(now(), &mut tick);
        self.apply_tick(tick);
    }

    fn apply_tick(&self, tick: SchedulerTick) {
        for stall in tick.suspects {
            warn!(self.logger, "marked a replica group as suspect";
                "group" => &stall.group, "epoch" => stall.epoch,
                "silent_ms" => stall.silent.map(millis), "limit_ms" => millis(stall.limit),
                "running" => stall.running, "check_gap_ms" => millis(stall.check_gap),
                "reason" => "no stream of the group makes progress");
            lock(&self.suspects).push((stall.group, stall.epoch));
            self.fleet_changed.notify_one();
        }
        for attempt in tick.moves {
            let sender = lock(&self.move_senders).remove(&attempt);
            if let Some(sender) = sender {
                // An attempt that has ended meanwhile no longer listens and needs no move.
                let _ = sender.send(());
            }
        }
        for change in &tick.shortages {
            self.report_shortage(change);
        }
        for (ticket, decision) in tick.queue_decisions {
            let sender = lock(&self.decision_senders).remove(&ticket);
            let unclaimed = match sender {
                Some(sender) => sender.send(decision).err(),
                None => Some(decision),
            };
            if let Some(PlacementDecision::Place(placement)) = unclaimed {
                self.scheduler().ended(placement.attempt);
            }
        }
    }

    /// Registers a waiting request; the receiver gets its placement decision.
    pub fn register_waiter(&self, ticket: TicketKey) -> oneshot::Receiver<PlacementDecision> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.decision_senders).insert(ticket, sender);
        receiver
    }

    /// Removes a waiting request from the queue.
    pub fn stop_waiting(&self, ticket: TicketKey) {
        lock(&self.decision_senders).remove(&ticket);
        self.scheduler().withdraw(ticket);
    }

    /// Registers an attempt; the receiver is signalled when the attempt must move to another group.
    pub fn register_move_signal(&self, attempt: AttemptKey) -> oneshot::Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.move_senders).insert(attempt, sender);
        receiver
    }

    /// Frees the slot of an attempt at a replica group and gives it to a waiting request.
    pub fn end_attempt(&self, attempt: AttemptKey) {
        lock(&self.move_senders).remove(&attempt);
        self.scheduler().ended(attempt);
        self.place_waiting();
    }

    /// Counts a row or message that cannot be used, by its kind. True when it is to be logged;
    /// those that come again and again are logged once a minute.
    #[must_use]
    pub fn note_ignored(&self, kind: &'static str, name: &str) -> bool {
        NodeMetrics::count(&self.metrics.rows_ignored, kind);
        self.is_log_due(kind, name)
    }

    /// True when a row that cannot be used as usual is to be logged: once a minute.
    #[must_use]
    pub fn is_log_due(&self, kind: &'static str, name: &str) -> bool {
        lock(&self.ignored_rows).note(now(), &format!("{kind}/{name}"))
    }

    /// Records that the store responded at the given time.
    pub fn record_store_response(&self, at: Duration) {
        let millis = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
        self.last_store_response_ms.store(millis, Ordering::Relaxed);
    }

    /// Records an era of the store. A new one ends the feeds that wait for changes of an earlier.
    pub fn observe_era(&self, era: u64) {
        let is_new = self.store_era.send_if_modified(|known| {
            let is_new = era > *known;
            *known = era.max(*known);
            is_new
        });
        if is_new {
            info!(self.logger, "observed a new era of the store"; "era" => era);
        }
    }

    /// Time since the last response of the store; the time since the start of the machine before
    /// the first.
    #[must_use]
    pub fn store_silence(&self) -> Duration {
        let last = Duration::from_millis(self.last_store_response_ms.load(Ordering::Relaxed));
        now().saturating_sub(last)
    }
}
