use std::time::Duration;

value_type! {
    /// Durations of a lease, all measured on monotonic clocks.
    #[derive(Copy)]
    pub struct LeaseTiming {
        /// Validity of a renewal, counted from the time before it was sent.
        pub lease: Duration,
        /// Time beyond the validity that a contender waits, for clocks that run at different
        /// rates.
        pub margin: Duration,
        /// Interval between renewals of the holder.
        pub renew_interval: Duration,
        /// Interval between reads of the lease row by a contender.
        pub read_interval: Duration,
        /// Delay before the next call after a failed one.
        pub retry_after: Duration,
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            // Four renewals fit in, so that one slow write does not lose the lease.
            lease: Duration::from_secs(4),
            margin: Duration::from_millis(500),
            renew_interval: Duration::from_secs(1),
            read_interval: Duration::from_millis(500),
            retry_after: Duration::from_millis(300),
        }
    }
}
