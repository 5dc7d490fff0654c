use {
    crate::wire::{GroupCrash, SuspectEntry},
    smallvec::SmallVec,
    std::collections::{BTreeMap, VecDeque},
};

/// Crashes after which a request is refused.
const MOST_CRASHES: usize = 2;

/// Most suspects kept; the oldest go first.
const MOST_SUSPECTS: usize = 10_000;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// Not a suspect.
    Free,
    /// Only apart from other suspects.
    Apart,
    /// Not again: it ran on two groups that crashed.
    Refuse,
}

/// Requests that ran on groups when these crashed, by fingerprint.
#[derive(Debug, Clone, Default)]
pub struct SuspectList {
    entries: BTreeMap<u64, SuspectEntry>,
    order: VecDeque<u64>,
}

impl SuspectList {
    /// Says how a request may run.
    #[must_use]
    pub fn judge(&self, fingerprint: u64) -> SuspectVerdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return SuspectVerdict::Free;
        };
        if entry.crashed.len() >= MOST_CRASHES {
            return SuspectVerdict::Refuse;
        }
        if entry.cleared {
            return SuspectVerdict::Free;
        }
        SuspectVerdict::Apart
    }

    /// Notes that a group crashed while the request ran on it; returns the
    /// entry to publish when something changed.
    pub fn note(&mut self, fingerprint: u64, crash: GroupCrash) -> Option<SuspectEntry> {
        self.merge(&SuspectEntry {
            fingerprint,
            crashed: SmallVec::from_iter([crash]),
            cleared: false,
        })
    }

    /// The first crash that a suspect was in.
    #[must_use]
    pub fn first_crash(&self, fingerprint: u64) -> Option<GroupCrash> {
        self.entries.get(&fingerprint)?.crashed.first().cloned()
    }

    /// Place of a suspect among those of the same crash, in an order that is
    /// the same on every gateway, with whether each one before it is settled.
    #[must_use]
    pub fn settled_before(&self, fingerprint: u64) -> Vec<bool> {
        let first = |entry: &SuspectEntry| entry.crashed.first().cloned();
        let Some(crash) = self.first_crash(fingerprint) else {
            return Vec::new();
        };
        let before = self.entries.range(..fingerprint);
        before
            .filter(|(_, entry)| first(entry).is_some_and(|other| same_crash(&other, &crash)))
            .map(|(_, entry)| entry.cleared || entry.crashed.len() >= MOST_CRASHES)
            .collect()
    }

    /// Notes that the request ran apart and completed.
    pub fn clear(&mut self, fingerprint: u64) -> Option<SuspectEntry> {
        let entry = self.entries.get_mut(&fingerprint)?;
        if entry.cleared {
            return None;
        }
        entry.cleared = true;
        Some(entry.clone())
    }

    /// Merges an entry by union; returns the merged entry when it changed.
    ///
    /// ```
    /// use toucanring::{core::retry::{SuspectList, SuspectVerdict}, wire::SuspectEntry};
    ///
    /// let mut list = SuspectList::default();
    /// let entry = SuspectEntry { fingerprint: 7, crashed: Default::default(), cleared: false };
    /// assert!(list.merge(&entry).is_some());
    /// assert_eq!(list.judge(7), SuspectVerdict::Apart);
    /// ```
    pub fn merge(&mut self, other: &SuspectEntry) -> Option<SuspectEntry> {
        if !self.entries.contains_key(&other.fingerprint) {
            self.order.push_back(other.fingerprint);
            self.trim();
            self.entries.insert(other.fingerprint, other.clone());
            return Some(other.clone());
        }
        let entry = self.entries.get_mut(&other.fingerprint)?;
        let mut changed = other.cleared && !entry.cleared;
        entry.cleared |= other.cleared;
        for crash in &other.crashed {
            // A request runs apart only after a first crash, so a crash while it
            // ran apart is a second one even on the same group and epoch.
            let known = entry.crashed.contains(crash);
            if known || entry.crashed.len() >= MOST_CRASHES {
                continue;
            }
            entry.crashed.push(crash.clone());
            changed = true;
        }
        changed.then(|| entry.clone())
    }

    /// Drops the oldest suspects over the bound.
    fn trim(&mut self) {
        if self.order.len() <= MOST_SUSPECTS {
            return;
        }
        let Some(oldest) = self.order.pop_front() else {
            return;
        };
        self.entries.remove(&oldest);
    }
}

fn same_crash(one: &GroupCrash, other: &GroupCrash) -> bool {
    one.group == other.group && one.epoch == other.epoch
}
