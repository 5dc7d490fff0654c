use std::time::Duration;

/// Rates and limits of a fake engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineRates {
    /// Largest batch.
    pub max_running: usize,
    /// Largest queue.
    pub max_waiting: usize,
    /// Time of a decode step with a full batch, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Age that a load report may have.
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

/// A request kind with its sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldKind {
    /// Name.
    pub name: &'static str,
    /// Value of a completed request.
    pub weight: f64,
    /// Priority; lower numbers go first.
    pub priority: u8,
    /// Time to the first token.
    pub deadline: Duration,
    /// Mean prompt tokens.
    pub prompt_tokens: f64,
    /// Mean answer tokens.
    pub answer_tokens: f64,
    /// Share of arrivals.
    pub share: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldAccount {
    /// Name.
    pub name: String,
    /// Arrivals per second.
    pub rate: f64,
    /// Limit on requests per second.
    pub limit: f64,
}

/// A fault at a time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WorldFault {
    /// A group becomes slower by this factor.
    Straggle(usize, f64),
    /// A group is lost for good.
    Lose(usize),
}

/// What a world contains and what happens in it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorldPlan {
    /// Gateways.
    pub gateways: usize,
    /// Replica groups, spread over three failure domains.
    pub groups: usize,
    /// Engine of each group.
    pub rates: EngineRates,
    /// Kinds of requests.
    pub kinds: Vec<WorldKind>,
    /// Client accounts.
    pub accounts: Vec<WorldAccount>,
    /// Time in which requests arrive.
    pub duration: Duration,
    /// Requests that arrive earlier are not counted.
    pub warm_up: Duration,
    /// Faults with their times.
    pub faults: Vec<(Duration, WorldFault)>,
    /// Arrivals between two requests that crash engines; none when `None`.
    pub poison_every: Option<usize>,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// The kinds of the foundries' deployment, with sizes of our choice.
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
    /// A world whose arrivals are `load` times what its engines can serve.
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
            poison_every: None,
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

    /// Mean seconds for which a request of the kind holds a place in a full batch.
    #[must_use]
    pub fn hold_s(&self, kind: &WorldKind) -> f64 {
        let decode_s = kind.answer_tokens * self.rates.step_ms / 1_000.0;
        decode_s + kind.prompt_tokens / self.rates.prefill_tokens_per_s
    }

    /// Places of all engines.
    #[must_use]
    pub fn places(&self) -> f64 {
        let places = self.groups * self.rates.max_running;
        f64::from(u32::try_from(places).unwrap_or(u32::MAX))
    }

    /// Requests per second of the mix that all engines can serve.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let hold_s: f64 = self
            .kinds
            .iter()
            .map(|kind| kind.share * self.hold_s(kind))
            .sum();
        self.places() / hold_s
    }

    /// Arrivals per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.accounts.iter().map(|account| account.rate).sum()
    }

    /// Most weight per second that all engines can complete out of these
    /// arrivals per second by kind: kinds with the highest value for their
    /// time in a full batch come first.
    #[must_use]
    pub fn best_weight_per_s(&self, arrivals: &[f64]) -> f64 {
        let mut kinds: Vec<(&WorldKind, f64)> =
            self.kinds.iter().zip(arrivals.iter().copied()).collect();
        let value = |kind: &WorldKind| kind.weight / self.hold_s(kind);
        kinds.sort_by(|a, b| value(b.0).total_cmp(&value(a.0)));
        let mut places = self.places();
        let mut weight = 0.0;
        for (kind, arrivals) in kinds {
            let served = arrivals.min(places / self.hold_s(kind));
            places -= served * self.hold_s(kind);
            weight += served * kind.weight;
        }
        weight
    }
}
