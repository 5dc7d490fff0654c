use crate::wire::Execution;

wire_type! {
    /// Outcome of a request.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestOutcome {
        /// Completed; the first token of a stream, or else the answer, came within the deadline.
        Completed,
        /// Completed, but the first token or the answer came after the deadline.
        Late,
        /// The answer to the caller was started but not completed, or the caller left before the end.
        Incomplete,
        /// Refused before any part of an answer was sent to the caller.
        Refused {
            /// Stable identifier of the reason, as in the problem body of the answer.
            reason: String,
            /// Whether the request may have run on a backend server.
            execution: Execution,
        },
    }
}

value_type! {
    /// A request that has ended, as the gateway counts it.
    pub struct FinishedRequest {
        /// Name of the model service or plain service.
        pub service: String,
        /// Name of the client account.
        pub account: String,
        /// Name of the request kind.
        pub kind: String,
        /// Weight of the kind; the ledger rounds it to thousandths, so that sums are exact.
        pub weight: f64,
        /// How the request ended.
        pub outcome: RequestOutcome,
    }
}
