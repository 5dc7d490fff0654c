use {super::TargetKey, std::time::Duration};

slotmap::new_key_type! {
    /// Key of an attempt that runs at a replica group.
    pub struct AttemptKey;
}

value_type! {
    /// An attempt that runs at a replica group.
    #[derive(Copy)]
    pub struct AttemptRecord {
        /// The group.
        pub target: TargetKey,
        /// Prompt tokens that count as backlog until the first event.
        pub backlog_tokens: f64,
        /// When it was sent.
        pub sent_at: Duration,
        /// Predicted time to the first event.
        pub predicted: Duration,
        /// Events seen.
        pub events: u32,
        /// Time of the last event; none before the first.
        pub last_event: Option<Duration>,
        /// True when the attempt was told to move to another group.
        pub moved: bool,
    }
}
