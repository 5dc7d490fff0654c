use {super::TargetKey, std::time::Duration};

slotmap::new_key_type! {
    /// Key of an attempt that runs at a replica group.
    pub struct AttemptKey;
}

value_type! {
    /// One attempt of a request that runs at a replica group.
    #[derive(Copy)]
    pub struct AttemptRecord {
        /// Group to which the attempt was sent.
        pub target: TargetKey,
        /// Prompt tokens, which count towards the backlog of the group until the first event.
        pub backlog_tokens: f64,
        /// Time at which the attempt was placed.
        pub sent_at: Duration,
        /// Predicted time from `sent_at` to the first event.
        pub predicted: Duration,
        /// Events received so far.
        pub events: u32,
        /// Time of the last event; none before the first one.
        pub last_event: Option<Duration>,
        /// Time from which on the group counts as silent towards the attempt: the last event or the
        /// time of sending, moved by the pauses of this gateway.
        pub silent_since: Duration,
        /// True after the attempt was told that its group stalled, until its next event.
        pub moved: bool,
    }
}
