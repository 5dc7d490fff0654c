use crate::wire::Execution;

wire_type! {
    /// What became of a request.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum RequestOutcome {
        /// Complete within its deadline.
        Completed,
        /// Complete, but after its deadline.
        Late,
        /// Started for the caller and not completed.
        Incomplete,
        /// Refused before any part of an answer was sent.
        Refused {
            /// Stable identifier of the reason, as in the problem body.
            reason: String,
            /// What is known about the execution.
            execution: Execution,
        },
    }
}

value_type! {
    /// A request that has ended, as the gateway reports it.
    pub struct FinishedRequest {
        /// Model service or plain service.
        pub service: String,
        /// Client account.
        pub account: String,
        /// Request kind.
        pub kind: String,
        /// Weight of the kind; kept in thousandths, so that sums are exact.
        pub weight: f64,
        /// Outcome.
        pub outcome: RequestOutcome,
    }
}
