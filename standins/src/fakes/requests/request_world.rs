use {
    super::{
        EngineJob, FakeEngine, JobEvent, RequestRecord, WorldFault, WorldOutcome, WorldPlan,
        world_view::WorldView,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::VecDeque, fmt, time::Duration},
    toucanring::core::dispatch::{
        AttemptEnd, AttemptReport, AttemptTarget, DispatchAction, DispatchEvent, RepeatRule,
        RequestIntake, RequestTarget,
    },
};

/// Virtual time between two steps of the simulation.
const TIME_STEP: Duration = Duration::from_millis(2);

/// Time for which the world runs on after arrivals stop, so that open requests can end.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// Number of distinct prompt prefixes.
const PREFIX_COUNT: u64 = 200;

/// Highest number of times that the caller of a request that crashes engines sends it again.
const MAX_RESENDS: u32 = 20;

/// Time after which an engine that a request crashed serves again.
const RESTART_TIME: Duration = Duration::from_secs(2);

/// Handles one event at a virtual time and appends the actions that follow from it.
pub type DispatchStep = dyn FnMut(Duration, DispatchEvent, &mut Vec<DispatchAction>);

/// Dispatcher of one gateway, real or naive.
pub struct DispatchPort {
    /// Step function of the dispatcher.
    pub step: Box<DispatchStep>,
}

impl fmt::Debug for DispatchPort {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DispatchPort")
    }
}

/// Simulated gateways, engines and callers in virtual time.
#[derive(Debug)]
pub struct RequestWorld {
    plan: WorldPlan,
    rng: ChaCha8Rng,
    now: Duration,
    dispatchers: Vec<DispatchPort>,
    engines: Vec<FakeEngine>,
    /// Crashed engines with the virtual times at which they restart.
    restarts: Vec<(Duration, usize)>,
    view: WorldView,
    records: Vec<RequestRecord>,
    /// Gateway and intake of each request, in the order of `records`.
    intakes: Vec<(usize, RequestIntake)>,
    next_arrival: Duration,
    /// Events that still have to reach the dispatcher of their gateway.
    events: VecDeque<(usize, DispatchEvent)>,
    token_gaps_ms: Vec<f64>,
    /// Tickets of requests that had neither a first token nor a refusal at the last check.
    /// Their callers give up at the deadline.
    awaiting_first_token: VecDeque<u64>,
}

