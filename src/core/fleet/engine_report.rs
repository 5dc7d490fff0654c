use super::EngineMembership;

value_type! {
    /// State of an engine as the engine itself reports it when asked.
    pub struct EngineReport {
        /// Start time of the engine process in Unix milliseconds; 0 when the engine does not report
        /// it.
        pub born_ms: u64,
        /// Place of the engine in a replica group; none while it belongs to no group.
        pub membership: Option<EngineMembership>,
        /// Model loaded into its accelerators; none when no model is loaded.
        pub model: Option<String>,
        /// Models whose weights are stored on its host, from where they load faster than from the
        /// weight store.
        pub staged: Vec<String>,
        /// Number of requests that wait at the engine.
        pub queued: u32,
        /// Number of requests that run at the engine.
        pub running: u32,
        /// Ratio of the current to the usual times of the engine; above 1 when the engine is slow,
        /// 1 when it does not report any.
        pub pace: f64,
    }
}
