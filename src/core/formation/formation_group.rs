use {super::ServerKey, smallvec::SmallVec, std::time::Duration};

slotmap::new_key_type! {
    /// Key of a group in the formation manager.
    pub struct GroupKey;
}

value_type! {
    /// Phase in the life of a group.
    #[derive(Copy, Eq)]
    pub enum GroupPhase {
        /// Members join and load the model.
        Joining,
        /// All members have reported ready, and the head was told to open.
        Opening,
        /// The head accepts requests.
        Open,
        /// The head finishes its requests before the group is dissolved.
        Closing,
        /// Members are told to leave; each may join another group once it has left.
        Dissolving,
    }

    /// A group as the formation manager tracks it.
    pub struct FormationGroup {
        /// Name, `<failure domain>-<epoch>`; unique over all holders of the lease.
        pub name: String,
        /// Number of the group; higher for groups of a later holder of the lease.
        pub epoch: u64,
        /// Name of the model that its members load.
        pub model: String,
        /// Members by rank; the first is the head.
        pub members: SmallVec<[ServerKey; 4]>,
        /// By rank: true when the member has reported ready under this name and epoch.
        pub seen_ready: SmallVec<[bool; 4]>,
        /// By rank: true when the member has accepted the join order.
        pub joined: SmallVec<[bool; 4]>,
        /// Phase that the group is in.
        pub phase: GroupPhase,
        /// When the group entered this phase, on the monotonic clock.
        pub since: Duration,
    }
}

impl GroupPhase {
    /// Name of the phase in log lines.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Joining => "joining",
            Self::Opening => "opening",
            Self::Open => "open",
            Self::Closing => "closing",
            Self::Dissolving => "dissolving",
        }
    }
}
