use std::time::Duration;

/// Speeds and limits of a [`FakeEngine`](super::FakeEngine).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRates {
    /// Number of requests in a full batch.
    pub max_running: usize,
    /// Number of requests that may wait for the batch; the engine refuses further ones.
    pub max_waiting: usize,
    /// Duration of a decode step with a full batch, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens that the engine prefills per second.
    pub prefill_tokens_per_s: f64,
    /// Age at which a load report is replaced by a new one.
    pub report_lag: Duration,
}

impl Default for EngineRates {
    fn default() -> Self {
        Self {
            max_running: 32,
            max_waiting: 256,
            step_ms: 30.0,
            prefill_tokens_per_s: 20_000.0,
            report_lag: Duration::from_millis(250),
        }
    }
}

/// Request kind of a simulated world, with its mean sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldKind {
    /// Name of the request kind that requests carry.
    pub name: &'static str,
    /// Value of a completed request.
    pub weight: f64,
    /// Priority; requests with lower numbers go first.
    pub priority: u8,
    /// Time after the arrival by which the first token is due.
    pub deadline: Duration,
    /// Mean prompt length in tokens; each request draws 0.5 to 1.5 times as many.
    pub prompt_tokens: f64,
    /// Mean answer length in tokens, with the same factor as the prompt.
    pub answer_tokens: f64,
    /// Share of the arrivals, 0 to 1; the shares of all kinds add up to 1.
    pub share: f64,
}

/// Client account of a simulated world.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldAccount {
    /// Name of the account in the operator text and in requests.
    pub name: String,
    /// Arrivals per second from this account.
    pub rate: f64,
    /// Requests per second that the operator text grants the account.
    pub limit: f64,
}

/// Scheduled fault of a group, given by its index.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WorldFault {
    /// The engine becomes slower by this factor until the end of the run.
    Straggle(usize, f64),
    /// The engine crashes and is not restarted.
    Lose(usize),
}

/// Components, arrivals and faults of a simulated world.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldPlan {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of replica groups, spread evenly over three failure domains.
    pub groups: usize,
    /// Speeds and limits of the engine of each group.
    pub rates: EngineRates,
    /// Request kinds; records refer to them by index.
    pub kinds: Vec<WorldKind>,
    /// Client accounts; records refer to them by index.
    pub accounts: Vec<WorldAccount>,
    /// Virtual time at which arrivals stop.
    pub duration: Duration,
    /// Virtual time before which arrivals and token times are not measured.
    pub warm_up: Duration,
    /// Faults with the virtual times at which they begin.
    pub faults: Vec<(Duration, WorldFault)>,
    /// Number of arrivals of which one crashes engines; `None` when none does.
    pub poison_interval: Option<usize>,
    /// Seed of all that is drawn for arrivals: times, kinds, accounts, sizes, prefixes, gateways.
    pub seed: u64,
}

/// Request kinds of the foundries' deployment.
#[must_use]
pub fn foundry_kinds() -> Vec<WorldKind> {
    let kind =
        |name, weight, priority, deadline_s, prompt_tokens, answer_tokens, share| WorldKind {
            name,
            weight,
            priority,
            deadline: Duration::from_secs(deadline_s),
            prompt_tokens,
            answer_tokens,
            share,
        };
    vec![
        kind("tuning_note", 4.0, 1, 3, 800.0, 100.0, 0.3),
        kind("customer_answer", 2.0, 2, 5, 600.0, 150.0, 0.4),
        kind("test_summary", 1.0, 3, 15, 1_500.0, 250.0, 0.3),
    ]
}

impl WorldPlan {
    /// Creates a plan without faults in which requests arrive at `load` times the
    /// [capacity](Self::capacity).
    #[must_use]
    pub fn at_load(load: f64, seed: u64) -> Self {
        let mut plan = Self {
            gateways: 6,
            groups: 9,
            rates: EngineRates::default(),
            kinds: foundry_kinds(),
            accounts: Vec::new(),
            duration: Duration::from_mins(1),
            warm_up: Duration::from_secs(10),
            faults: Vec::new(),
            poison_interval: None,
            seed,
        };
        let rate = load * plan.capacity();
        plan.accounts = (0..10)
            .map(|number| WorldAccount {
                name: format!("account{number}"),
                rate: rate / 10.0,
                limit: rate,
            })
            .collect();
        plan
    }

    /// Mean seconds for which a request of the kind occupies a slot of a full batch.
    #[must_use]
    pub fn slot_time_s(&self, kind: &WorldKind) -> f64 {
        let decode_s = kind.answer_tokens * self.rates.step_ms / 1_000.0;
        decode_s + kind.prompt_tokens / self.rates.prefill_tokens_per_s
    }

    /// Batch slots of all engines together.
    #[must_use]
    pub fn total_slots(&self) -> f64 {
        let slots = self.groups * self.rates.max_running;
        f64::from(u32::try_from(slots).unwrap_or(u32::MAX))
    }

    /// Requests per second that all engines together can serve when kinds arrive by their shares.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slot_time_s: f64 = self
            .kinds
            .iter()
            .map(|kind| kind.share * self.slot_time_s(kind))
            .sum();
        self.total_slots() / slot_time_s
    }

    /// Arrivals per second from all accounts together.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.accounts.iter().map(|account| account.rate).sum()
    }

    /// Highest weight per second that all engines can complete out of the given arrivals per second
    /// of each kind, in the order of `kinds`. Kinds with the highest weight per slot second are
    /// served first.
    #[must_use]
    pub fn best_weight_per_s(&self, arrivals: &[f64]) -> f64 {
        let mut kinds: Vec<(&WorldKind, f64)> =
            self.kinds.iter().zip(arrivals.iter().copied()).collect();
        let score = |kind: &WorldKind| kind.weight / self.slot_time_s(kind);
        kinds.sort_by(|a, b| score(b.0).total_cmp(&score(a.0)));
        let mut free_slots = self.total_slots();
        let mut weight = 0.0;
        for (kind, arrivals) in kinds {
            let served = arrivals.min(free_slots / self.slot_time_s(kind));
            free_slots -= served * self.slot_time_s(kind);
            weight += served * kind.weight;
        }
        weight
    }
}
