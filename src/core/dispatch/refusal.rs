use {crate::wire::Execution, std::time::Duration};

value_type! {
    /// Why a request got no complete answer. Each reason has an identifier and an HTTP status.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum RefusalReason {
        /// The path, a header or the body is malformed or out of range.
        BadRequest,
        /// The bearer key is missing or unknown.
        BadKey,
        /// The model, service or path does not exist.
        NotFound,
        /// The body is larger than the gateway accepts.
        TooLarge,
        /// The body did not arrive in time.
        BodyStalled,
        /// The gateway has no memory left for the body.
        NoBodyRoom,
        /// The client account has reached its limit on requests, tokens or concurrency.
        AccountLimit,
        /// The first token is predicted after the deadline.
        Overloaded,
        /// The queue of the service is full, and the request was the last one of the longest
        /// account queue; or the gateway has too many open requests.
        QueueFull,
        /// No group or server of the service was available within the maximum wait.
        NoTarget,
        /// The deadline passed before the first token, or before the whole answer of a plain
        /// service.
        DeadlinePassed,
        /// The request ran on two groups that crashed, and may have caused the crashes.
        CrashesEngines,
        /// An attempt failed, and the request could not be retried or its answer continued.
        Interrupted,
        /// The claim of the idempotency key could not be written in time.
        ClaimNotWritten,
        /// An earlier request with the same idempotency key may have run; its outcome is unknown.
        ClaimHeld,
        /// The idempotency key was used for a different request.
        KeyReused,
        /// The gateway is shutting down.
        Stopping,
        /// The gateway has no configuration yet.
        NotReady,
    }

    /// Refusal of a request, or of the rest of an answer that broke off.
    #[derive(Eq)]
    pub struct Refusal {
        /// Determines the HTTP status and the `type` of the problem body.
        pub reason: RefusalReason,
        /// Whether a backend server ran the request, as far as the gateway knows.
        pub execution: Execution,
        /// Explanation for a person, in one sentence.
        pub detail: String,
        /// Delay after which a retry may succeed, sent as `Retry-After`; `None` sends no such
        /// header.
        pub retry_after: Option<Duration>,
    }
}

impl RefusalReason {
    /// Stable identifier in answers and burn records.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BadKey => "bad_key",
            Self::NotFound => "not_found",
            Self::TooLarge => "too_large",
            Self::BodyStalled => "body_stalled",
            Self::NoBodyRoom => "no_body_room",
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

    /// Whether the request itself is invalid, so that it can never have run.
    ///
    /// ```
    /// use toucanring::core::dispatch::RefusalReason;
    ///
    /// assert!(RefusalReason::TooLarge.is_invalid_request());
    /// assert!(!RefusalReason::Stopping.is_invalid_request());
    /// ```
    #[must_use]
    pub const fn is_invalid_request(self) -> bool {
        matches!(
            self,
            Self::BadRequest | Self::BadKey | Self::NotFound | Self::TooLarge
        )
    }

    /// HTTP status with which the gateway answers.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::BadKey => 401,
            Self::NotFound => 404,
            Self::BodyStalled => 408,
            Self::TooLarge => 413,
            Self::ClaimHeld | Self::KeyReused => 409,
            Self::CrashesEngines => 422,
            Self::AccountLimit => 429,
            Self::Interrupted => 502,
            Self::DeadlinePassed => 504,
            Self::Overloaded
            | Self::QueueFull
            | Self::NoBodyRoom
            | Self::NoTarget
            | Self::ClaimNotWritten
            | Self::Stopping
            | Self::NotReady => 503,
        }
    }
}

impl Refusal {
    /// Creates a refusal of a request that no backend server has started to run.
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

    /// Creates a refusal without a retry delay.
    #[must_use]
    pub fn new(reason: RefusalReason, execution: Execution, detail: &str) -> Self {
        Self {
            reason,
            execution,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    /// Changes the execution from `NotRun` to `Unknown`, for a call with an idempotency key that is
    /// refused before it owns the claim: an earlier request with the same key may have run through
    /// any gateway.
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

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}
