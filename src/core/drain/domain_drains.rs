use {
    super::DrainMark,
    crate::core::store::StoreVersion,
    smallvec::SmallVec,
    std::collections::{BTreeMap, BTreeSet},
};

/// Longest name of a failure domain in bytes. Marks with longer names are ignored.
pub const MAX_NAME_BYTES: usize = 64;

/// Most failure domains that are tracked beside those in the settings. Any writer of the table can
/// name failure domains that do not exist.
pub const MAX_UNLISTED_DOMAINS: usize = 16;

value_type! {
    /// Result of taking marks over.
    #[derive(Default, Eq)]
    pub struct DrainUpdate {
        /// Newest marks of the failure domains whose drain began or ended.
        pub changes: SmallVec<[DrainMark; 2]>,
        /// Names of failure domains that were ignored, because they are too long or too many.
        pub ignored: SmallVec<[String; 1]>,
    }
}

/// The newest known mark of each failure domain that is or was drained.
///
/// Marks of ended drains are kept and announced as well, so that a node that has only heard of the
/// beginning learns of the end.
#[derive(Debug, Clone, Default)]
pub struct DomainDrains {
    /// Failure domains in the settings; they always have room.
    listed: BTreeSet<String>,
    marks: BTreeMap<String, DrainMark>,
    /// Version of the newest read of the whole table; none without one.
    read_version: Option<StoreVersion>,
    is_known: bool,
}

impl DomainDrains {
    /// Creates the state of a node that knows no marks yet. `listed` are the failure domains of the
    /// deployment by the settings of the node.
    #[must_use]
    pub fn new(listed: &[String]) -> Self {
        Self {
            listed: listed.iter().cloned().collect(),
            ..Self::default()
        }
    }

    /// True once the marks were read from the store, or received from a node that knew them.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.is_known
    }

    /// True while no more requests may be sent to servers of a failure domain.
    ///
    /// ```
    /// use toucanring::core::{
    ///     drain::{DomainDrains, DrainMark},
    ///     store::StoreVersion,
    /// };
    ///
    /// let mut drains = DomainDrains::default();
    /// drains.merge([DrainMark {
    ///     failure_domain: "zone-a".to_owned(),
    ///     version: StoreVersion::new(1, 9),
    ///     drained: true,
    /// }]);
    /// assert!(drains.is_drained("zone-a"));
    /// assert!(!drains.is_drained("zone-b"));
    /// ```
    #[must_use]
    pub fn is_drained(&self, failure_domain: &str) -> bool {
        let mark = self.marks.get(failure_domain);
        mark.is_some_and(|mark| mark.drained)
    }

    /// Names of the drained failure domains, in order.
    pub fn drained(&self) -> impl Iterator<Item = &str> {
        let marks = self.marks.values().filter(|mark| mark.drained);
        marks.map(|mark| mark.failure_domain.as_str())
    }

    /// Takes over marks from changed rows of the store, each where it is newer than the known one
    /// of its failure domain.
    pub fn merge(&mut self, marks: impl IntoIterator<Item = DrainMark>) -> DrainUpdate {
        let mut update = DrainUpdate::default();
        for mark in marks {
            self.merge_mark(mark, &mut update);
        }
        update
    }

    /// Takes over the marks of another node, which knows all of them.
    pub fn merge_known(&mut self, marks: impl IntoIterator<Item = DrainMark>) -> DrainUpdate {
        self.is_known = true;
        self.merge(marks)
    }

    /// Takes over a read of the whole table. `rows` are the marks of its rows; drains without a row
    /// end as of `version`, the version of the read, unless their marks are newer.
    pub fn apply_table(&mut self, rows: Vec<DrainMark>, version: StoreVersion) -> DrainUpdate {
        self.is_known = true;
        let present: BTreeSet<String> = rows.iter().map(|row| row.failure_domain.clone()).collect();
        let mut ended = Vec::new();
        for (name, mark) in &self.marks {
            // An ended drain keeps its version: it would otherwise rise with each read.
            if !mark.drained || present.contains(name) || mark.version >= version {
                continue;
            }
            ended.push(DrainMark {
                failure_domain: name.clone(),
                version,
                drained: false,
            });
        }
        let update = self.merge(rows.into_iter().chain(ended));
        self.read_version = self.read_version.max(Some(version));
        update
    }

    fn merge_mark(&mut self, mut mark: DrainMark, update: &mut DrainUpdate) {
        let name = mark.failure_domain.clone();
        let known = self.marks.get(&name);
        if known.is_some_and(|known| !mark.replaces(known)) {
            return;
        }
        if mark.drained
            && let Some(read) = self.read_version.filter(|read| *read > mark.version)
        {
            // The read would have shown the row. A node that was cut off still announces it.
            mark.version = read;
            mark.drained = false;
        }
        if known.is_none() && !self.make_room(&name) {
            update.ignored.push(name);
            return;
        }
        if self.is_drained(&name) != mark.drained {
            update.changes.push(mark.clone());
        }
        self.marks.insert(name, mark);
    }

    /// True when a failure domain without a mark can get one. Beyond the limit it takes the place
    /// of the oldest ended drain of a failure domain that the settings do not list.
    fn make_room(&mut self, name: &str) -> bool {
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return false;
        }
        if self.listed.contains(name) {
            return true;
        }
        let is_listed = |mark: &DrainMark| self.listed.contains(&mark.failure_domain);
        let unlisted = self.marks.values().filter(|mark| !is_listed(mark));
        if unlisted.clone().count() < MAX_UNLISTED_DOMAINS {
            return true;
        }
        let ended = unlisted.filter(|mark| !mark.drained);
        let Some(oldest) = ended.min_by_key(|mark| mark.version) else {
            return false;
        };
        let oldest = oldest.failure_domain.clone();
        self.marks.remove(&oldest);
        true
    }

    /// Marks for a beacon, `max_count` at most, with names of `max_bytes` together; none while this
    /// node does not know the marks. Drained failure domains of the settings come first. Others are
    /// named in turn, by `round`, when there are too many.
    #[must_use]
    pub fn to_announce(
        &self,
        round: u64,
        max_count: usize,
        max_bytes: usize,
    ) -> Option<Vec<DrainMark>> {
        if !self.is_known {
            return None;
        }
        let is_urgent =
            |mark: &&DrainMark| mark.drained && self.listed.contains(&mark.failure_domain);
        let (urgent, others): (Vec<&DrainMark>, Vec<&DrainMark>) =
            self.marks.values().partition(is_urgent);
        let turn = usize::try_from(round).unwrap_or(0) % others.len().max(1);
        let (later, first) = others.split_at(turn);
        let mut named = Vec::new();
        let mut bytes = 0;
        for mark in urgent.iter().chain(first).chain(later) {
            let total = bytes + mark.failure_domain.len();
            if named.len() == max_count || total > max_bytes {
                continue;
            }
            bytes = total;
            named.push((*mark).clone());
        }
        Some(named)
    }
}
