use std::time::Duration;

value_type! {
    /// What a request is for.
    pub enum RequestTarget {
        /// A model service.
        Model(String),
        /// A plain service.
        Plain(String),
    }

    /// How often a request may run.
    pub enum RepeatRule {
        /// As often as needed.
        Repeatable,
        /// At most once; with the caller's `Idempotency-Key`, when given, as claim key.
        Once(Option<String>),
    }

    /// A request as the decisions see it.
    pub struct RequestIntake {
        /// Number of the request within the process.
        pub ticket: u64,
        /// Client account.
        pub account: String,
        /// Service.
        pub target: RequestTarget,
        /// How often it may run.
        pub repeat: RepeatRule,
        /// Name of its kind.
        pub kind: String,
        /// Value of its completion.
        pub weight: f64,
        /// Lower numbers go first.
        pub priority: u8,
        /// Estimated prompt tokens.
        pub prompt_tokens: u32,
        /// Most tokens of the answer.
        pub answer_tokens: u32,
        /// Hash of the prompt's beginning.
        pub prefix: u64,
        /// Fingerprint of client account and body.
        pub fingerprint: u64,
        /// Monotonic time after which the first token is of no use.
        pub deadline: Duration,
    }
}

impl RequestIntake {
    /// Estimated tokens of prompt and answer.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.answer_tokens)
    }

    /// Name of the service.
    #[must_use]
    pub fn service(&self) -> &str {
        match &self.target {
            RequestTarget::Model(service) | RequestTarget::Plain(service) => service,
        }
    }
}
