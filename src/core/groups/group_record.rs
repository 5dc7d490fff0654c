use {
    super::group_rows::{GroupRow, KnownRow},
    crate::{
        core::keys::InstanceKey,
        wire::{FencingNumber, GroupEntry, GroupId, GroupState},
    },
    smallvec::SmallVec,
    std::time::Duration,
};

value_type! {
    /// A rank of a group.
    #[derive(Copy, Eq)]
    pub(super) struct MemberSlot {
        pub instance: InstanceKey,
        /// Incarnation that the rank was given to.
        pub incarnation: u64,
    }

    /// A replica group of the failure domain.
    #[allow(clippy::struct_excessive_bools)] // independent facts
    pub(super) struct GroupRecord {
        pub id: GroupId,
        pub service: String,
        pub model: String,
        pub shard_bytes: u64,
        pub epoch: u64,
        /// Slots by rank.
        pub members: SmallVec<[MemberSlot; 4]>,
        /// Members of the next epoch, while the group serves on with the present ones.
        pub next: Option<SmallVec<[MemberSlot; 4]>>,
        pub state: GroupState,
        /// Set when the group stops taking new requests for a planned move.
        pub draining_since: Option<Duration>,
        /// Dissolve the group once it has drained.
        pub retiring: bool,
        pub slow: bool,
        /// Broken since; `None` while every member is sound.
        pub broken_since: Option<Duration>,
        pub row: KnownRow<GroupRow>,
        pub published: Option<GroupEntry>,
        /// Version that any further entry must exceed.
        pub version: FencingNumber,
        /// When another controller's entry was taken over; reports from before say nothing about it.
    pub learned_at: Duration,
    /// This process withdrew the group without the lease and has not seen it whole since.
    pub withdrew: bool,
    /// True once its members have been ordered to load.
        pub load_started: bool,
    }
}

impl GroupRecord {
    /// Number of ranks.
    pub fn span(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }
}
