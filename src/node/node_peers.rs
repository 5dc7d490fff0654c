//! What a node tells the others and learns from them.

use {
    super::{NodeContext, StopPhase, node_clock::now, node_context::lock},
    crate::core::{
        fleet::{BackendEntry, FleetChange},
        peers::{FleetDelta, FleetRow, PeerBook},
    },
    std::{
        sync::{MutexGuard, atomic::Ordering},
        time::Duration,
    },
};

/// Nodes of a failure domain that follow the store; the others learn from them.
pub(super) const STORE_READERS: usize = 2;

impl NodeContext {
    /// The other nodes.
    pub fn peers(&self) -> MutexGuard<'_, PeerBook> {
        lock(&self.peers)
    }

    /// Version of the routes in force; 0 without any.
    #[must_use]
    pub fn routes_version(&self) -> u64 {
        let routes = lock(&self.routes);
        routes.as_ref().map_or(0, |routes| routes.table.version())
    }

    /// True until the node is told to stop.
    #[must_use]
    pub fn is_running(&self) -> bool {
        *self.stop.borrow() == StopPhase::Running
    }

    /// Sets the number of gateways that share the retry budgets.
    pub fn set_gateway_count(&self, gateways: u32) {
        self.gateways.store(gateways, Ordering::Relaxed);
    }

    /// Time for which no node of a failure domain was heard.
    #[must_use]
    pub fn domain_silence(&self, failure_domain: &str, at: Duration) -> Duration {
        self.peers().domain_silence(failure_domain, at)
    }

    /// Takes a group that this node suspects.
    pub fn report_suspect(&self, group: &str, epoch: u64) {
        lock(&self.suspects).push((group.to_owned(), epoch));
        self.fleet_changed.notify_one();
    }

    /// Takes a group that another node suspects; the controller checks it, and
    /// own streams show by themselves whether they go on.
    pub fn report_peer_suspect(&self, group: &str, epoch: u64) {
        self.report_suspect(group, epoch);
    }

    /// Takes the list of backend servers of a peer while the own feed is out.
    pub fn replace_fleet_from_peer(&self, version: u64, entries: Vec<(u64, BackendEntry)>) {
        if self.follows_store()
            && !self.is_store_failing()
            && self.fleet_known.load(Ordering::Relaxed)
        {
            return;
        }
        let changes = self.fleet().replace(now(), version, entries);
        self.fleet_known.store(true, Ordering::Relaxed);
        self.publish_fleet_changes(&changes, "peer");
    }

    /// Drops entries that have lapsed and were not written anew in time.
    pub fn expire_fleet(&self) {
        let changes = self.fleet().expire(now());
        self.publish_fleet_changes(&changes, "time");
    }

    /// True when this node follows the store itself: the first nodes of a
    /// failure domain do, and any that hears nothing from them.
    #[must_use]
    pub fn follows_store(&self) -> bool {
        let at = now();
        let rank = self.peers().rank_in(&self.settings.failure_domain, at);
        rank < STORE_READERS || lock(&self.delta_tracker).is_silent(at)
    }

    /// Takes changes from a node that follows the store; false when rows
    /// before them were missed.
    pub fn apply_delta(&self, delta: FleetDelta) -> bool {
        let at = now();
        let whole = lock(&self.delta_tracker).take(at, &delta);
        let mut changes = Vec::new();
        for row in delta.rows {
            let mut fleet = self.fleet();
            changes.extend(match row.entry {
                Some(entry) => fleet.put(row.version, entry),
                None => fleet.remove(at, row.version, &row.id),
            });
        }
        self.publish_fleet_changes(&changes, "peer");
        whole
    }

    /// Rows that other nodes of the failure domain have not been told of yet.
    pub fn take_unsent_rows(&self) -> Vec<FleetRow> {
        std::mem::take(&mut *lock(&self.unsent_rows))
    }

    pub(super) fn queue_rows(&self, changes: &[FleetChange]) {
        let fleet = self.fleet();
        let mut unsent_rows = lock(&self.unsent_rows);
        for change in changes {
            let (id, gone) = match change {
                FleetChange::Appeared(id) | FleetChange::Changed(id) => (id, false),
                FleetChange::Gone(id) => (id, true),
                FleetChange::Doubtful(_) => continue,
            };
            let known = fleet.get_known(id);
            if known.is_none() && !gone {
                continue;
            }
            unsent_rows.push(FleetRow {
                version: known.map_or(fleet.newest_row(), |known| known.version),
                id: id.clone(),
                entry: known.map(|known| known.entry.clone()),
            });
        }
        self.delta_due.notify_one();
    }

    /// Terms of the leases that this node holds.
    #[must_use]
    pub fn held_terms(&self) -> Vec<(String, u64)> {
        lock(&self.held_terms).clone()
    }

    /// Sets the terms of the leases that this node holds.
    pub fn set_held_terms(&self, terms: Vec<(String, u64)>) {
        *lock(&self.held_terms) = terms;
    }

    /// Takes the term of a lease that another node holds.
    pub fn record_peer_term(&self, failure_domain: &str, term: u64) {
        lock(&self.term_watch).hear(failure_domain, term);
    }

    /// True when another node holds a later term.
    #[must_use]
    pub fn is_outranked(&self, failure_domain: &str, term: u64) -> bool {
        lock(&self.term_watch).outranks(failure_domain, term)
    }

    /// Notes that a feed of the store fails, or answers again.
    pub fn set_feed_failing(&self, out: bool) {
        if out {
            self.failing_feeds.fetch_add(1, Ordering::Relaxed);
        } else {
            self.failing_feeds.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// True while a feed of the store fails.
    #[must_use]
    pub fn is_store_failing(&self) -> bool {
        self.failing_feeds.load(Ordering::Relaxed) > 0
    }
}
