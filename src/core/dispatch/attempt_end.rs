value_type! {
    /// Why an attempt ended without a complete answer.
    #[derive(Copy, Eq)]
    pub enum AttemptEnd {
        /// The connection could not be established, so that no byte was sent.
        ConnectFailed,
        /// The server refused the request and stated that it did not run it.
        NotStarted,
        /// The connection broke or an answer chunk was missing, but the server did not crash as far
        /// as the gateway knows.
        ConnectionLost,
        /// The server accepts no connections or has another incarnation: it or its engine crashed.
        Crashed,
        /// The first token, or the whole answer of a plain service, did not arrive by the deadline.
        DeadlinePassed,
        /// The server did not answer in time, or its answer violates the protocol.
        Unresponsive,
    }

    /// Notice that an attempt ended without a complete answer.
    #[derive(Copy)]
    pub struct AttemptReport {
        /// Ticket of the request.
        pub ticket: u64,
        /// Cause; decides whether the request may have run and whether the target is avoided.
        pub end: AttemptEnd,
        /// Chunks delivered to the caller over all attempts; 0 for plain services.
        pub delivered: u64,
    }
}