impl RequestWorld {
    /// Creates a world from its plan and one dispatcher for each gateway of the plan.
    #[must_use]
    pub fn new(plan: WorldPlan, dispatchers: Vec<DispatchPort>) -> Self {
        let engines = (0..plan.groups)
            .map(|_| FakeEngine::new(plan.rates))
            .collect();
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: Duration::ZERO,
            dispatchers,
            engines,
            restarts: Vec::new(),
            view: WorldView::new(&plan),
            records: Vec::new(),
            intakes: Vec::new(),
            next_arrival: Duration::from_secs(1),
            events: VecDeque::new(),
            token_gaps_ms: Vec::new(),
            awaiting_first_token: VecDeque::new(),
            plan,
        }
    }

    /// Runs until 30 s after arrivals stop and returns the outcome of every request.
    #[must_use]
    pub fn run(mut self) -> WorldOutcome {
        let end = self.plan.duration + DRAIN_TIME;
        while self.now < end {
            self.now += TIME_STEP;
            self.apply_faults();
            self.queue_view_update();
            self.queue_arrivals();
            self.run_engines();
            self.expire_deadlines();
            for gateway in 0..self.dispatchers.len() {
                self.events.push_back((gateway, DispatchEvent::Tick));
            }
            self.deliver_events();
        }
        let is_open = |record: &&RequestRecord| {
            record.done.is_none() && record.refused.is_none() && !record.caller_left
        };
        WorldOutcome {
            open_at_end: self.records.iter().filter(is_open).count(),
            records: self.records,
            token_gaps_ms: self.token_gaps_ms,
        }
    }

    fn apply_faults(&mut self) {
        let now = self.now;
        let due = |at: &Duration| now >= *at && now.saturating_sub(*at) < TIME_STEP;
        let faults: Vec<WorldFault> = self
            .plan
            .faults
            .iter()
            .filter(|(at, _)| due(at))
            .map(|(_, fault)| *fault)
            .collect();
        for fault in faults {
            match fault {
                WorldFault::Straggle(group, factor) => self.engines[group].slow_factor = factor,
                WorldFault::Lose(group) => {
                    let mut job_events = Vec::new();
                    self.engines[group].crash(&mut job_events);
                    self.view.suspend_later(now, group);
                    self.handle_job_events(job_events);
                }
            }
        }
        let restarts = std::mem::take(&mut self.restarts);
        for (at, group) in restarts {
            if now < at {
                self.restarts.push((at, group));
                continue;
            }
            self.engines[group].up = true;
            self.view.resume(group);
        }
    }

    fn queue_view_update(&mut self) {
        let Some(view) = self.view.take_update(self.now) else {
            return;
        };
        for gateway in 0..self.dispatchers.len() {
            self.events
                .push_back((gateway, DispatchEvent::View(view.clone())));
        }
    }

    /// Queues the requests that arrive by now, with exponentially distributed intervals.
    fn queue_arrivals(&mut self) {
        while self.next_arrival <= self.now && self.next_arrival < self.plan.duration {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let interval_s = -uniform.ln() / self.plan.rate();
            self.next_arrival += Duration::from_secs_f64(interval_s);
            self.queue_arrival();
        }
    }

    fn queue_arrival(&mut self) {
        let kind = self.draw_index(
            &self
                .plan
                .kinds
                .iter()
                .map(|kind| kind.share)
                .collect::<Vec<_>>(),
        );
        let account = self.draw_index(
            &self
                .plan
                .accounts
                .iter()
                .map(|account| account.rate)
                .collect::<Vec<_>>(),
        );
        let ticket = self.records.len() as u64;
        let poison = self
            .plan
            .poison_interval
            .is_some_and(|interval| self.records.len() % interval == interval / 2);
        let size_factor: f64 = self.rng.random_range(0.5..1.5);
        let profile = &self.plan.kinds[kind];
        let deadline = self.now + profile.deadline;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = |mean: f64| (mean * size_factor) as u32;
        let intake = RequestIntake {
            ticket,
            account: self.plan.accounts[account].name.clone(),
            target: RequestTarget::Model("chat".to_owned()),
            repeat: RepeatRule::Repeatable,
            kind: profile.name.to_owned(),
            weight: profile.weight,
            priority: profile.priority,
            prompt_tokens: count(profile.prompt_tokens),
            answer_tokens: count(profile.answer_tokens),
            prefix: self.rng.random_range(0..PREFIX_COUNT),
            fingerprint: ticket + 1,
            deadline,
        };
        self.records.push(RequestRecord {
            kind,
            account,
            arrived: self.now,
            deadline,
            poison,
            group: None,
            first_token: None,
            done: None,
            refused: None,
            caller_left: false,
            crashed: 0,
            resends: 0,
        });
        let gateway = self.rng.random_range(0..self.plan.gateways);
        self.intakes.push((gateway, intake.clone()));
        self.awaiting_first_token.push_back(ticket);
        let event = DispatchEvent::Arrived(Box::new(intake));
        self.events.push_back((gateway, event));
    }

    /// Draws an index with probabilities in proportion to the shares.
    fn draw_index(&mut self, shares: &[f64]) -> usize {
        let total: f64 = shares.iter().sum();
        let mut point = self.rng.random_range(0.0..total);
        for (index, share) in shares.iter().enumerate() {
            if point < *share {
                return index;
            }
            point -= share;
        }
        shares.len() - 1
    }

    fn run_engines(&mut self) {
        let mut job_events = Vec::new();
        for group in 0..self.engines.len() {
            let crashes = self.engines[group].crashes;
            self.engines[group].tick(self.now, TIME_STEP, &mut job_events);
            if self.engines[group].crashes == crashes {
                continue;
            }
            if let Some(JobEvent::Lost(_, ticket)) = job_events
                .iter()
                .find(|event| matches!(event, JobEvent::Lost(_, ticket) if self.is_poison(*ticket)))
            {
                self.records[record_index(*ticket)].crashed += 1;
            }
            self.view.suspend_later(self.now, group);
            self.restarts.push((self.now + RESTART_TIME, group));
            let events = std::mem::take(&mut job_events);
            self.handle_job_events(events);
        }
        self.handle_job_events(job_events);
    }

    fn is_poison(&self, ticket: u64) -> bool {
        self.records[record_index(ticket)].poison
    }

    fn handle_job_events(&mut self, events: Vec<JobEvent>) {
        for event in events {
            match event {
                JobEvent::Token(gap_ms) => {
                    if self.now > self.plan.warm_up {
                        self.token_gaps_ms.push(gap_ms);
                    }
                }
                JobEvent::FirstToken(gateway, ticket) => {
                    self.records[record_index(ticket)]
                        .first_token
                        .get_or_insert(self.now);
                    self.events
                        .push_back((gateway, DispatchEvent::FirstToken(ticket)));
                }
                JobEvent::Done(gateway, ticket) => {
                    let record = &mut self.records[record_index(ticket)];
                    record.done = Some(self.now);
                    record.group = None;
                    let tokens = self.intakes[record_index(ticket)].1.answer_tokens;
                    let event = DispatchEvent::Completed(ticket, tokens, None);
                    self.events.push_back((gateway, event));
                }
                JobEvent::Lost(gateway, ticket) => {
                    self.records[record_index(ticket)].group = None;
                    self.end_attempt(gateway, ticket, AttemptEnd::Crashed);
                }
            }
        }
    }

    fn end_attempt(&mut self, gateway: usize, ticket: u64, end: AttemptEnd) {
        let delivered = u64::from(self.records[record_index(ticket)].first_token.is_some());
        let report = AttemptReport {
            ticket,
            end,
            delivered,
        };
        self.events
            .push_back((gateway, DispatchEvent::AttemptEnded(report)));
    }

    /// Makes callers give up whose first token has not arrived by the deadline.
    fn expire_deadlines(&mut self) {
        let mut tickets = std::mem::take(&mut self.awaiting_first_token);
        tickets.retain(|ticket| {
            let record = &mut self.records[record_index(*ticket)];
            if record.first_token.is_some() || record.refused.is_some() {
                return false;
            }
            if self.now < record.deadline {
                return true;
            }
            record.caller_left = true;
            if let Some(group) = record.group.take() {
                self.engines[group].cancel(*ticket);
            }
            let gateway = self.intakes[record_index(*ticket)].0;
            self.events
                .push_back((gateway, DispatchEvent::CallerLeft(*ticket)));
            false
        });
        self.awaiting_first_token = tickets;
    }

    fn deliver_events(&mut self) {
        let mut actions = Vec::new();
        while let Some((gateway, event)) = self.events.pop_front() {
            (self.dispatchers[gateway].step)(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.apply_action(gateway, action);
            }
        }
    }

    fn apply_action(&mut self, gateway: usize, action: DispatchAction) {
        match action {
            DispatchAction::Start(order) => self.send_attempt(gateway, order.ticket, &order.target),
            DispatchAction::Refuse(ticket, refusal) => {
                let record = &mut self.records[record_index(ticket)];
                record.refused = Some(refusal.reason);
                if record.poison {
                    self.resend(ticket);
                }
            }
            DispatchAction::Ask(instance, _) => {
                let report = self.view.report(&instance, |group| {
                    let engine = &mut self.engines[group];
                    engine.up.then(|| engine.report(self.now))
                });
                let event = DispatchEvent::Asked(instance, self.now, report.map(Box::new));
                self.events.push_back((gateway, event));
            }
            DispatchAction::PublishUsage(entries) => {
                self.view.merge_usage(self.now, gateway, entries);
            }
            DispatchAction::PublishSuspects(entries) => self.view.merge_suspects(entries),
            DispatchAction::Finished(_)
            | DispatchAction::Commit(..)
            | DispatchAction::Read(..)
            | DispatchAction::Replay(..) => {}
        }
    }

    fn send_attempt(&mut self, gateway: usize, ticket: u64, target: &AttemptTarget) {
        let AttemptTarget::Group(id, epoch) = target else {
            return;
        };
        let Some(group) = self.view.group_index(id, *epoch) else {
            self.end_attempt(gateway, ticket, AttemptEnd::NotStarted);
            return;
        };
        if !self.engines[group].up {
            self.end_attempt(gateway, ticket, AttemptEnd::ConnectFailed);
            return;
        }
        let intake = &self.intakes[record_index(ticket)].1;
        let prompt = f64::from(intake.prompt_tokens);
        let mut job = EngineJob::new(ticket, gateway, prompt, intake.answer_tokens, intake.prefix);
        job.crashes_engine = self.records[record_index(ticket)].poison;
        if self.engines[group].enqueue(job) {
            self.records[record_index(ticket)].group = Some(group);
        } else {
            self.end_attempt(gateway, ticket, AttemptEnd::NotStarted);
        }
    }

    /// Sends a refused request that crashes engines again at once, through the next gateway and
    /// with a deadline in 10 s.
    fn resend(&mut self, ticket: u64) {
        let index = record_index(ticket);
        if self.records[index].resends >= MAX_RESENDS {
            return;
        }
        self.records[index].resends += 1;
        let (gateway, intake) = &mut self.intakes[index];
        *gateway = (*gateway + 1) % self.plan.gateways;
        intake.deadline = self.now + Duration::from_secs(10);
        let (gateway, intake) = (*gateway, intake.clone());
        self.records[index].refused = None;
        self.records[index].deadline = intake.deadline;
        self.awaiting_first_token.push_back(ticket);
        let event = DispatchEvent::Arrived(Box::new(intake));
        self.events.push_back((gateway, event));
    }
}

fn record_index(ticket: u64) -> usize {
    usize::try_from(ticket).unwrap_or(usize::MAX)
}
