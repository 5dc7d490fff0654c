use {
    super::BackendEntry,
    crate::core::store::StoreVersion,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a removed entry is remembered: far longer than the age of a copy from which a
/// store is restored.
const REMOVAL_MEMORY: Duration = Duration::from_mins(2);

/// Most removed entries that are remembered. The one removed first is forgotten before others.
const MAX_REMOVED: usize = 2_048;

value_type! {
    /// The last entry of a server that was removed.
    struct RemovedEntry {
        /// Start of the server and number of its last known entry.
        written_as: (u64, u64),
        /// Version of the removal.
        version: StoreVersion,
        removed_at: Duration,
    }
}

/// Entries that were removed lately, by identifier of the server. A store that is restored from a
/// copy shows entries again whose servers have left since.
#[derive(Debug, Clone, Default)]
pub(super) struct RemovedEntries {
    removed: BTreeMap<String, RemovedEntry>,
}

impl RemovedEntries {
    /// Remembers an entry that was removed in `version`.
    pub fn record(&mut self, now: Duration, entry: &BackendEntry, version: StoreVersion) {
        if self.removed.len() >= MAX_REMOVED {
            self.forget_oldest();
        }
        let removal = RemovedEntry {
            written_as: entry.written_as(),
            version,
            removed_at: now,
        };
        self.removed.insert(entry.id.clone(), removal);
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .removed
            .iter()
            .min_by_key(|(_, entry)| entry.removed_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.removed.remove(&id);
        }
    }

    /// Version of the last removal of a server's entry; none when it is not remembered.
    pub fn version_of(&self, id: &str) -> Option<StoreVersion> {
        self.removed.get(id).map(|removal| removal.version)
    }

    /// True when the server has not written a row since its entry was removed: the row is not later
    /// than the removal, or holds an entry from before the removed one, or the same one restored
    /// with the store. `may_be_restored` is false for a row that was written after a restoration; it
    /// may hold the removed entry once more.
    pub fn is_outdated(
        &self,
        version: StoreVersion,
        entry: &BackendEntry,
        may_be_restored: bool,
    ) -> bool {
        let Some(removal) = self.removed.get(&entry.id) else {
            return false;
        };
        if version <= removal.version || entry.written_as() < removal.written_as {
            return true;
        }
        let is_same = entry.written_as() == removal.written_as;
        is_same && may_be_restored && version.era > removal.version.era
    }

    /// Forgets the removal of a server's entry.
    pub fn forget(&mut self, id: &str) {
        self.removed.remove(id);
    }

    /// Forgets the entries that were removed a while ago.
    pub fn expire(&mut self, now: Duration) {
        self.removed
            .retain(|_, entry| now < entry.removed_at + REMOVAL_MEMORY);
    }
}
