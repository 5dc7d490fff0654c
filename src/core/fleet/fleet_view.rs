use {
    super::{
        BackendEntry, ChangeLog, EntryChange, GroupIdentity, GroupIndex, HeldRow, HeldRows,
        RemovedEntries, ServerNotices,
    },
    crate::core::store::StoreVersion,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time after an outage or a restoration of the store within which servers write their lost entries
/// again. An entry that is removed during this time is kept until its end.
const REWRITE_GRACE: Duration = Duration::from_secs(2);

value_type! {
    /// An entry with the version of its row in the store.
    pub struct KnownEntry {
        /// Content of the row.
        pub entry: BackendEntry,
        /// Version of the row, or of its removal while the entry is kept after that; rows of lower or
        /// equal versions are ignored.
        pub version: StoreVersion,
        /// Time at which the entry is dropped unless its row is written again; none while the row
        /// exists.
        pub lapses_at: Option<Duration>,
    }

    /// A change of what is known about a backend server. All variants hold its identifier.
    pub enum FleetChange {
        /// A new server, or one that was restarted under the same identifier.
        Appeared(String),
        /// The entry of a running server changed.
        Changed(String),
        /// The entry of the server was dropped.
        Gone(String),
        /// The row was removed shortly after an outage or a restoration of the store. The entry is
        /// kept for a while, as the server may write it again.
        Unconfirmed(String),
    }
}

/// Entries of the backend servers by identifier, as far as known to this process.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    entries: BTreeMap<String, KnownEntry>,
    version: StoreVersion,
    newest_row: StoreVersion,
    revision: u64,
    change_log: ChangeLog,
    groups: GroupIndex,
    grace_until: Duration,
    /// Version of the first whole read in the present era; rows up to it may be from the copy of a
    /// restored store.
    era_start: StoreVersion,
    removed: RemovedEntries,
    held: HeldRows,
    /// What the servers said in their answers.
    pub(super) notices: ServerNotices,
    /// Servers of which an entry was taken since the last [`FleetView::take_heard`].
    heard: BTreeSet<String>,
}

impl FleetView {
    /// Creates an empty view.
    ///
    /// ```
    /// let view = toucanring::core::fleet::FleetView::new();
    /// assert_eq!(view.version().number, 0);
    /// assert!(view.is_empty());
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Version of the store up to which the view is complete; number 0 before the first read.
    #[must_use]
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    /// Highest version among all rows and removals seen so far; rows before it may be missing.
    /// Number 0 before the first one.
    #[must_use]
    pub const fn newest_row(&self) -> StoreVersion {
        self.newest_row
    }

    /// True when all rows up to `version` are known, or a row at least as new was seen. The newest
    /// row may name no server, and is then in no list that a peer sends.
    #[must_use]
    pub fn covers(&self, version: StoreVersion) -> bool {
        version <= self.newest_row.max(self.version)
    }

