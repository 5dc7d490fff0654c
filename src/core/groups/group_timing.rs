use std::time::Duration;

value_type! {
    /// Times of the life cycle of replica groups.
    #[derive(Copy)]
    pub struct GroupTiming {
        /// Time between two polls of a member.
        pub poll_interval: Duration,
        /// Time between two polls of a member whose group is changing.
        pub fast_poll_interval: Duration,
        /// Age of the newest report at which a member counts as unresponsive.
        /// Gateways must stop within 2 s; the rest is for the push to reach them.
        pub unresponsive_after: Duration,
        /// How long an order may wait before a backend server starts on it.
        pub order_deadline: Duration,
        /// Time between sending an order and its arrival, at most.
        pub settling: Duration,
        /// Wait before an order that shows no effect is sent again.
        pub order_retry_interval: Duration,
        /// Wait of a new holder for the answers of its fencing sweep.
        pub fencing_timeout: Duration,
        /// Time between two plans when nothing has changed.
        pub plan_interval: Duration,
        /// Time after the retirement of a group in which none is retired to use leftover instances.
        pub repack_cooldown: Duration,
        /// Shortest time between two plans.
        pub min_plan_interval: Duration,
        /// Time between heartbeats of the holder.
        pub heartbeat_interval: Duration,
        /// Silence of the lease holder after which a standby withdraws groups.
        /// Below that its own view could disagree with a holder that still acts.
        pub holder_timeout: Duration,
        /// Time until every gateway has heard that a group is draining: the push and one
        /// repeated datagram. A later request is refused as not run and goes elsewhere.
        pub drain_notice: Duration,
        /// First wait of an instance that fails again; it doubles with each failure.
        pub initial_backoff: Duration,
        /// Longest wait of a flapping instance.
        pub max_backoff: Duration,
        /// Time without failure after which an instance counts as stable.
        pub stable_after: Duration,
        /// Time of slow steps after which a member counts as a straggler.
        pub straggler_after: Duration,
    }
}

impl Default for GroupTiming {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(300),
            fast_poll_interval: Duration::from_millis(100),
            unresponsive_after: Duration::from_millis(1_200),
            order_deadline: Duration::from_secs(1),
            settling: Duration::from_secs(1),
            order_retry_interval: Duration::from_millis(900),
            fencing_timeout: Duration::from_millis(1_500),
            plan_interval: Duration::from_secs(1),
            repack_cooldown: Duration::from_secs(10),
            min_plan_interval: Duration::from_millis(50),
            heartbeat_interval: Duration::from_millis(500),
            holder_timeout: Duration::from_millis(1_100),
            drain_notice: Duration::from_millis(600),
            initial_backoff: Duration::from_secs(10),
            max_backoff: Duration::from_mins(5),
            stable_after: Duration::from_mins(2),
            straggler_after: Duration::from_secs(3),
        }
    }
}
