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
    #[derive(Copy)]
    struct RemovedEntry {
        /// Start of the server and number of its last known entry.
        written_as: (u64, u64),
        /// Era of the store when the entry was removed.
        era: u64,
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
    /// Remembers an entry that was removed in an era of the store.
    pub fn record(&mut self, now: Duration, entry: &BackendEntry, era: u64) {
        if self.removed.len() >= MAX_REMOVED {
            self.forget_oldest();
        }
        let removal = RemovedEntry {
            written_as: entry.written_as(),
            era,
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

    /// True when a row of a later era holds no later entry than the one that was removed: the server
    /// has not written it again since the store was restored.
    pub fn is_restored(&self, version: StoreVersion, entry: &BackendEntry) -> bool {
        let removal = self.removed.get(&entry.id);
        removal.is_some_and(|removal| {
            removal.era < version.era && entry.written_as() <= removal.written_as
        })
    }

    /// Forgets the entries that were removed a while ago.
    pub fn expire(&mut self, now: Duration) {
        self.removed
            .retain(|_, entry| now < entry.removed_at + REMOVAL_MEMORY);
    }
}
