use {
    super::BackendEntry,
    crate::core::store::StoreVersion,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a removed entry is remembered: far longer than the age of a copy from which a
/// store is restored.
const REMOVAL_MEMORY: Duration = Duration::from_mins(2);

/// Time after which an entry that came back with a copy is used, if the store still has it: the store
/// removes entries of silent servers after three heartbeats, 3.6 s.
const RESTORED_TRIAL: Duration = Duration::from_secs(5);

/// Most removed entries that are remembered. The one removed first is forgotten before others.
const MAX_REMOVED: usize = 2_048;

value_type! {
    /// A row that is not used, since it may show a server that has left.
    struct HeldRow {
        version: StoreVersion,
        entry: BackendEntry,
        /// Time from which it is held; none until the next call of [`RemovedEntries::release`].
        since: Option<Duration>,
    }

    /// The last entry of a server that was removed.
    struct RemovedEntry {
        /// Start of the server and number of its last known entry.
        written_as: (u64, u64),
        /// Version of the removal.
        version: StoreVersion,
        removed_at: Duration,
        held: Option<HeldRow>,
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
            held: None,
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
    /// than the removal, or is of a later era and holds an entry from before the removal.
    /// `may_be_restored` is false for a row that was written after a restoration; it may hold the
    /// removed entry once more.
    pub fn is_outdated(
        &self,
        version: StoreVersion,
        entry: &BackendEntry,
        may_be_restored: bool,
    ) -> bool {
        let Some(removal) = self.removed.get(&entry.id) else {
            return false;
        };
        if version.era <= removal.version.era {
            return version <= removal.version;
        }
        entry.written_as() < removal.written_as
            || (may_be_restored && entry.written_as() == removal.written_as)
    }

    /// Holds a row back that [`Self::is_outdated`].
    pub fn hold(&mut self, version: StoreVersion, entry: BackendEntry) {
        let Some(removal) = self.removed.get_mut(&entry.id) else {
            return;
        };
        if version <= removal.version {
            return;
        }
        let since = removal.held.as_ref().and_then(|held| held.since);
        removal.held = Some(HeldRow {
            version,
            entry,
            since,
        });
    }

    /// Drops the held row of a server, since it was removed from the store.
    pub fn drop_held(&mut self, id: &str) {
        if let Some(removal) = self.removed.get_mut(id) {
            removal.held = None;
        }
    }

    /// Drops all held rows, before a whole read shows which ones are still there.
    pub fn drop_all_held(&mut self) {
        for removal in self.removed.values_mut() {
            removal.held = None;
        }
    }

    /// Takes the rows that were held so long that their servers must be alive.
    pub fn release(&mut self, now: Duration) -> Vec<(StoreVersion, BackendEntry)> {
        let mut released = Vec::new();
        for removal in self.removed.values_mut() {
            let Some(held) = &mut removal.held else {
                continue;
            };
            let since = *held.since.get_or_insert(now);
            if now >= since + RESTORED_TRIAL {
                released.extend(removal.held.take().map(|held| (held.version, held.entry)));
            }
        }
        for (_, entry) in &released {
            self.removed.remove(&entry.id);
        }
        released
    }

    /// Forgets the entries that were removed a while ago.
    pub fn expire(&mut self, now: Duration) {
        self.removed
            .retain(|_, entry| now < entry.removed_at + REMOVAL_MEMORY);
    }
}
