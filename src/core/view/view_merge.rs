use {
    super::{AccountUsage, ClusterView, Configuration, ControllerRecord, HeartbeatRecord},
    crate::wire::{
        ControllerHeartbeat, GroupEntry, GroupId, GroupState, PeerHeartbeat, SuspectEntry,
        UsageEntry, ViewVersion,
    },
    std::{collections::btree_map::Entry, sync::Arc, time::Duration},
};

/// Dissolved groups that a view keeps for each failure domain, so that a process returning from a
/// partition cannot restore them. At 222 failures and replacements a day over nine failure domains,
/// an entry is kept for several days.
const MAX_DISSOLVED_GROUPS: usize = 128;

// Each merge keeps the maximum by version, or a union, so that the order and repetition of messages
// do not matter. It returns true when the view changed.
impl ClusterView {
    /// Replaces the configuration by one with a higher version.
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

    /// Returns why the process is not ready, as the one-line body of a readiness probe; `None` once
    /// a configuration is in force.
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
            self.drop_excess_dissolved(&failure_domain);
        }
        self.groups.contains_key(&id)
    }

    /// Removes the dissolved entries with the lowest versions. The choice depends only on the set
    /// of entries, so that all processes keep the same ones.
    fn drop_excess_dissolved(&mut self, failure_domain: &str) {
        let mut dissolved: Vec<(ViewVersion, GroupId)> = Vec::new();
        for entry in self.groups.values() {
            if entry.state == GroupState::Dissolved && entry.failure_domain == failure_domain {
                dissolved.push((entry.version, entry.id.clone()));
            }
        }
        dissolved.sort();
        let excess = dissolved.len().saturating_sub(MAX_DISSOLVED_GROUPS);
        for (_, id) in dissolved.drain(..excess) {
            self.groups.remove(&id);
        }
    }

    /// Keeps the lease holder's heartbeat with the highest version.
    pub fn merge_controller(&mut self, heartbeat: ControllerHeartbeat, now: Duration) -> bool {
        let known = self.controllers.get(&heartbeat.failure_domain);
        if known.is_some_and(|record| record.heartbeat.version >= heartbeat.version) {
            return false;
        }
        let key = heartbeat.failure_domain.clone();
        let record = ControllerRecord {
            heartbeat,
            received_at: now,
        };
        self.controllers.insert(key, record);
        true
    }

    /// Keeps the newest heartbeat of a process: latest start, then boot id, then highest sequence.
    pub fn merge_heartbeat(&mut self, heartbeat: PeerHeartbeat, now: Duration) -> bool {
        let rank =
            |heartbeat: &PeerHeartbeat| (heartbeat.started_ms, heartbeat.boot, heartbeat.sequence);
        let known = self.peers.get(&heartbeat.process);
        if known.is_some_and(|record| rank(&record.heartbeat) >= rank(&heartbeat)) {
            return false;
        }
        let key = heartbeat.process.clone();
        let record = HeartbeatRecord {
            heartbeat,
            received_at: now,
        };
        self.peers.insert(key, record);
        true
    }

    /// Keeps the usage entry with the highest round of a gateway and client account.
    pub fn merge_usage(&mut self, process: &str, usage: UsageEntry, now: Duration) -> bool {
        let key = (process.to_owned(), usage.account.clone());
        let known = self.usage.get(&key);
        if known.is_some_and(|known| known.usage.round >= usage.round) {
            return false;
        }
        let usage = AccountUsage {
            usage,
            received_at: now,
        };
        self.usage.insert(key, usage);
        true
    }

    /// Merges the crashes as a union; a request once cleared stays cleared.
    pub fn merge_suspect(&mut self, entry: SuspectEntry) -> bool {
        let known = match self.suspects.entry(entry.fingerprint) {
            Entry::Vacant(vacant) => {
                vacant.insert(entry);
                return true;
            }
            Entry::Occupied(occupied) => occupied.into_mut(),
        };
        let mut changed = entry.cleared && !known.cleared;
        known.cleared |= entry.cleared;
        for crash in entry.crashed {
            if known.crashed.contains(&crash) {
                continue;
            }
            known.crashed.push(crash);
            changed = true;
        }
        changed
    }
}