    /// Counter that grows with each change of the entries. Callers compare it to skip work when
    /// nothing has changed.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Changes of the entries after a revision, the oldest first; none when some of them are no
    /// longer kept, so that the whole list has to be read.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> Option<impl Iterator<Item = &EntryChange>> {
        self.change_log.since(revision)
    }

    /// All groups of which a server says that it is a member.
    pub fn groups(&self) -> impl Iterator<Item = &GroupIdentity> {
        self.groups.groups()
    }

    /// Identifiers of the servers that say that they are members of a group, in their order.
    #[must_use]
    pub fn members_of(&self, group: &GroupIdentity) -> SmallVec<[String; 4]> {
        self.groups.members_of(group)
    }

    /// True when no server is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All entries in the order of their identifiers, including those of leaving servers.
    pub fn entries(&self) -> impl Iterator<Item = &BackendEntry> {
        self.entries.values().map(|known| &known.entry)
    }

    /// All entries with their versions, in the order of their identifiers.
    pub fn known(&self) -> impl Iterator<Item = &KnownEntry> {
        self.entries.values()
    }

    /// The entry of a server; none when the server is not known.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&BackendEntry> {
        self.entries.get(id).map(|known| &known.entry)
    }

    /// The entry of a server with its version; none when the server is not known.
    #[must_use]
    pub fn get_known(&self, id: &str) -> Option<&KnownEntry> {
        self.entries.get(id)
    }

    /// Version of the last removal of a server's entry; none when it is not remembered.
    #[must_use]
    pub fn removed_in(&self, id: &str) -> Option<StoreVersion> {
        self.removed.version_of(id)
    }

    /// Starts the grace period for removed rows. To be called when the store answers again after an
    /// outage.
    pub fn store_recovered(&mut self, now: Duration) {
        self.grace_until = now + REWRITE_GRACE;
        for known in self.entries.values_mut() {
            // The time that a server had so far was cut short.
            known.lapses_at = known.lapses_at.map(|_| self.grace_until);
        }
    }

    /// Records that the view is complete up to `version`; lower versions are ignored.
    pub fn complete_to(&mut self, version: StoreVersion) {
        self.version = self.version.max(version);
    }

    /// Adds or replaces an entry, unless its row is not newer than the known one, or the server
    /// wrote it before its last known entry: the store was restored from a copy, or has performed
    /// the write late. Returns the change, if there is any.
    pub fn put(&mut self, version: StoreVersion, entry: BackendEntry) -> Option<FleetChange> {
        self.newest_row = self.newest_row.max(version);
        if self.is_known(version, &entry.id) {
            return None;
        }
        if self.is_outdated(version, &entry) {
            self.held.hold(version, entry);
            return None;
        }
        self.held.drop_held(&entry.id);
        self.take(version, entry)
    }

    /// Adds or replaces an entry.
    fn take(&mut self, version: StoreVersion, mut entry: BackendEntry) -> Option<FleetChange> {
        let id = entry.id.clone();
        let previous = self.entries.get(&id);
        if let Some(known) = previous
            && known.entry.written_as() == entry.written_as()
        {
            // Without numbers of its entries, a row of a restored store can't be told from a new
            // one. A server that leaves does not come back.
            entry.leaving |= known.version.era < version.era && known.entry.leaving;
        }
        self.notices.forget_before(&id, entry.born_ms);
        entry.leaving |= self.notices.is_leaving(&id, entry.born_ms);
        let change = match previous {
            Some(known) if known.entry.has_content_of(&entry) => None,
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
        self.heard.insert(id.clone());
        let former = self.entries.insert(id.clone(), known);
        if change.is_some() {
            let former = former.and_then(|known| GroupIdentity::of(&known.entry));
            self.note_change(&id, former);
        }
        change
    }

    /// Raises the revision after a change of an entry; `former` is the group in which the server
    /// was before.
    fn note_change(&mut self, id: &str, former: Option<GroupIdentity>) {
        let current = self.get(id).and_then(GroupIdentity::of);
        self.groups.update(id, former.as_ref(), current.as_ref());
        self.revision += 1;
        let mut groups: SmallVec<[GroupIdentity; 2]> = former.into_iter().collect();
        groups.extend(current.filter(|current| !groups.contains(current)));
        self.change_log.add(EntryChange {
            revision: self.revision,
            server: id.to_owned(),
            groups,
        });
    }

    /// Removes an entry whose row was removed in `version`, unless its known row is newer. During
    /// the grace period the entry is only marked for removal.
    pub fn remove(
        &mut self,
        now: Duration,
        version: StoreVersion,
        id: &str,
    ) -> Option<FleetChange> {
        self.newest_row = self.newest_row.max(version);
        self.held.drop_held(id);
        let known = self.entries.get_mut(id)?;
        if known.version > version {
            return None;
        }
        if now < self.grace_until {
            known.version = version;
            if known.lapses_at.is_some() {
                return None;
            }
            known.lapses_at = Some(self.grace_until);
            return Some(FleetChange::Unconfirmed(id.to_owned()));
        }
        known.version = version;
        self.drop_entry(now, id);
        Some(FleetChange::Gone(id.to_owned()))
    }

    /// True when a row is not newer than the known one, or than the removal of the entry.
    fn is_known(&self, version: StoreVersion, id: &str) -> bool {
        // Servers write expired entries again in rows of later versions. A row that is not later
        // comes from a node that does not know of the removal yet.
        let known = self.entries.get(id).map(|known| known.version);
        known.or_else(|| self.removed.version_of(id)) >= Some(version)
    }

    /// True when the server wrote the entry of a row before the last one that is known of it.
    fn is_outdated(&self, version: StoreVersion, entry: &BackendEntry) -> bool {
        if let Some(known) = self.entries.get(&entry.id) {
            return entry.written_as() < known.entry.written_as();
        }
        let may_be_restored = version <= self.era_start || version.era > self.era_start.era;
        self.removed.is_outdated(version, entry, may_be_restored)
    }

    fn drop_entry(&mut self, now: Duration, id: &str) {
        if let Some(known) = self.entries.remove(id) {
            self.removed.record(now, &known.entry, known.version);
            self.note_change(id, GroupIdentity::of(&known.entry));
        }
    }

    /// Replaces the entries by a complete read of the list at `version`. Entries that are not in
    /// `rows` are removed as by [`Self::remove`]. The first read of a new era starts the grace
    /// period, since entries of the lost history are written again.
    pub fn replace(
        &mut self,
        now: Duration,
        version: StoreVersion,
        rows: Vec<(StoreVersion, BackendEntry)>,
    ) -> Vec<FleetChange> {
        if version.era > self.version.era {
            if self.version.number > 0 {
                self.store_recovered(now);
            }
            self.era_start = version;
        }
        self.held.drop_all();
        let mut changes = Vec::new();
        let mut missing: BTreeSet<String> = self.entries.keys().cloned().collect();
        for (row_version, entry) in rows {
            missing.remove(&entry.id);
            changes.extend(self.put(row_version, entry));
        }
        for id in missing {
            changes.extend(self.remove(now, version, &id));
        }
        self.complete_to(version);
        changes
    }

    /// Servers of which an entry was taken since the last call, also one that changed nothing: its
    /// remaining cold time counts from now on.
    pub fn take_heard(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.heard)
    }

    /// Rows that began to be held back since the last call: their servers wrote the known entries
    /// later.
    pub fn take_held(&mut self) -> Vec<HeldRow> {
        self.held.take_new()
    }

    /// Marks the entry of a server as leaving; false when it has none or it is marked already.
    pub(super) fn mark_leaving(&mut self, id: &str) -> bool {
        let Some(known) = self.entries.get_mut(id) else {
            return false;
        };
        if known.entry.leaving {
            return false;
        }
        known.entry.leaving = true;
        let group = GroupIdentity::of(&known.entry);
        self.note_change(id, group);
        true
    }

    /// Drops the entries whose rows were removed during a grace period that is over, and uses those
    /// that a restored store brought back and has kept since.
    pub fn expire(&mut self, now: Duration) -> Vec<FleetChange> {
        let mut gone = Vec::new();
        for (id, known) in &self.entries {
            if known.lapses_at.is_some_and(|at| now >= at) {
                gone.push(id.clone());
            }
        }
        for id in &gone {
            self.drop_entry(now, id);
        }
        let released = self.held.release(now);
        self.removed.expire(now);
        let mut changes: Vec<FleetChange> = gone.into_iter().map(FleetChange::Gone).collect();
        for (version, entry) in released {
            self.removed.forget(&entry.id);
            changes.extend(self.take(version, entry));
        }
        let entries = &self.entries;
        self.notices.expire(now, |server, born_ms| {
            let known = entries.get(server);
            known.is_some_and(|known| known.entry.born_ms == born_ms)
        });
        changes
    }
}
