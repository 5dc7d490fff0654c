use super::EngineMembership;

value_type! {
    /// What an engine answers when asked for its state.
    pub struct EngineReport {
        /// Unix milliseconds of its start; 0 when it does not say.
        pub born_ms: u64,
        /// Its replica group.
        pub membership: Option<EngineMembership>,
        /// Model in its accelerators.
        pub model: Option<String>,
        /// Models whose weights lie on its host.
        pub staged: Vec<String>,
        /// Requests that wait.
        pub queued: u32,
        /// Requests that run.
        pub running: u32,
        /// Factor on its usual times; above 1 when the engine is slow.
        pub pace: f64,
    }
}
