use {
    super::{
        AttemptEnd, AttemptReport, DispatchAction, DispatchEvent, Refusal, RefusalReason,
        RepeatRule, RequestIntake, RequestTarget,
        open_request::{OpenRequest, RequestStage},
        request_outcome::{
            completion_outcome, finished_action, open_refusal_outcome, refusal_outcome,
        },
    },
    crate::{
        conf::OperatorText,
        core::{
            admission::{AccountLimiter, FairQueue, QueuedRequest},
            burn::RequestOutcome,
            claims::{ClaimEvent, ClaimManager, ClaimRequest, RecordedOutcome},
            retry::{RetryBudget, SuspectList, SuspectVerdict},
            routing::{GroupRouter, PlainRouter},
            view::ClusterView,
        },
        wire::Execution,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Maximum number of attempts of a request; more would only add load to an overloaded system.
const MAX_ATTEMPTS: u32 = 6;

/// Base of the exponential delay before a retry: doubled with each attempt, at most five times, and
/// multiplied by a random factor from 0.5 to 1.5.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(10);

/// Interval between two report requests to an instance.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which an unanswered report request is given up and may be repeated.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between two checks of which groups are usable.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum wait for a claim, so that a request is refused in time when the platform is unreachable.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

value_type! {
    /// Part of the answer to `/status` that the dispatcher contributes.
    #[derive(Copy, Eq, Default, serde::Serialize)]
    pub struct DispatchStatus {
        /// Requests that have arrived and not ended.
        pub open: usize,
        /// Open requests that wait in the queue of their service.
        pub queued: usize,
        /// Claims whose write or withdrawal the platform has not confirmed.
        pub unsettled_claims: usize,
        /// Replica groups that take requests, of all services.
        pub usable_groups: usize,
        /// Version of the configuration in force; 0 when none.
        pub config_version: u64,
    }
}

/// Decides about the requests of a gateway from arrival to final answer.
///
/// It performs no I/O: [`step`](Self::step) takes events and returns actions for the caller to
/// carry out.
#[derive(Debug)]
pub struct RequestDispatcher {
    pub(super) boot: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) view: Arc<ClusterView>,
    pub(super) group_router: GroupRouter,
    pub(super) plain_router: PlainRouter,
    pub(super) limiter: AccountLimiter,
    pub(super) queues: BTreeMap<String, FairQueue>,
    /// Time of the last dispatch and mean interval between dispatches in seconds, by service.
    pub(super) dispatch_intervals: BTreeMap<String, (Duration, f64)>,
    pub(super) claims: ClaimManager,
    pub(super) budget: RetryBudget,
    pub(super) suspects: SuspectList,
    pub(super) open: HashMap<u64, OpenRequest>,
    /// Tickets of the requests that wait for a target outside the queues.
    pub(super) pending_tickets: BTreeSet<u64>,
    /// Refusals of suspects with the time at which each is due, and the ticket.
    pub(super) scheduled_refusals: Vec<(Duration, u64, Refusal)>,
    /// When each unanswered report request was sent, by instance.
    report_requests: HashMap<String, Duration>,
    next_report_request_at: Duration,
    next_refresh_at: Duration,
    stopping: bool,
}

impl RequestDispatcher {
    /// Creates the dispatcher of the gateway `process`; `boot` makes attempt ids
    /// unique over all gateways and seeds the jitter.
    #[must_use]
    pub fn new(process: &str, failure_domain: &str, boot: u64) -> Self {
        Self {
            boot,
            rng: ChaCha8Rng::seed_from_u64(boot),
            view: Arc::default(),
            group_router: GroupRouter::new(failure_domain),
            plain_router: PlainRouter::default(),
            limiter: AccountLimiter::new(process),
            queues: BTreeMap::new(),
            dispatch_intervals: BTreeMap::new(),
            claims: ClaimManager::default(),
            budget: RetryBudget::default(),
            suspects: SuspectList::default(),
            open: HashMap::new(),
            pending_tickets: BTreeSet::new(),
            scheduled_refusals: Vec::new(),
            report_requests: HashMap::new(),
            next_report_request_at: Duration::ZERO,
            next_refresh_at: Duration::ZERO,
            stopping: false,
        }
    }

    /// Current counts for `/status`.
    #[must_use]
    pub fn status(&self) -> DispatchStatus {
        DispatchStatus {
            open: self.open.len(),
            queued: self.queues.values().map(FairQueue::len).sum(),
            unsettled_claims: self.claims.unsettled(),
            usable_groups: self.group_router.usable_groups(),
            config_version: self.view.configuration.as_ref().map_or(0, |c| c.version),
        }
    }

    /// Whether no request and no claim is open.
    ///
    /// ```
    /// use toucanring::core::dispatch::RequestDispatcher;
    ///
    /// assert!(RequestDispatcher::new("gateway0", "kochi", 1).is_idle());
    /// ```
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.claims.open() == 0
    }

    /// Processes one event, and appends to `out` the actions that it causes.
    pub fn step(&mut self, now: Duration, event: DispatchEvent, out: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::View(view) => self.apply_view(now, view),
            DispatchEvent::Arrived(intake) => self.accept_request(now, *intake, out),
            DispatchEvent::FirstToken(ticket) => self.record_first_token(now, ticket),
            DispatchEvent::AttemptEnded(report) => self.handle_failed_attempt(now, &report, out),
            DispatchEvent::Completed(ticket, tokens, outcome) => {
                self.complete(now, ticket, tokens, outcome, out);
            }
            DispatchEvent::CallerLeft(ticket) => self.cancel(now, ticket, out),
            DispatchEvent::Asked(instance, requested_at, report) => {
                self.report_requests.remove(&instance);
                if let Some(report) = report {
                    self.plain_router
                        .apply_report(now, &instance, report.leaving);
                    self.group_router.apply_report(now, requested_at, &report);
                }
            }
            DispatchEvent::ClaimCommitted(batch, result) => {
                self.step_claims(now, ClaimEvent::Committed(batch, result), out);
            }
            DispatchEvent::ClaimRead(ticket, result) => {
                self.step_claims(now, ClaimEvent::Read(ticket, result), out);
            }
            DispatchEvent::Tick => self.tick(now, out),
            DispatchEvent::Stop => self.stopping = true,
        }
        self.place_pending(now, out);
        self.dispatch_queued(now, out);
    }

    fn cancel(&mut self, now: Duration, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        let running = matches!(
            request.stage,
            RequestStage::OnGroup(_) | RequestStage::OnServer(_)
        );
        let event = if running || request.may_have_run {
            ClaimEvent::Abandon(ticket)
        } else {
            ClaimEvent::Release(ticket)
        };
        self.count_end(ticket, |_| RequestOutcome::Incomplete, out);
        self.close(now, ticket, None);
        self.step_claims(now, event, out);
    }

    fn apply_view(&mut self, now: Duration, view: Arc<ClusterView>) {
        let version = |view: &ClusterView| view.configuration.as_ref().map_or(0, |c| c.version);
        if version(&view) != version(&self.view)
            && let Some(configuration) = &view.configuration
        {
            self.limiter
                .configure(now, &configuration.text.client_accounts);
            self.plain_router
                .configure(plain_services(&configuration.text));
        }
        for entry in view.suspects.values() {
            self.suspects.merge(entry);
        }
        self.group_router.apply(now, &view);
        self.view = view;
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        if now >= self.next_refresh_at {
            self.next_refresh_at = now + REFRESH_INTERVAL;
            self.group_router.refresh(now, &self.view);
        }
        if now >= self.next_report_request_at {
            self.next_report_request_at = now + REPORT_INTERVAL;
            self.request_reports(now, out);
        }
        if let Some(usage) = self.limiter.exchange(now, &self.view) {
            out.push(DispatchAction::PublishUsage(usage));
        }
        let mut due = Vec::new();
        self.scheduled_refusals.retain(|(at, ticket, refusal)| {
            let is_due = now >= *at;
            if is_due {
                due.push((*ticket, refusal.clone()));
            }
            !is_due
        });
        for (ticket, refusal) in due {
            self.refuse(now, ticket, refusal, out);
        }
        self.step_claims(now, ClaimEvent::Tick, out);
    }

    fn request_reports(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        self.report_requests
            .retain(|_, at| now.saturating_sub(*at) < REPORT_TIMEOUT);
        let mut instances = self.group_router.instances_to_ask(now, &self.view);
        instances.extend(self.plain_router.servers());
        for (instance, address) in instances {
            if self.report_requests.contains_key(&instance) {
                continue;
            }
            self.report_requests.insert(instance.clone(), now);
            out.push(DispatchAction::Ask(instance, address));
        }
    }

    fn accept_request(
        &mut self,
        now: Duration,
        intake: RequestIntake,
        out: &mut Vec<DispatchAction>,
    ) {
        let ticket = intake.ticket;
        if let Err(mut refusal) = self.check_admission(now, &intake) {
            if matches!(intake.repeat, RepeatRule::Once(Some(_))) {
                refusal = refusal.before_claim();
            }
            out.push(finished_action(&intake, refusal_outcome(&refusal)));
            out.push(DispatchAction::Refuse(ticket, refusal));
            return;
        }
        self.budget.deposit();
        if let RepeatRule::Once(Some(key)) = &intake.repeat {
            let request = ClaimRequest {
                ticket,
                key: format!("claim/{}/{key}", intake.account),
                token: self.rng.random(),
                fingerprint: intake.fingerprint,
                deadline: intake.deadline.min(now + CLAIM_TIMEOUT),
            };
            self.open
                .insert(ticket, OpenRequest::new(intake, RequestStage::Claiming));
            self.step_claims(now, ClaimEvent::Request(request), out);
            return;
        }
        let is_suspect = self.suspects.verdict(intake.fingerprint) == SuspectVerdict::Isolate;
        if is_suspect || matches!(intake.target, RequestTarget::Plain(_)) {
            let request = OpenRequest::new(intake, RequestStage::Delayed(now));
            self.open.insert(ticket, request);
            self.pending_tickets.insert(ticket);
            return;
        }
        let entry = QueuedRequest {
            ticket,
            account: intake.account.clone(),
            priority: intake.priority,
            cost: intake.tokens(),
            weight: intake.weight,
            deadline: intake.deadline,
        };
        let queue = self.queues.entry(intake.service().to_owned()).or_default();
        let evicted = queue.push(entry);
        self.open
            .insert(ticket, OpenRequest::new(intake, RequestStage::Queued));
        if let Some(evicted) = evicted {
            let refusal = Refusal::not_run(RefusalReason::QueueFull, "the queue is full")
                .after(Duration::from_secs(1));
            self.refuse(now, evicted, refusal, out);
        }
    }

    fn check_admission(&mut self, now: Duration, intake: &RequestIntake) -> Result<(), Refusal> {
        use RefusalReason as Reason;
        if self.stopping {
            let refusal = Refusal::not_run(Reason::Stopping, "the gateway stops");
            return Err(refusal.after(Duration::ZERO));
        }
        let Some(configuration) = self.view.configuration.clone() else {
            let detail = "the configuration is not known yet";
            return Err(Refusal::not_run(Reason::NotReady, detail).after(Duration::from_secs(1)));
        };
        let exists = match &intake.target {
            RequestTarget::Model(name) => {
                let services = &configuration.text.model_services;
                services.iter().any(|service| service.name == *name)
            }
            RequestTarget::Plain(name) => self.plain_router.serves(name),
        };
        if !exists {
            let detail = format!("service {:?} does not exist", intake.service());
            return Err(Refusal::not_run(Reason::NotFound, &detail));
        }
        if self.suspects.verdict(intake.fingerprint) == SuspectVerdict::Refuse {
            return Err(engine_crash_refusal());
        }
        let tokens = intake.tokens();
        if let Err(limit) = self.limiter.admit(now, &intake.account, tokens) {
            let detail = format!("the account's limit on {} is reached", limit.limit);
            let refusal = Refusal::not_run(Reason::AccountLimit, &detail);
            return Err(refusal.after(limit.retry_after));
        }
        if let Err(refusal) = self.check_prediction(now, intake) {
            self.limiter.finish(&intake.account, tokens);
            return Err(refusal);
        }
        Ok(())
    }

    fn handle_failed_attempt(
        &mut self,
        now: Duration,
        report: &AttemptReport,
        out: &mut Vec<DispatchAction>,
    ) {
        let ticket = report.ticket;
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        request.delivered = report.delivered;
        let may_have_run = !matches!(
            report.end,
            AttemptEnd::ConnectFailed | AttemptEnd::NotStarted
        );
        request.may_have_run |= may_have_run;
        request.ran |= report.delivered > 0;
        let fingerprint = request.intake.fingerprint;
        self.detach_from_target(now, ticket, report.end, out);
        if report.end == AttemptEnd::DeadlinePassed {
            let detail = "the answer did not come before the deadline";
            self.refuse_open(now, ticket, RefusalReason::DeadlinePassed, detail, out);
            return;
        }
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        if request.may_have_run && request.intake.repeat != RepeatRule::Repeatable {
            let detail = "the answer was lost, and the request may run only once";
            self.refuse_open(now, ticket, RefusalReason::Interrupted, detail, out);
            return;
        }
        let attempts = request.attempts;
        if self.suspects.verdict(fingerprint) == SuspectVerdict::Refuse {
            self.schedule_refusal(now, ticket);
            return;
        }
        if attempts >= MAX_ATTEMPTS || !self.budget.try_withdraw() {
            let detail = "the attempt failed and no retry is allowed now";
            self.refuse_open(now, ticket, RefusalReason::Interrupted, detail, out);
            return;
        }
        let delay = RETRY_BASE_DELAY * 2u32.pow(attempts.min(5));
        let delay = delay.mul_f64(self.rng.random_range(0.5..1.5));
        if let Some(request) = self.open.get_mut(&ticket) {
            request.stage = RequestStage::Delayed(now + delay);
            self.pending_tickets.insert(ticket);
        }
    }

    fn complete(
        &mut self,
        now: Duration,
        ticket: u64,
        tokens: u32,
        outcome: Option<RecordedOutcome>,
        out: &mut Vec<DispatchAction>,
    ) {
        self.clear_suspect(ticket, out);
        self.count_end(ticket, |request| completion_outcome(request, now), out);
        self.close(now, ticket, Some(tokens));
        let event = match outcome {
            Some(outcome) => ClaimEvent::Record(ticket, outcome),
            None => ClaimEvent::Abandon(ticket),
        };
        self.step_claims(now, event, out);
    }

    /// Refuses an open request, with what is known about its execution.
    pub(super) fn refuse_open(
        &mut self,
        now: Duration,
        ticket: u64,
        reason: RefusalReason,
        detail: &str,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        let refusal = Refusal::new(reason, request.execution(), detail);
        self.refuse(now, ticket, refusal, out);
    }

    /// Ends an open request with a refusal. Its claim is released if the request did not run.
    pub(super) fn refuse(
        &mut self,
        now: Duration,
        ticket: u64,
        refusal: Refusal,
        out: &mut Vec<DispatchAction>,
    ) {
        if !self.open.contains_key(&ticket) {
            return;
        }
        self.count_end(
            ticket,
            |request| open_refusal_outcome(request, &refusal),
            out,
        );
        let event = if refusal.execution == Execution::NotRun {
            ClaimEvent::Release(ticket)
        } else {
            ClaimEvent::Abandon(ticket)
        };
        self.close(now, ticket, None);
        self.step_claims(now, event, out);
        out.push(DispatchAction::Refuse(ticket, refusal));
    }

    /// Removes a request and releases its queue position, its target and its account limits.
    /// `tokens` are the answer tokens used; `None` if there is no complete answer.
    pub(super) fn close(&mut self, now: Duration, ticket: u64, tokens: Option<u32>) {
        let Some(request) = self.open.remove(&ticket) else {
            return;
        };
        self.pending_tickets.remove(&ticket);
        if let Some(queue) = self.queues.get_mut(request.intake.service()) {
            queue.remove(ticket);
        }
        self.free_target(now, &request, tokens.is_some());
        let unused = match tokens {
            Some(tokens) => f64::from(request.intake.answer_tokens) - f64::from(tokens),
            None if request.may_have_run || request.ran => 0.0,
            None => request.intake.tokens(),
        };
        self.limiter.finish(&request.intake.account, unused);
    }
}

pub(super) fn engine_crash_refusal() -> Refusal {
    let detail = "the request ran on two groups that crashed";
    Refusal::new(RefusalReason::CrashesEngines, Execution::Ran, detail)
}

fn plain_services(text: &OperatorText) -> Vec<(String, Vec<(String, SocketAddr)>)> {
    let address = |instance: &String| {
        let servers = text.backend_servers.iter();
        let server = servers
            .filter(|server| server.instance == *instance)
            .map(|server| server.address)
            .next();
        server.map(|address| (instance.clone(), address))
    };
    let services = text.plain_services.iter();
    services
        .map(|service| {
            let servers = service.instances.iter().filter_map(address).collect();
            (service.name.clone(), servers)
        })
        .collect()
}
