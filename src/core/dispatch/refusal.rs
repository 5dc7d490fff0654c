use {crate::wire::Execution, std::time::Duration};

value_type! {
    /// Why a request is not answered.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum RefusalReason {
        /// The body or a header is wrong.
        BadRequest,
        /// The bearer key is missing or unknown.
        BadKey,
        /// No such model, service or path.
        NotFound,
        /// The body is larger than allowed.
        TooLarge,
        /// The account's limit is reached.
        AccountLimit,
        /// The first token would come after the deadline.
        Overloaded,
        /// The queue is full.
        QueueFull,
        /// No group or server of the service takes requests.
        NoTarget,
        /// The deadline passed.
        DeadlinePassed,
        /// The request ran on groups that crashed.
        CrashesEngines,
        /// The answer broke off and could not be continued.
        Interrupted,
        /// The claim could not be written in time.
        ClaimNotWritten,
        /// Another arrival with the same key may have run.
        ClaimHeld,
        /// The key was used for another request.
        KeyReused,
        /// The gateway stops.
        Stopping,
        /// The configuration is not known yet.
        NotReady,
    }

    /// A refusal, or the end of a broken answer.
    #[derive(Eq)]
    pub struct Refusal {
        /// Why.
        pub reason: RefusalReason,
        /// What is known about the execution.
        pub execution: Execution,
        /// One sentence for a person.
        pub detail: String,
        /// When it is worth trying again.
        pub retry_after: Option<Duration>,
    }
}

impl RefusalReason {
    /// Stable identifier for callers.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadKey => "bad_key",
            Self::NotFound => "not_found",
            Self::TooLarge => "too_large",
            Self::AccountLimit => "account_limit",
            Self::Overloaded => "overloaded",
            Self::QueueFull => "queue_full",
            Self::NoTarget => "no_target",
            Self::DeadlinePassed => "deadline_passed",
            Self::CrashesEngines => "crashes_engines",
            Self::Interrupted => "interrupted",
            Self::ClaimNotWritten => "claim_not_written",
            Self::ClaimHeld => "claim_held",
            Self::KeyReused => "key_reused",
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
        }
    }

    /// Whether the request itself is wrong, so that it can never have run.
    ///
    /// ```
    /// use toucanring::core::dispatch::RefusalReason;
    ///
    /// assert!(RefusalReason::TooLarge.is_wrong_request());
    /// assert!(!RefusalReason::Stopping.is_wrong_request());
    /// ```
    #[must_use]
    pub const fn is_wrong_request(self) -> bool {
        matches!(
            self,
            Self::BadRequest | Self::BadKey | Self::NotFound | Self::TooLarge
        )
    }

    /// HTTP status of the refusal.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BadKey => 401,
            Self::NotFound => 404,
            Self::TooLarge => 413,
            Self::ClaimHeld | Self::KeyReused => 409,
            Self::CrashesEngines => 422,
            Self::AccountLimit => 429,
            Self::Interrupted => 502,
            Self::DeadlinePassed => 504,
            Self::Overloaded
            | Self::QueueFull
            | Self::NoTarget
            | Self::ClaimNotWritten
            | Self::Stopping
            | Self::NotReady => 503,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that no backend server started on.
    ///
    /// ```
    /// use toucanring::{core::dispatch::{Refusal, RefusalReason}, wire::Execution};
    ///
    /// let refusal = Refusal::not_run(RefusalReason::BadKey, "the bearer key is unknown");
    /// assert_eq!(refusal.execution, Execution::NotRun);
    /// ```
    #[must_use]
    pub fn not_run(reason: RefusalReason, detail: &str) -> Self {
        Self::new(reason, Execution::NotRun, detail)
    }

    /// Creates a refusal.
    #[must_use]
    pub fn new(reason: RefusalReason, execution: Execution, detail: &str) -> Self {
        Self {
            reason,
            execution,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Weakens `not_run` to `unknown` for a call with an idempotency key that is
    /// refused before its claim is owned: an earlier arrival with the same key
    /// may have run through any gateway.
    ///
    /// ```
    /// use toucanring::{core::dispatch::{Refusal, RefusalReason}, wire::Execution};
    ///
    /// let refusal = Refusal::not_run(RefusalReason::AccountLimit, "the limit is reached");
    /// assert_eq!(refusal.before_claim().execution, Execution::Unknown);
    /// ```
    #[must_use]
    pub fn before_claim(mut self) -> Self {
        if self.execution == Execution::NotRun {
            self.execution = Execution::Unknown;
        }
        self
    }

    /// Adds the time after which another try is worthwhile.
    #[must_use]
    pub const fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
