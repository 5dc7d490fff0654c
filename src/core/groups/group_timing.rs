use std::time::Duration;

value_type! {
    /// Intervals, timeouts and waits of the group manager.
    #[derive(Copy)]
    pub struct GroupTiming {
        /// Time between two polls of an instance.
        pub poll_interval: Duration,
        /// Time between two polls of an instance whose group does not serve or prepares new
        /// members.
        pub fast_poll_interval: Duration,
        /// Age of the newest report at which a member counts as unresponsive.
        /// Gateways must stop sending within 2 s; the difference is for the push to reach them.
        pub unresponsive_after: Duration,
        /// How long after sending an order a backend server may still start on it.
        pub order_deadline: Duration,
        /// Longest time that an order may be underway to the backend server.
        pub settling: Duration,
        /// Wait before an order is sent again to an instance whose report shows no effect.
        pub order_retry_interval: Duration,
        /// Longest wait of a new holder for the first reports and the answers of its fencing sweep.
        pub fencing_timeout: Duration,
        /// Time between two plans when nothing has changed.
        pub plan_interval: Duration,
        /// Time after the retirement of a group in which none is retired to use leftover instances,
        /// so that plans do not oscillate.
        pub repack_cooldown: Duration,
        /// Shortest time between two plans when something has changed.
        pub min_plan_interval: Duration,
        /// Time between heartbeats of the lease holder.
        pub heartbeat_interval: Duration,
        /// Time without a heartbeat of the lease holder after which another controller may withdraw
        /// a group again that the holder has republished. Before that the holder may still act, and
        /// its view of the group takes precedence.
        pub holder_timeout: Duration,
        /// Time until every gateway knows that a group is draining: the push and one repeated
        /// datagram. A request sent later is refused as not run and goes to another group.
        pub drain_notice: Duration,
        /// Wait before an instance that failed a second time is used again; it doubles with each
        /// further failure.
        pub initial_backoff: Duration,
        /// Longest wait before a repeatedly failing instance is used again.
        pub max_backoff: Duration,
        /// Time without failure after which the failures of an instance are counted from 1 again.
        pub stable_after: Duration,
        /// How long a member's steps must be slow before it counts as a straggler.
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
