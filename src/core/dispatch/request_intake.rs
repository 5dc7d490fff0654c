use std::time::Duration;

value_type! {
    /// Service that a request is addressed to, by name.
    pub enum RequestTarget {
        /// A model service, run by a replica group.
        Model(String),
        /// A plain service, run by one of its servers.
        Plain(String),
    }

    /// Whether a request may run more than once.
    pub enum RepeatRule {
        /// The request may be retried after it has run.
        Repeatable,
        /// The request may run at most once. Holds the caller's `Idempotency-Key`, under which its
        /// outcome is recorded; `None` if the caller sent none.
        Once(Option<String>),
    }

    /// Properties of a request that the dispatcher decides by.
    pub struct RequestIntake {
        /// Number of the request, unique within the gateway process.
        pub ticket: u64,
        /// Name of the client account that the bearer key belongs to.
        pub account: String,
        /// Service that is to answer.
        pub target: RequestTarget,
        /// Whether a failed attempt that may have run can be followed by another one.
        pub repeat: RepeatRule,
        /// Name of the request kind, as in the burn records.
        pub kind: String,
        /// Value of a completed answer, from the request kind.
        pub weight: f64,
        /// Priority from the request kind; lower numbers are started first.
        pub priority: u8,
        /// Estimated prompt tokens; 0 for plain services.
        pub prompt_tokens: u32,
        /// Maximum tokens of the answer, assumed if the caller sets none; 0 for plain services.
        pub answer_tokens: u32,
        /// Hash of the model and the first bytes of the prompt; 0 for plain services.
        pub prefix: u64,
        /// Hash that identifies a repetition of the request: client account and body, with method
        /// and path for plain services.
        pub fingerprint: u64,
        /// Monotonic time by which the first token, or the whole answer of a plain service, is due.
        pub deadline: Duration,
    }
}

impl RequestIntake {
    /// Estimated prompt tokens plus maximum answer tokens, charged to the account on arrival.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        f64::from(self.prompt_tokens) + f64::from(self.answer_tokens)
    }

    /// Name of the model service or plain service.
    #[must_use]
    pub fn service(&self) -> &str {
        match &self.target {
            RequestTarget::Model(service) | RequestTarget::Plain(service) => service,
        }
    }
}
