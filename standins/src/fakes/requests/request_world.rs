use {
    super::{
        EngineFake, EngineJob, JobEvent, RequestRecord, WorldFault, WorldOutcome, WorldPlan,
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

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(2);

/// Time for which the world runs on after the last arrival.
const RUN_OUT: Duration = Duration::from_secs(30);

/// Distinct prompt beginnings.
const PREFIXES: u64 = 200;

/// Most resends of a request that crashes engines.
const MOST_RESENDS: u32 = 20;

/// Time until a crashed engine serves again.
const RESTART: Duration = Duration::from_secs(2);

/// Takes an event and appends actions.
pub type DispatchStep = dyn FnMut(Duration, DispatchEvent, &mut Vec<DispatchAction>);

/// The decisions of one gateway.
pub struct DispatchPort {
    /// The step function.
    pub step: Box<DispatchStep>,
}

impl fmt::Debug for DispatchPort {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DispatchPort")
    }
}

/// Gateways, engines and callers in virtual time.
#[derive(Debug)]
pub struct RequestWorld {
    plan: WorldPlan,
    rng: ChaCha8Rng,
    now: Duration,
    dispatchers: Vec<DispatchPort>,
    engines: Vec<EngineFake>,
    restarts: Vec<(Duration, usize)>,
    view: WorldView,
    records: Vec<RequestRecord>,
    intakes: Vec<(usize, RequestIntake)>,
    next_arrival: Duration,
    events: VecDeque<(usize, DispatchEvent)>,
    gaps_ms: Vec<f64>,
    deadlines: VecDeque<u64>,
}

impl RequestWorld {
    /// Creates a world with one port for each gateway.
    #[must_use]
    pub fn new(plan: WorldPlan, dispatchers: Vec<DispatchPort>) -> Self {
        let engines = (0..plan.groups)
            .map(|_| EngineFake::new(plan.rates))
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
            gaps_ms: Vec::new(),
            deadlines: VecDeque::new(),
            plan,
        }
    }

    /// Runs to the end and returns what became of every request.
    #[must_use]
    pub fn run(mut self) -> WorldOutcome {
        let end = self.plan.duration + RUN_OUT;
        while self.now < end {
            self.now += STEP;
            self.apply_faults();
            self.share_view();
            self.arrivals();
            self.run_engines();
            self.end_waits();
            for gateway in 0..self.dispatchers.len() {
                self.events.push_back((gateway, DispatchEvent::Tick));
            }
            self.deliver();
        }
        let settled = |record: &&RequestRecord| {
            record.done.is_none() && record.refused.is_none() && !record.left
        };
        WorldOutcome {
            left_open: self.records.iter().filter(settled).count(),
            records: self.records,
            gaps_ms: self.gaps_ms,
        }
    }

    fn apply_faults(&mut self) {
        let now = self.now;
        let due = |at: &Duration| now >= *at && now.saturating_sub(*at) < STEP;
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
                    let mut out = Vec::new();
                    self.engines[group].crash(&mut out);
                    self.view.suspend(now, group);
                    self.take_job_events(out);
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
            self.view.repair(group);
        }
    }

    fn share_view(&mut self) {
        let Some(view) = self.view.due(self.now) else {
            return;
        };
        for gateway in 0..self.dispatchers.len() {
            self.events
                .push_back((gateway, DispatchEvent::View(view.clone())));
        }
    }

    fn arrivals(&mut self) {
        while self.next_arrival <= self.now && self.next_arrival < self.plan.duration {
            let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
            let wait_s = -uniform.ln() / self.plan.rate();
            self.next_arrival += Duration::from_secs_f64(wait_s);
            self.arrive();
        }
    }

    fn arrive(&mut self) {
        let kind = self.draw(
            &self
                .plan
                .kinds
                .iter()
                .map(|kind| kind.share)
                .collect::<Vec<_>>(),
        );
        let account = self.draw(
            &self
                .plan
                .accounts
                .iter()
                .map(|a| a.rate)
                .collect::<Vec<_>>(),
        );
        let ticket = self.records.len() as u64;
        let poison = self
            .plan
            .poison_every
            .is_some_and(|every| self.records.len() % every == every / 2);
        let spread: f64 = self.rng.random_range(0.5..1.5);
        let sizes = &self.plan.kinds[kind];
        let deadline = self.now + sizes.deadline;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let count = |mean: f64| (mean * spread) as u32;
        let intake = RequestIntake {
            ticket,
            account: self.plan.accounts[account].name.clone(),
            target: RequestTarget::Model("chat".to_owned()),
            repeat: RepeatRule::Repeatable,
            kind: sizes.name.to_owned(),
            weight: sizes.weight,
            priority: sizes.priority,
            prompt_tokens: count(sizes.prompt_tokens),
            answer_tokens: count(sizes.answer_tokens),
            prefix: self.rng.random_range(0..PREFIXES),
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
            left: false,
            crashed: 0,
            resends: 0,
        });
        let gateway = self.rng.random_range(0..self.plan.gateways);
        self.intakes.push((gateway, intake.clone()));
        self.deadlines.push_back(ticket);
        let event = DispatchEvent::Arrived(Box::new(intake));
        self.events.push_back((gateway, event));
    }

    fn draw(&mut self, shares: &[f64]) -> usize {
        let total: f64 = shares.iter().sum();
        let mut left = self.rng.random_range(0.0..total);
        for (index, share) in shares.iter().enumerate() {
            if left < *share {
                return index;
            }
            left -= share;
        }
        shares.len() - 1
    }

    fn run_engines(&mut self) {
        let mut out = Vec::new();
        for group in 0..self.engines.len() {
            let crashes = self.engines[group].crashes;
            self.engines[group].tick(self.now, STEP, &mut out);
            if self.engines[group].crashes == crashes {
                continue;
            }
            if let Some(JobEvent::Broken(_, ticket)) = out
                .iter()
                .find(|event| matches!(event, JobEvent::Broken(_, t) if self.is_poison(*t)))
            {
                self.records[index(*ticket)].crashed += 1;
            }
            self.view.suspend(self.now, group);
            self.restarts.push((self.now + RESTART, group));
            let broken = std::mem::take(&mut out);
            self.take_job_events(broken);
        }
        self.take_job_events(out);
    }

    fn is_poison(&self, ticket: u64) -> bool {
        self.records[index(ticket)].poison
    }

    fn take_job_events(&mut self, events: Vec<JobEvent>) {
        for event in events {
            match event {
                JobEvent::Token(gap_ms) => {
                    if self.now > self.plan.warm_up {
                        self.gaps_ms.push(gap_ms);
                    }
                }
                JobEvent::FirstToken(gateway, ticket) => {
                    self.records[index(ticket)]
                        .first_token
                        .get_or_insert(self.now);
                    self.events
                        .push_back((gateway, DispatchEvent::FirstToken(ticket)));
                }
                JobEvent::Done(gateway, ticket) => {
                    let record = &mut self.records[index(ticket)];
                    record.done = Some(self.now);
                    record.group = None;
                    let tokens = self.intakes[index(ticket)].1.answer_tokens;
                    let event = DispatchEvent::Completed(ticket, tokens, None);
                    self.events.push_back((gateway, event));
                }
                JobEvent::Broken(gateway, ticket) => {
                    self.records[index(ticket)].group = None;
                    self.end_attempt(gateway, ticket, AttemptEnd::Crashed);
                }
            }
        }
    }

    fn end_attempt(&mut self, gateway: usize, ticket: u64, end: AttemptEnd) {
        let delivered = u64::from(self.records[index(ticket)].first_token.is_some());
        let report = AttemptReport {
            ticket,
            end,
            delivered,
        };
        self.events
            .push_back((gateway, DispatchEvent::AttemptEnded(report)));
    }

    /// Callers leave when no token has come before their deadline.
    fn end_waits(&mut self) {
        let mut waiting = std::mem::take(&mut self.deadlines);
        waiting.retain(|ticket| {
            let record = &mut self.records[index(*ticket)];
            if record.first_token.is_some() || record.refused.is_some() {
                return false;
            }
            if self.now < record.deadline {
                return true;
            }
            record.left = true;
            if let Some(group) = record.group.take() {
                self.engines[group].cancel(*ticket);
            }
            let gateway = self.intakes[index(*ticket)].0;
            self.events
                .push_back((gateway, DispatchEvent::CallerLeft(*ticket)));
            false
        });
        self.deadlines = waiting;
    }

    fn deliver(&mut self) {
        let mut actions = Vec::new();
        while let Some((gateway, event)) = self.events.pop_front() {
            (self.dispatchers[gateway].step)(self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(gateway, action);
            }
        }
    }

    fn carry_out(&mut self, gateway: usize, action: DispatchAction) {
        match action {
            DispatchAction::Start(order) => self.start(gateway, order.ticket, &order.target),
            DispatchAction::Refuse(ticket, refusal) => {
                let record = &mut self.records[index(ticket)];
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
                self.view.take_usage(self.now, gateway, entries);
            }
            DispatchAction::PublishSuspects(entries) => self.view.take_suspects(entries),
            DispatchAction::Finished(_)
            | DispatchAction::Commit(..)
            | DispatchAction::Read(..)
            | DispatchAction::Replay(..) => {}
        }
    }

    fn start(&mut self, gateway: usize, ticket: u64, target: &AttemptTarget) {
        let AttemptTarget::Group(id, epoch) = target else {
            return;
        };
        let Some(group) = self.view.find(id, *epoch) else {
            self.end_attempt(gateway, ticket, AttemptEnd::NotStarted);
            return;
        };
        if !self.engines[group].up {
            self.end_attempt(gateway, ticket, AttemptEnd::ConnectFailed);
            return;
        }
        let intake = &self.intakes[index(ticket)].1;
        let prompt = f64::from(intake.prompt_tokens);
        let mut job = EngineJob::new(ticket, gateway, prompt, intake.answer_tokens, intake.prefix);
        job.crashes = self.records[index(ticket)].poison;
        if self.engines[group].accept(job) {
            self.records[index(ticket)].group = Some(group);
        } else {
            self.end_attempt(gateway, ticket, AttemptEnd::NotStarted);
        }
    }

    /// The caller of a request that crashes engines sends it again at once
    /// through the next gateway.
    fn resend(&mut self, ticket: u64) {
        let place = index(ticket);
        if self.records[place].resends >= MOST_RESENDS {
            return;
        }
        self.records[place].resends += 1;
        let (gateway, intake) = &mut self.intakes[place];
        *gateway = (*gateway + 1) % self.plan.gateways;
        intake.deadline = self.now + Duration::from_secs(10);
        let (gateway, intake) = (*gateway, intake.clone());
        self.records[place].refused = None;
        self.records[place].deadline = intake.deadline;
        self.deadlines.push_back(ticket);
        let event = DispatchEvent::Arrived(Box::new(intake));
        self.events.push_back((gateway, event));
    }
}

fn index(ticket: u64) -> usize {
    usize::try_from(ticket).unwrap_or(usize::MAX)
}
