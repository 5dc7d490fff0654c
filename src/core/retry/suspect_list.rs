use {
    super::RecentMap,
    crate::wire::{GroupCrash, SuspectEntry},
    smallvec::SmallVec,
};

/// Number of crashes from which on a request is refused.
const MAX_CRASHES: usize = 2;

/// Maximum number of suspects kept; the oldest are removed first.
const MAX_SUSPECTS: usize = 10_000;

/// Restriction on where a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// The request is no suspect, or was cleared.
    Unrestricted,
    /// The request is a suspect and may run only isolated from the other suspects.
    Isolate,
    /// The request ran on two groups that crashed and must not run again.
    Refuse,
}

/// Requests that were running on a group when it crashed, by fingerprint. All gateways exchange
/// these entries.
#[derive(Debug, Clone)]
pub struct SuspectList {
    entries: RecentMap<u64, SuspectEntry>,
}

impl Default for SuspectList {
    fn default() -> Self {
        Self {
            entries: RecentMap::new(MAX_SUSPECTS),
        }
    }
}

impl SuspectList {
    /// Determines where a request may run.
    #[must_use]
    pub fn verdict(&self, fingerprint: u64) -> SuspectVerdict {
        let Some(entry) = self.entries.get(fingerprint) else {
            return SuspectVerdict::Unrestricted;
        };
        if entry.crashed.len() >= MAX_CRASHES {
            return SuspectVerdict::Refuse;
        }
        if entry.cleared {
            return SuspectVerdict::Unrestricted;
        }
        SuspectVerdict::Isolate
    }

    /// Records that a group crashed while the request ran on it; returns the entry to publish, or
    /// `None` if nothing changed.
    pub fn record_crash(&mut self, fingerprint: u64, crash: GroupCrash) -> Option<SuspectEntry> {
        self.merge(&SuspectEntry {
            fingerprint,
            crashed: SmallVec::from_iter([crash]),
            cleared: false,
        })
    }

    /// The first crash recorded for a suspect; `None` if the request is no suspect.
    #[must_use]
    pub fn first_crash(&self, fingerprint: u64) -> Option<GroupCrash> {
        self.entries.get(fingerprint)?.crashed.first().cloned()
    }

    /// For each suspect of the same first crash with a lower fingerprint, whether it is settled:
    /// cleared, or refused from now on.
    ///
    /// The order by fingerprint is the same on every gateway, so that the length of the result is
    /// the suspect's position.
    #[must_use]
    pub fn earlier_settled(&self, fingerprint: u64) -> Vec<bool> {
        let first = |entry: &SuspectEntry| entry.crashed.first().cloned();
        let Some(crash) = self.first_crash(fingerprint) else {
            return Vec::new();
        };
        let before = self.entries.below(fingerprint);
        before
            .filter(|(_, entry)| first(entry).is_some_and(|other| same_crash(&other, &crash)))
            .map(|(_, entry)| entry.cleared || entry.crashed.len() >= MAX_CRASHES)
            .collect()
    }

    /// Records that the request ran isolated and completed; returns the entry to publish, or `None`
    /// if nothing changed.
    pub fn clear(&mut self, fingerprint: u64) -> Option<SuspectEntry> {
        let entry = self.entries.get_mut(fingerprint)?;
        if entry.cleared {
            return None;
        }
        entry.cleared = true;
        Some(entry.clone())
    }

    /// Merges an entry by union; returns the merged entry, or `None` if nothing changed.
    ///
    /// ```
    /// use toucanring::{core::retry::{SuspectList, SuspectVerdict}, wire::SuspectEntry};
    ///
    /// let mut list = SuspectList::default();
    /// let entry = SuspectEntry { fingerprint: 7, crashed: Default::default(), cleared: false };
    /// assert!(list.merge(&entry).is_some());
    /// assert_eq!(list.verdict(7), SuspectVerdict::Isolate);
    /// ```
    pub fn merge(&mut self, other: &SuspectEntry) -> Option<SuspectEntry> {
        let Some(entry) = self.entries.get_mut(other.fingerprint) else {
            self.entries.insert(other.fingerprint, other.clone());
            return Some(other.clone());
        };
        let mut changed = other.cleared && !entry.cleared;
        entry.cleared |= other.cleared;
        for crash in &other.crashed {
            // A request runs isolated only after a first crash, so a crash while it runs isolated
            // counts as a second one even for the same group and epoch.
            let known = entry.crashed.contains(crash);
            if known || entry.crashed.len() >= MAX_CRASHES {
                continue;
            }
            entry.crashed.push(crash.clone());
            changed = true;
        }
        changed.then(|| entry.clone())
    }
}

fn same_crash(one: &GroupCrash, other: &GroupCrash) -> bool {
    one.group == other.group && one.epoch == other.epoch
}
