use std::time::Duration;

value_type! {
    /// Times of a lease, all on monotonic clocks.
    #[derive(Copy)]
    pub struct LeaseTiming {
        /// How long a renewal is valid, counted from before it was sent.
        pub lease: Duration,
        /// Extra wait of a contender, for clocks that run at different rates.
        pub margin: Duration,
        /// Time between renewals.
        pub renew_every: Duration,
        /// Time between reads of a contender.
        pub read_every: Duration,
        /// Wait after a failed call.
        pub retry_after: Duration,
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            // Four renewals fit in, so that one slow write does not lose the lease.
            lease: Duration::from_secs(4),
            margin: Duration::from_millis(500),
            renew_every: Duration::from_secs(1),
            read_every: Duration::from_millis(500),
            retry_after: Duration::from_millis(300),
        }
    }
}
