use {
    super::{PaceLoad, PacePhase},
    std::time::Duration,
};

value_type! {
    /// A change of the phase of a group, with its inputs, for the log.
    pub struct PaceChange {
        /// Name of the group.
        pub group: String,
        /// Epoch of the group.
        pub epoch: u64,
        /// Phase from now on.
        pub phase: PacePhase,
        /// Permitted running requests of all nodes.
        pub permitted: f64,
        /// Load at the change.
        pub load: PaceLoad,
        /// Earlier returns of the head that are not forgotten.
        pub returns: f64,
        /// Time since the pace of the group began.
        pub age: Duration,
    }
}
