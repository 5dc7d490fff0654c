use {super::GroupIdentity, smallvec::SmallVec, std::collections::VecDeque};

/// Most changes that are kept. Whoever is further behind reads the whole list.
const MAX_CHANGES: usize = 512;

value_type! {
    /// A change of the entry of one server.
    pub struct EntryChange {
        /// Revision of the list that the change made.
        pub revision: u64,
        /// Identifier of the server.
        pub server: String,
        /// Groups in which the server was before the change or is after it.
        pub groups: SmallVec<[GroupIdentity; 2]>,
    }
}

/// The latest changes of the list of servers. What is derived from the list is updated from these,
/// at a cost that does not grow with the list.
#[derive(Debug, Clone, Default)]
pub(super) struct ChangeLog {
    changes: VecDeque<EntryChange>,
}

impl ChangeLog {
    /// Adds the change that made a revision; revisions rise by 1.
    pub fn add(&mut self, change: EntryChange) {
        if self.changes.len() >= MAX_CHANGES {
            self.changes.pop_front();
        }
        self.changes.push_back(change);
    }

    /// The changes after a revision, the oldest first; none when some of them are no longer kept.
    pub fn since(&self, revision: u64) -> Option<impl Iterator<Item = &EntryChange>> {
        let newest = self.changes.back().map_or(0, |change| change.revision);
        let behind = usize::try_from(newest.checked_sub(revision)?).ok()?;
        let first = self.changes.len().checked_sub(behind)?;
        Some(self.changes.range(first..))
    }
}
