value_type! {
    /// Why an attempt ended without a complete answer.
    #[derive(Copy, Eq)]
    pub enum AttemptEnd {
        /// No connection was made; no byte was sent.
        ConnectFailed,
        /// The server refused and said that it did not start.
        NotStarted,
        /// The connection broke or went silent, but the server goes on.
        ConnectionLost,
        /// The server or its engine crashed.
        Crashed,
        /// The first token or the whole plain answer did not come in time.
        DeadlinePassed,
        /// The server answers nothing, or not by the protocol.
        Unresponsive,
    }

    /// How an attempt ended.
    #[derive(Copy)]
    pub struct AttemptReport {
        /// Number of the request.
        pub ticket: u64,
        /// Why.
        pub end: AttemptEnd,
        /// Chunks delivered to the caller over all attempts.
        pub delivered: u64,
    }
}
