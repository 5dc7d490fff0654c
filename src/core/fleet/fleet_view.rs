use {
    super::BackendEntry,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after the return of the store within which servers write their lapsed
/// entries anew. Entries that vanish during this time are kept until its end.
const RETURN_GRACE: Duration = Duration::from_secs(2);

value_type! {
    /// An entry with where it comes from.
    pub struct KnownEntry {
        /// The entry.
        pub entry: BackendEntry,
        /// Version of its row.
        pub version: u64,
        /// Set when the row is gone but may come back: the time at which the entry counts as gone.
        pub lapses_at: Option<Duration>,
    }

    /// A change of belief about a backend server.
    pub enum FleetChange {
        /// A server appeared, or was born again under its identifier.
        Appeared(String),
        /// An entry changed.
        Changed(String),
        /// A server is gone.
        Gone(String),
        /// The row is gone right after an outage of the store; the entry is kept for a while.
        Doubtful(String),
    }
}

/// The backend servers by identifier.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    entries: BTreeMap<String, KnownEntry>,
    version: u64,
    newest_row: u64,
    revision: u64,
    grace_until: Duration,
}

impl FleetView {
    /// Creates an empty view.
    ///
    /// ```
    /// let view = toucanring::core::fleet::FleetView::new();
    /// assert_eq!(view.version(), 0);
    /// assert!(view.is_empty());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the store up to which the view is complete.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Version of the newest row that was taken.
    #[must_use]
    pub const fn newest_row(&self) -> u64 {
        self.newest_row
    }

    /// Grows with each change; callers use it to skip work.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// True when no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries in the order of their identifiers.
    pub fn entries(&self) -> impl Iterator<Item = &BackendEntry> {
        self.entries.values().map(|known| &known.entry)
    }

    /// All entries with their versions.
    pub fn known(&self) -> impl Iterator<Item = &KnownEntry> {
        self.entries.values()
    }

    /// The entry of a server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&BackendEntry> {
        self.entries.get(id).map(|known| &known.entry)
    }

    /// The entry of a server with its version.
    #[must_use]
    pub fn get_known(&self, id: &str) -> Option<&KnownEntry> {
        self.entries.get(id)
    }

    /// Notes that the store answers again after an outage.
    pub fn store_returned(&mut self, now: Duration) {
        self.grace_until = now + RETURN_GRACE;
    }

    /// Notes that the view is complete up to `version`.
    pub fn complete_to(&mut self, version: u64) {
        self.version = self.version.max(version);
    }

    /// Takes a row; rows older than the known one are ignored.
    pub fn put(&mut self, version: u64, entry: BackendEntry) -> Option<FleetChange> {
        self.newest_row = self.newest_row.max(version);
        let id = entry.id.clone();
        let before = self.entries.get(&id);
        // Servers write lapsed entries anew, in rows of later versions. A row that
        // is not later comes from a node that has not heard of the removal.
        if before.is_some_and(|known| known.version >= version) {
            return None;
        }
        let change = match before {
            Some(known) if known.entry == entry => None,
            Some(known) if known.entry.born_ms == entry.born_ms => {
                Some(FleetChange::Changed(id.clone()))
            }
            _ => Some(FleetChange::Appeared(id.clone())),
        };
        let known = KnownEntry {
            entry,
            version,
            lapses_at: None,
        };
        self.entries.insert(id, known);
        if change.is_some() {
            self.revision += 1;
        }
        change
    }

    /// Takes the removal of a row.
    pub fn remove(&mut self, now: Duration, version: u64, id: &str) -> Option<FleetChange> {
        self.newest_row = self.newest_row.max(version);
        let known = self.entries.get_mut(id)?;
        if known.version > version {
            return None;
        }
        if now < self.grace_until {
            if known.lapses_at.is_some() {
                return None;
            }
            known.lapses_at = Some(self.grace_until);
            return Some(FleetChange::Doubtful(id.to_owned()));
        }
        self.entries.remove(id);
        self.revision += 1;
        Some(FleetChange::Gone(id.to_owned()))
    }

    /// Takes a complete read of the list: what it does not hold is removed.
    pub fn replace(
        &mut self,
        now: Duration,
        version: u64,
        rows: Vec<(u64, BackendEntry)>,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let mut missing: Vec<String> = self.entries.keys().cloned().collect();
        for (row_version, entry) in rows {
            missing.retain(|id| *id != entry.id);
            changes.extend(self.put(row_version, entry));
        }
        for id in missing {
            changes.extend(self.remove(now, version, &id));
        }
        self.complete_to(version);
        changes
    }

    /// Drops the doubtful entries whose time is over.
    pub fn expire(&mut self, now: Duration) -> Vec<FleetChange> {
        let mut gone = Vec::new();
        for (id, known) in &self.entries {
            if known.lapses_at.is_some_and(|at| now >= at) {
                gone.push(id.clone());
            }
        }
        for id in &gone {
            self.entries.remove(id);
            self.revision += 1;
        }
        gone.into_iter().map(FleetChange::Gone).collect()
    }
}
