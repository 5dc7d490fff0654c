use {
    super::{
        AttemptEnd, AttemptReport, DispatchAction, DispatchEvent, Refusal, RefusalReason,
        RepeatRule, RequestIntake, RequestTarget,
        end_count::{completed, finished, refused},
        open_request::{OpenRequest, RequestStage},
    },
    crate::{
        conf::OperatorText,
        core::{
            admission::{AccountLimiter, FairQueue, QueuedRequest},
            burn::RequestOutcome,
            claims::{ClaimEvent, ClaimKeeper, ClaimRequest, RecordedOutcome},
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

/// Attempts of one request; more only add load to a system in trouble.
const MOST_ATTEMPTS: u32 = 6;

/// Base of the pause before a retry, doubled with each attempt and jittered.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Time between two questions to an instance.
const ASK_PERIOD: Duration = Duration::from_millis(250);

/// Time after which an unanswered question is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time between two checks of which groups are usable.
const REFRESH_PERIOD: Duration = Duration::from_millis(50);

/// Longest wait for a claim row; it bounds the refusal when the platform is out.
const CLAIM_WAIT: Duration = Duration::from_secs(2);

value_type! {
    /// Counts for `/status`.
    #[derive(Copy, Eq, Default, serde::Serialize)]
    pub struct DispatchStatus {
        /// Requests between arrival and end.
        pub open: usize,
        /// Of these, waiting in a queue.
        pub queued: usize,
        /// Claims that still need the platform.
        pub unsettled_claims: usize,
        /// Groups that take requests.
        pub usable_groups: usize,
        /// Version of the configuration in force; 0 when none.
        pub config_version: u64,
    }
}

/// Decides about every request of a gateway between its arrival and its end.
#[derive(Debug)]
pub struct RequestDispatcher {
    pub(super) boot: u64,
    pub(super) rng: ChaCha8Rng,
    pub(super) view: Arc<ClusterView>,
    pub(super) router: GroupRouter,
    pub(super) plain: PlainRouter,
    pub(super) limiter: AccountLimiter,
    pub(super) queues: BTreeMap<String, FairQueue>,
    pub(super) dispatch_s: BTreeMap<String, (Duration, f64)>,
    pub(super) claims: ClaimKeeper,
    pub(super) budget: RetryBudget,
    pub(super) suspects: SuspectList,
    pub(super) open: HashMap<u64, OpenRequest>,
    pub(super) waiting: BTreeSet<u64>,
    pub(super) refusals: Vec<(Duration, u64, Refusal)>,
    asked: HashMap<String, Duration>,
    ask_at: Duration,
    refresh_at: Duration,
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
            router: GroupRouter::new(failure_domain),
            plain: PlainRouter::default(),
            limiter: AccountLimiter::new(process),
            queues: BTreeMap::new(),
            dispatch_s: BTreeMap::new(),
            claims: ClaimKeeper::default(),
            budget: RetryBudget::default(),
            suspects: SuspectList::default(),
            open: HashMap::new(),
            waiting: BTreeSet::new(),
            refusals: Vec::new(),
            asked: HashMap::new(),
            ask_at: Duration::ZERO,
            refresh_at: Duration::ZERO,
            stopping: false,
        }
    }

    /// Counts for `/status`.
    #[must_use]
    pub fn status(&self) -> DispatchStatus {
        DispatchStatus {
            open: self.open.len(),
            queued: self.queues.values().map(FairQueue::len).sum(),
            unsettled_claims: self.claims.unsettled(),
            usable_groups: self.router.usable_groups(),
            config_version: self.view.configuration.as_ref().map_or(0, |c| c.version),
        }
    }

    /// Whether no request and no unsettled claim is open.
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

    /// Takes one event and appends the actions that follow from it.
    pub fn step(&mut self, now: Duration, event: DispatchEvent, out: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::View(view) => self.take_view(now, view),
            DispatchEvent::Arrived(intake) => self.arrive(now, *intake, out),
            DispatchEvent::FirstToken(ticket) => self.note_first_token(now, ticket),
            DispatchEvent::AttemptEnded(report) => self.end_attempt(now, &report, out),
            DispatchEvent::Completed(ticket, tokens, outcome) => {
                self.complete(now, ticket, tokens, outcome, out);
            }
            DispatchEvent::CallerLeft(ticket) => self.leave(now, ticket, out),
            DispatchEvent::Asked(instance, asked_at, report) => {
                self.asked.remove(&instance);
                if let Some(report) = report {
                    self.plain.take_report(now, &instance, report.leaving);
                    self.router.take_report(now, asked_at, &report);
                }
            }
            DispatchEvent::ClaimCommitted(batch, result) => {
                self.step_claims(now, ClaimEvent::Committed(batch, result), out);
            }
            DispatchEvent::ClaimRead(ticket, result) => {
                self.step_claims(now, ClaimEvent::Read(ticket, result), out);
            }
            DispatchEvent::Tick => self.pass_time(now, out),
            DispatchEvent::Stop => self.stopping = true,
        }
        self.place_waiting(now, out);
        self.pump_queues(now, out);
    }

    fn leave(&mut self, now: Duration, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        let running = matches!(
            request.stage,
            RequestStage::OnGroup(_) | RequestStage::OnServer(_)
        );
        let event = if running || request.sent {
            ClaimEvent::Abandon(ticket)
        } else {
            ClaimEvent::Release(ticket)
        };
        self.count_end(ticket, |_| RequestOutcome::Incomplete, out);
        self.close(now, ticket, None);
        self.step_claims(now, event, out);
    }

    fn take_view(&mut self, now: Duration, view: Arc<ClusterView>) {
        let version = |view: &ClusterView| view.configuration.as_ref().map_or(0, |c| c.version);
        if version(&view) != version(&self.view)
            && let Some(configuration) = &view.configuration
        {
            self.limiter
                .configure(now, &configuration.text.client_accounts);
            self.plain.configure(plain_services(&configuration.text));
        }
        for entry in view.suspects.values() {
            self.suspects.merge(entry);
        }
        self.router.apply(now, &view);
        self.view = view;
    }

    fn pass_time(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        if now >= self.refresh_at {
            self.refresh_at = now + REFRESH_PERIOD;
            self.router.refresh(now, &self.view);
        }
        if now >= self.ask_at {
            self.ask_at = now + ASK_PERIOD;
            self.ask_instances(now, out);
        }
        if let Some(usage) = self.limiter.exchange(now, &self.view) {
            out.push(DispatchAction::PublishUsage(usage));
        }
        let mut due = Vec::new();
        self.refusals.retain(|(at, ticket, refusal)| {
            let ripe = now >= *at;
            if ripe {
                due.push((*ticket, refusal.clone()));
            }
            !ripe
        });
        for (ticket, refusal) in due {
            self.refuse(now, ticket, refusal, out);
        }
        self.step_claims(now, ClaimEvent::Tick, out);
    }

    fn ask_instances(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        self.asked
            .retain(|_, at| now.saturating_sub(*at) < ASK_TIMEOUT);
        let mut wanted = self.router.instances_to_ask(now, &self.view);
        wanted.extend(self.plain.servers());
        for (instance, address) in wanted {
            if self.asked.contains_key(&instance) {
                continue;
            }
            self.asked.insert(instance.clone(), now);
            out.push(DispatchAction::Ask(instance, address));
        }
    }

    fn arrive(&mut self, now: Duration, intake: RequestIntake, out: &mut Vec<DispatchAction>) {
        let ticket = intake.ticket;
        if let Err(mut refusal) = self.check_arrival(now, &intake) {
            if matches!(intake.repeat, RepeatRule::Once(Some(_))) {
                refusal = refusal.before_claim();
            }
            out.push(finished(&intake, refused(&refusal)));
            out.push(DispatchAction::Refuse(ticket, refusal));
            return;
        }
        self.budget.earn();
        if let RepeatRule::Once(Some(key)) = &intake.repeat {
            let request = ClaimRequest {
                ticket,
                key: format!("claim/{}/{key}", intake.account),
                token: self.rng.random(),
                fingerprint: intake.fingerprint,
                deadline: intake.deadline.min(now + CLAIM_WAIT),
            };
            self.open
                .insert(ticket, OpenRequest::new(intake, RequestStage::Claiming));
            self.step_claims(now, ClaimEvent::Request(request), out);
            return;
        }
        let suspect = self.suspects.judge(intake.fingerprint) == SuspectVerdict::Apart;
        if suspect || matches!(intake.target, RequestTarget::Plain(_)) {
            let request = OpenRequest::new(intake, RequestStage::Pausing(now));
            self.open.insert(ticket, request);
            self.waiting.insert(ticket);
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

    fn check_arrival(&mut self, now: Duration, intake: &RequestIntake) -> Result<(), Refusal> {
        use RefusalReason as Reason;
        if self.stopping {
            let refusal = Refusal::not_run(Reason::Stopping, "the gateway stops");
            return Err(refusal.after(Duration::ZERO));
        }
        let Some(configuration) = self.view.configuration.clone() else {
            let detail = "the configuration is not known yet";
            return Err(Refusal::not_run(Reason::NotReady, detail).after(Duration::from_secs(1)));
        };
        let known = match &intake.target {
            RequestTarget::Model(name) => {
                let services = &configuration.text.model_services;
                services.iter().any(|service| service.name == *name)
            }
            RequestTarget::Plain(name) => self.plain.serves(name),
        };
        if !known {
            let detail = format!("service {:?} does not exist", intake.service());
            return Err(Refusal::not_run(Reason::NotFound, &detail));
        }
        if self.suspects.judge(intake.fingerprint) == SuspectVerdict::Refuse {
            return Err(crashes_engines());
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

    fn end_attempt(
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
        let started = !matches!(
            report.end,
            AttemptEnd::ConnectFailed | AttemptEnd::NotStarted
        );
        request.sent |= started;
        request.ran |= report.delivered > 0;
        let fingerprint = request.intake.fingerprint;
        self.leave_target(now, ticket, report.end, out);
        if report.end == AttemptEnd::DeadlinePassed {
            let detail = "the answer did not come before the deadline";
            self.refuse_open(now, ticket, RefusalReason::DeadlinePassed, detail, out);
            return;
        }
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        if request.sent && request.intake.repeat != RepeatRule::Repeatable {
            let detail = "the answer was lost, and the request may run only once";
            self.refuse_open(now, ticket, RefusalReason::Interrupted, detail, out);
            return;
        }
        let attempts = request.attempts;
        if self.suspects.judge(fingerprint) == SuspectVerdict::Refuse {
            self.refuse_later(now, ticket);
            return;
        }
        if attempts >= MOST_ATTEMPTS || !self.budget.spend() {
            let detail = "the attempt failed and no retry is allowed now";
            self.refuse_open(now, ticket, RefusalReason::Interrupted, detail, out);
            return;
        }
        let pause = RETRY_PAUSE * 2u32.pow(attempts.min(5));
        let pause = pause.mul_f64(self.rng.random_range(0.5..1.5));
        if let Some(request) = self.open.get_mut(&ticket) {
            request.stage = RequestStage::Pausing(now + pause);
            self.waiting.insert(ticket);
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
        self.count_end(ticket, |request| completed(request, now), out);
        self.close(now, ticket, Some(tokens));
        let event = match outcome {
            Some(outcome) => ClaimEvent::Record(ticket, outcome),
            None => ClaimEvent::Abandon(ticket),
        };
        self.step_claims(now, event, out);
    }

    /// Ends a request with what is known about its execution.
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
        self.count_end(ticket, |request| outcome_of(request, &refusal), out);
        let event = if refusal.execution == Execution::NotRun {
            ClaimEvent::Release(ticket)
        } else {
            ClaimEvent::Abandon(ticket)
        };
        self.close(now, ticket, None);
        self.step_claims(now, event, out);
        out.push(DispatchAction::Refuse(ticket, refusal));
    }

    /// Forgets a request and frees everything that it holds.
    pub(super) fn close(&mut self, now: Duration, ticket: u64, tokens: Option<u32>) {
        let Some(request) = self.open.remove(&ticket) else {
            return;
        };
        self.waiting.remove(&ticket);
        if let Some(queue) = self.queues.get_mut(request.intake.service()) {
            queue.remove(ticket);
        }
        self.free_target(now, &request, tokens.is_some());
        let unused = match tokens {
            Some(tokens) => f64::from(request.intake.answer_tokens) - f64::from(tokens),
            None if request.sent || request.ran => 0.0,
            None => request.intake.tokens(),
        };
        self.limiter.finish(&request.intake.account, unused);
    }
}

/// A broken answer was started for the caller; anything else was refused.
fn outcome_of(request: &OpenRequest, refusal: &Refusal) -> RequestOutcome {
    if request.delivered > 0 {
        return RequestOutcome::Incomplete;
    }
    refused(refusal)
}

pub(super) fn crashes_engines() -> Refusal {
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
