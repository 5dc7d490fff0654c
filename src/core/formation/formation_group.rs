use {super::ServerKey, smallvec::SmallVec, std::time::Duration};

slotmap::new_key_type! {
    /// Key of a group in the formation keeper.
    pub struct GroupKey;
}

value_type! {
    /// Where a group stands.
    #[derive(Copy, Eq)]
    pub enum GroupPhase {
        /// Members join and load.
        Joining,
        /// All members were seen ready; the head has been told to open.
        Opening,
        /// The head serves.
        Open,
        /// The head finishes its requests before the group is dissolved.
        Closing,
        /// The head must be out before its members may join again.
        Dissolving,
    }

    /// A group of the formation keeper.
    pub struct FormationGroup {
        /// Name, unique over all holders of the lease.
        pub name: String,
        /// Epoch.
        pub epoch: u64,
        /// Model.
        pub model: String,
        /// Members by rank; the first is the head.
        pub members: SmallVec<[ServerKey; 4]>,
        /// Members that were seen ready under this name and epoch.
        pub seen_ready: SmallVec<[bool; 4]>,
        /// Members that have taken the join.
        pub joined: SmallVec<[bool; 4]>,
        /// Where the group stands.
        pub phase: GroupPhase,
        /// Since when.
        pub since: Duration,
    }
}

impl GroupPhase {
    /// Name in logs.
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
