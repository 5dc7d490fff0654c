use {
    crate::core::keys::{GroupKey, InstanceKey},
    smallvec::SmallVec,
};

value_type! {
    /// One step of a plan. Members are listed by rank.
    #[derive(Eq)]
    pub enum PlanMove {
        /// Give a group that is down new members.
        Replace {
            /// The group.
            group: GroupKey,
            /// Its members from now on.
            members: SmallVec<[InstanceKey; 8]>,
        },
        /// Load new members while the group serves on, then change over.
        Prepare {
            /// The group.
            group: GroupKey,
            /// Its members after the change.
            members: SmallVec<[InstanceKey; 8]>,
        },
        /// Release the members of a group that is down.
        Dissolve(GroupKey),
        /// Let a serving group finish its requests, then release its members.
        Retire(GroupKey),
        /// Form a new group.
        Form {
            /// Index of the service.
            service: u16,
            /// Members.
            members: SmallVec<[InstanceKey; 8]>,
        },
    }
}
