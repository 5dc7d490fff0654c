use {
    super::BackendEntry,
    crate::core::store::StoreVersion,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time after which a row that its server seems to have written before the known entry is used, if
/// the store still has it: the store removes entries of silent servers after three heartbeats, 3.6 s.
const HELD_ROW_TRIAL: Duration = Duration::from_secs(5);

/// Most rows that are held. One more takes the place of the row with the lowest version.
const MAX_HELD_ROWS: usize = 2_048;

value_type! {
    /// A row that is not used, since it may be older than what is known of its server.
    pub struct HeldRow {
        /// Version of the row in the store.
        pub version: StoreVersion,
        /// Content of the row.
        pub entry: BackendEntry,
        /// Time from which it is held; none until the next call of [`HeldRows::release`].
        since: Option<Duration>,
    }
}

/// Rows whose entries were written before the known ones of their servers, by identifier. A store
/// shows such a row when it was restored from a copy, or has performed a write late. A live server
/// writes its row again; only if none does so, the held row is the true one, as after a start with a
/// clock that is behind.
#[derive(Debug, Clone, Default)]
pub(super) struct HeldRows {
    rows: BTreeMap<String, HeldRow>,
    /// Servers of which a row began to be held since the last [`HeldRows::take_new`].
    new: BTreeSet<String>,
}

impl HeldRows {
    /// Holds a row back, in place of an earlier one of the same server.
    pub fn hold(&mut self, version: StoreVersion, entry: BackendEntry) {
        let held = self.rows.get(&entry.id);
        let since = held.and_then(|held| held.since);
        if held.is_none() {
            if self.rows.len() >= MAX_HELD_ROWS {
                self.drop_oldest();
            }
            self.new.insert(entry.id.clone());
        }
        let row = HeldRow {
            version,
            entry,
            since,
        };
        self.rows.insert(row.entry.id.clone(), row);
    }

    /// Rows that began to be held since the last call.
    pub fn take_new(&mut self) -> Vec<HeldRow> {
        let ids = std::mem::take(&mut self.new).into_iter();
        ids.filter_map(|id| self.rows.get(&id).cloned()).collect()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, held)| held.version);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.rows.remove(&id);
        }
    }

    /// Drops the held row of a server, since its row was written again or removed.
    pub fn drop_held(&mut self, id: &str) {
        self.rows.remove(id);
    }

    /// Drops all held rows, before a whole read shows which ones are still there.
    pub fn drop_all(&mut self) {
        self.rows.clear();
    }

    /// Takes the rows that were held so long that their servers must be alive.
    pub fn release(&mut self, now: Duration) -> Vec<(StoreVersion, BackendEntry)> {
        let mut released = Vec::new();
        for held in self.rows.values_mut() {
            let since = *held.since.get_or_insert(now);
            if now >= since + HELD_ROW_TRIAL {
                released.push((held.version, held.entry.clone()));
            }
        }
        for (_, entry) in &released {
            self.rows.remove(&entry.id);
        }
        released
    }
}
