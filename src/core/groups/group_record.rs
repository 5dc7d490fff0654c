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
    /// The instance at one rank of a group.
    #[derive(Copy, Eq)]
    pub(super) struct MemberSlot {
        pub instance: InstanceKey,
        /// Incarnation of the instance when it was given the rank; another one means a restart.
        pub incarnation: u64,
    }

    /// A replica group of this failure domain.
    #[allow(clippy::struct_excessive_bools)] // set independently of each other
    pub(super) struct GroupRecord {
        pub id: GroupId,
        pub service: String,
        pub model: String,
        /// Bytes of one shard; 0 in a record made from another controller's entry.
        pub shard_bytes: u64,
        pub epoch: u64,
        /// Slots by rank.
        pub members: SmallVec<[MemberSlot; 4]>,
        /// Members of the next epoch, which load while the group serves on with the present ones.
        pub next: Option<SmallVec<[MemberSlot; 4]>>,
        pub state: GroupState,
        /// When the group stopped taking new requests for a planned move; `None` while it takes
        /// them.
        pub draining_since: Option<Duration>,
        /// True when the group is dissolved once it has drained.
        pub retiring: bool,
        /// True when the members do not share a fabric domain.
        pub slow: bool,
        /// When a member was first missing; `None` while every member is in place.
        pub broken_since: Option<Duration>,
        pub row: KnownRow<GroupRow>,
        /// Entry that was last published, by this process or another controller; `None` before the
        /// first.
        pub published: Option<GroupEntry>,
        /// Version of the published entry; the next one must exceed it.
        pub version: FencingNumber,
        /// When another controller's entry was taken over. Reports from before that time say
        /// nothing about it. Zero for a group that this process formed or adopted.
        pub learned_at: Duration,
        /// True when this process withdrew the group without the lease and has not seen all members
        /// in place since.
        pub withdrew: bool,
        /// True once a member was ordered to load; reset when the members change or are all in
        /// place.
        pub load_started: bool,
    }
}

impl GroupRecord {
    /// Number of ranks, as the group has them now.
    pub fn span(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }
}
