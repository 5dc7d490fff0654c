use {
    crate::core::keys::{GroupKey, InstanceKey},
    smallvec::SmallVec,
};

value_type! {
    /// One step of a plan. Members are listed by rank.
    #[derive(Eq)]
    pub enum PlanMove {
        /// Start the next epoch of a group that does not serve, with replaced or restarted members.
        Replace {
            /// Group that does not serve.
            group: GroupKey,
            /// All members of its next epoch, the unchanged ones included.
            members: SmallVec<[InstanceKey; 8]>,
        },
        /// Load new members while the group serves on, then drain it and switch to them.
        Prepare {
            /// Group that serves and keeps its epoch until its requests have ended.
            group: GroupKey,
            /// All members after the switch, the unchanged ones included.
            members: SmallVec<[InstanceKey; 8]>,
        },
        /// Release the members of a group that does not serve.
        Dissolve(GroupKey),
        /// Let a serving group finish its requests, then release its members.
        Retire(GroupKey),
        /// Form a new group from free instances.
        Form {
            /// Index into [`PlanInput::services`](super::PlanInput).
            service: u16,
            /// Members; as many as the span of the service.
            members: SmallVec<[InstanceKey; 8]>,
        },
    }
}
