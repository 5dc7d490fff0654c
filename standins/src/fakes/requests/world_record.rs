use {std::time::Duration, toucanring::core::dispatch::RefusalReason};

/// What became of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRecord {
    /// Index of its kind.
    pub kind: usize,
    /// Index of its account.
    pub account: usize,
    /// Arrival.
    pub arrived: Duration,
    /// Time after which the first token is of no use.
    pub deadline: Duration,
    /// True when it crashes engines.
    pub poison: bool,
    /// Group on which it is now.
    pub group: Option<usize>,
    /// First token.
    pub first_token: Option<Duration>,
    /// Last token.
    pub done: Option<Duration>,
    /// Refusal.
    pub refused: Option<RefusalReason>,
    /// True when the caller left at the deadline.
    pub left: bool,
    /// Groups that it crashed.
    pub crashed: u32,
    /// Times that its caller sent it again.
    pub resends: u32,
}

/// Everything that a world measured.
#[derive(Debug, Clone, Default)]
pub struct WorldOutcome {
    /// Requests in order of arrival.
    pub records: Vec<RequestRecord>,
    /// Times between tokens in milliseconds.
    pub gaps_ms: Vec<f64>,
    /// Requests that the gateways still count after the end.
    pub left_open: usize,
}

impl RequestRecord {
    /// True when the first token came in time and the answer is whole.
    #[must_use]
    pub fn completed(&self) -> bool {
        let in_time = self.first_token.is_some_and(|at| at <= self.deadline);
        in_time && self.done.is_some()
    }
}
