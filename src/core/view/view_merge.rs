use {
    super::{AccountUsage, ClusterView, Configuration, ControllerSighting, PeerSighting},
    crate::wire::{
        ControllerBeat, GroupEntry, GroupId, GroupState, PeerHeartbeat, SuspectEntry, UsageEntry,
        ViewVersion,
    },
    std::{collections::btree_map::Entry, sync::Arc, time::Duration},
};

/// Dissolved groups that a view keeps for each failure domain. A process that
/// was cut off cannot bring one of them back; at 222 failures and replacements
/// a day over nine failure domains they last for several days.
const MAX_DISSOLVED: usize = 128;

// Each merge keeps a maximum by version or a union and returns true when the
// view learned something, so that order and repetition of messages do not matter.
impl ClusterView {
    /// Adopts a configuration with a higher version than the present one.
    pub fn merge_configuration(&mut self, configuration: Arc<Configuration>) -> bool {
        if configuration.version <= self.config_version() {
            return false;
        }
        self.configuration = Some(configuration);
        true
    }

    /// Version of the configuration in force; 0 when none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Why the process cannot be ready, in one line for a probe; `None` once a
    /// configuration is in force.
    #[must_use]
    pub fn config_reason(&self) -> Option<String> {
        if self.configuration.is_some() {
            return None;
        }
        let problem = self.config_problem.as_deref();
        let problem = problem.unwrap_or("the process has just started");
        Some(format!("no configuration is in force: {problem}\n"))
    }

    /// Keeps the group entry with the highest version.
    pub fn merge_group(&mut self, entry: GroupEntry) -> bool {
        let known = self.groups.get(&entry.id);
        if known.is_some_and(|known| known.version >= entry.version) {
            return false;
        }
        let id = entry.id.clone();
        let dissolved = entry.state == GroupState::Dissolved;
        let failure_domain = entry.failure_domain.clone();
        self.groups.insert(id.clone(), entry);
        if dissolved {
            self.bound_dissolved(&failure_domain);
        }
        self.groups.contains_key(&id)
    }

    /// Keeps the dissolved entries with the highest versions. Which ones stay
    /// depends on the set alone, so that all processes keep the same ones.
    fn bound_dissolved(&mut self, failure_domain: &str) {
        let mut dissolved: Vec<(ViewVersion, GroupId)> = Vec::new();
        for entry in self.groups.values() {
            if entry.state == GroupState::Dissolved && entry.failure_domain == failure_domain {
                dissolved.push((entry.version, entry.id.clone()));
            }
        }
        dissolved.sort();
        let excess = dissolved.len().saturating_sub(MAX_DISSOLVED);
        for (_, id) in dissolved.drain(..excess) {
            self.groups.remove(&id);
        }
    }

    /// Keeps the lease holder's heartbeat with the highest version.
    pub fn merge_controller(&mut self, beat: ControllerBeat, now: Duration) -> bool {
        let known = self.controllers.get(&beat.failure_domain);
        if known.is_some_and(|sighting| sighting.beat.version >= beat.version) {
            return false;
        }
        let key = beat.failure_domain.clone();
        let sighting = ControllerSighting {
            beat,
            heard_at: now,
        };
        self.controllers.insert(key, sighting);
        true
    }

    /// Keeps the newest heartbeat of a process: latest start, then highest sequence.
    pub fn merge_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Duration) -> bool {
        let rank = |beat: &PeerHeartbeat| (beat.started_ms, beat.boot, beat.sequence);
        let known = self.peers.get(&heartbeat.process);
        if known.is_some_and(|sighting| rank(&sighting.heartbeat) >= rank(&heartbeat)) {
            return false;
        }
        let key = heartbeat.process.clone();
        let sighting = PeerSighting {
            heartbeat,
            heard_at: now,
        };
        self.peers.insert(key, sighting);
        true
    }

    /// Keeps the usage entry of the latest exchange round of a gateway.
    pub fn merge_usage(&mut self, process: &str, usage: UsageEntry, now: Duration) -> bool {
        let key = (process.to_owned(), usage.account.clone());
        let known = self.usage.get(&key);
        if known.is_some_and(|known| known.usage.round >= usage.round) {
            return false;
        }
        let usage = AccountUsage {
            usage,
            heard_at: now,
        };
        self.usage.insert(key, usage);
        true
    }

    /// Joins crashes by union; a request once cleared stays cleared.
    pub fn merge_suspect(&mut self, entry: SuspectEntry) -> bool {
        let known = match self.suspects.entry(entry.fingerprint) {
            Entry::Vacant(place) => {
                place.insert(entry);
                return true;
            }
            Entry::Occupied(place) => place.into_mut(),
        };
        let mut learned = entry.cleared && !known.cleared;
        known.cleared |= entry.cleared;
        for crash in entry.crashed {
            if known.crashed.contains(&crash) {
                continue;
            }
            known.crashed.push(crash);
            learned = true;
        }
        learned
    }
}
