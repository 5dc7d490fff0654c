use {std::time::Duration, toucanring::core::dispatch::RefusalReason};

/// A request of a simulated run and its outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestRecord {
    /// Index in [`WorldPlan::kinds`](super::WorldPlan).
    pub kind: usize,
    /// Index in [`WorldPlan::accounts`](super::WorldPlan).
    pub account: usize,
    /// Virtual time of the first arrival; a resend does not change it.
    pub arrived: Duration,
    /// Virtual time by which the first token is due; a resend sets a new one.
    pub deadline: Duration,
    /// True when it crashes every engine that starts it.
    pub poison: bool,
    /// Index of the group whose engine holds it at the moment.
    pub group: Option<usize>,
    /// Virtual time of the first token; `None` until one arrives.
    pub first_token: Option<Duration>,
    /// Virtual time of the last token; `None` while the answer is incomplete.
    pub done: Option<Duration>,
    /// Reason of the last refusal; `None` again after a resend.
    pub refused: Option<RefusalReason>,
    /// True when the caller gave up because no token had arrived by the deadline.
    pub caller_left: bool,
    /// Number of engine crashes that it caused.
    pub crashed: u32,
    /// Number of times that its caller sent it again after a refusal.
    pub resends: u32,
}

/// Measurements of a simulated run.
#[derive(Debug, Clone, Default)]
pub struct WorldOutcome {
    /// Requests in order of arrival.
    pub records: Vec<RequestRecord>,
    /// Times between two tokens of an answer, in milliseconds, without the warm-up.
    pub token_gaps_ms: Vec<f64>,
    /// Number of requests that at the end are neither completed, refused nor given up.
    pub open_at_end: usize,
}

impl RequestRecord {
    /// True when the first token arrived by the deadline and the answer is complete.
    #[must_use]
    pub fn completed(&self) -> bool {
        let in_time = self.first_token.is_some_and(|at| at <= self.deadline);
        in_time && self.done.is_some()
    }
}
