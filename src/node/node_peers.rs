//! The part of the node state that is exchanged with other nodes: peers, fleet rows, lease terms
//! and suspects.

use {
    super::{NodeContext, StopPhase, node_clock::now, node_context::lock},
    crate::core::{
        fleet::{BackendEntry, FleetChange},
        peers::{FleetDelta, FleetRow, NumberedPart, PeerBook, SenderState, VersionNews},
        store::{StoreVersion, cut_text},
    },
    slog::{info, warn},
    std::{
        net::SocketAddr,
        sync::{MutexGuard, atomic::Ordering},
        time::Duration,
    },
};

/// Nodes of a failure domain that read the store's changes; the other nodes get them from these.
const STORE_READERS: usize = 2;

impl NodeContext {
    /// Locks the list of the other nodes.
    pub fn peers(&self) -> MutexGuard<'_, PeerBook> {
        lock(&self.peers)
    }

    /// Version of the routes used at present; 0 without any.
    #[must_use]
    pub fn routes_version(&self) -> u64 {
        let routes = lock(&self.routes);
        routes.as_ref().map_or(0, |routes| routes.table.version())
    }

    /// Logs the first news that another node uses a newer configuration than this one.
    pub fn note_version_news(&self, version: u64, peer: SocketAddr) {
        let own = self.routes_version().max(self.unusable_version());
        if lock(&self.version_news).hear(now(), own, version) {
            info!(self.logger, "heard of a newer configuration";
                "version" => version, "own" => own, "peer" => %peer);
            self.version_heard.notify_one();
        }
    }

    /// Time since the first news of a configuration that this node does not use yet; none when it
    /// has the newest one that it has heard of.
    #[must_use]
    pub fn news_age(&self) -> Option<Duration> {
        lock(&self.version_news).age(now())
    }

    /// Forgets the news of newer configurations, when no living node has one.
    pub fn forget_version_news(&self) {
        *lock(&self.version_news) = VersionNews::default();
    }

    /// Version of a peer's configuration that could not be used; 0 without any.
    #[must_use]
    pub fn unusable_version(&self) -> u64 {
        self.unusable_version.load(Ordering::Relaxed)
    }

    /// Stops asking for a configuration that cannot be used, until there is a newer one.
    pub fn give_up_version(&self, version: u64) {
        self.unusable_version.fetch_max(version, Ordering::Relaxed);
        lock(&self.version_news).settle(now(), version);
    }

    /// True until a graceful stop begins.
    #[must_use]
    pub fn is_running(&self) -> bool {
        *self.stop.borrow() == StopPhase::Running
    }

    /// Sets the number of gateways that share the retry budgets, this one included.
    pub fn set_gateway_count(&self, gateways: u32) {
        self.gateways.store(gateways, Ordering::Relaxed);
        let gateways = usize::try_from(gateways).unwrap_or(usize::MAX);
        self.scheduler().set_gateways(gateways);
    }

    /// Time since a node of a failure domain was last heard; since the start when none was.
    #[must_use]
    pub fn domain_silence(&self, failure_domain: &str, at: Duration) -> Duration {
        self.peers().domain_silence(failure_domain, at)
    }

    /// Queues a suspect group for the control actor and wakes it.
    pub fn report_suspect(&self, group: &str, epoch: u64) {
        lock(&self.suspects).push((group.to_owned(), epoch));
        self.fleet_changed.notify_one();
    }

    /// Queues a group that another node suspects, so that the control actor checks it. The
    /// scheduler is not told: this node's own streams show whether the group makes progress.
    pub fn report_peer_suspect(&self, group: &str, epoch: u64) {
        self.report_suspect(group, epoch);
    }

    /// Replaces the list of backend servers by that of a peer. Ignored while this node reads the
    /// list from the store itself without a failure.
    pub fn replace_fleet_from_peer(
        &self,
        version: StoreVersion,
        entries: Vec<(StoreVersion, BackendEntry)>,
    ) {
        if self.follows_store()
            && !self.is_store_failing()
            && self.fleet_known.load(Ordering::Relaxed)
        {
            return;
        }
        let mut usable = Vec::new();
        for (row_version, entry) in entries {
            if self.is_usable(&entry) {
                usable.push((row_version, entry));
            }
        }
        let changes = self.fleet().replace(now(), version, usable);
        self.fleet_known.store(true, Ordering::Relaxed);
        self.publish_fleet_changes(&changes, "peer");
        // A reader that has lost the store hears of changes before those that rely on it.
        self.queue_rows(&changes);
    }

    /// Checks the entry of a peer, which may run a release with other bounds.
    fn is_usable(&self, entry: &BackendEntry) -> bool {
        let Err(fault) = entry.check() else {
            return true;
        };
        if self.note_ignored("peer_entry", &entry.id) {
            warn!(self.logger, "ignored a backend server entry of a peer that exceeds a bound";
                "server" => cut_text(&entry.id), "field" => &fault.field,
                "error" => &fault.rule, "bytes" => fault.bytes);
        }
        false
    }

    /// Removes entries that vanished after an outage of the store and were not written again in
    /// time.
    pub fn expire_fleet(&self) {
        let changes = self.fleet().expire(now());
        self.publish_fleet_changes(&changes, "time");
    }

    /// True when this node reads the store's changes itself. The first nodes of a failure domain,
    /// by address, do so, and any node that hears nothing from them.
    #[must_use]
    pub fn follows_store(&self) -> bool {
        let at = now();
        self.is_store_reader(at) || lock(&self.delta_tracker).is_silent(at)
    }

    fn is_store_reader(&self, at: Duration) -> bool {
        let peers = self.peers();
        peers.is_among_first(STORE_READERS, &self.settings.failure_domain, at)
    }

    /// True when another node has had a newer list of servers than this one for too long, while this
    /// one takes the changes from peers and not from the store.
    #[must_use]
    pub fn lags_behind(&self, at: Duration, heard: StoreVersion) -> bool {
        if self.follows_store() {
            return false;
        }
        let sent = lock(&self.delta_tracker).complete_to();
        let complete = sent.max(self.fleet().version());
        lock(&self.lag_watch).is_behind(at, heard, complete)
    }

    /// Applies changed rows from a node that reads them from the store; false when rows before them
    /// were missed.
    pub fn apply_delta(&self, delta: FleetDelta) -> bool {
        let at = now();
        let gapless = lock(&self.delta_tracker).take(at, &delta);
        let mut changes = Vec::new();
        for row in delta.rows {
            let entry = row.entry.filter(|entry| self.is_usable(entry));
            let mut fleet = self.fleet();
            changes.extend(match entry {
                Some(entry) => fleet.put(row.version, entry),
                None => fleet.remove(at, row.version, &row.id),
            });
        }
        self.publish_fleet_changes(&changes, "peer");
        gapless
    }

    /// Takes the changed rows that are to be sent to the other nodes of the failure domain now.
    pub fn take_delta_parts(&self) -> Vec<NumberedPart> {
        let state = SenderState {
            is_reader: self.is_store_reader(now()),
            is_store_failing: self.is_store_failing(),
            version: self.fleet().version(),
        };
        lock(&self.delta_outbox).take_parts(state)
    }

    pub(super) fn queue_rows(&self, changes: &[FleetChange]) {
        let fleet = self.fleet();
        let mut outbox = lock(&self.delta_outbox);
        for change in changes {
            let (id, gone) = match change {
                FleetChange::Appeared(id) | FleetChange::Changed(id) => (id, false),
                FleetChange::Gone(id) => (id, true),
                FleetChange::Unconfirmed(_) => continue,
            };
            let known = fleet.get_known(id);
            if known.is_none() && !gone {
                continue;
            }
            // Receivers ignore rows up to the version of a removal, so that it must not be higher
            // than that of the removal itself.
            let version = known.map(|known| known.version);
            let version = version.or_else(|| fleet.removed_in(id));
            outbox.add(FleetRow {
                version: version.unwrap_or(fleet.newest_row()),
                id: id.clone(),
                entry: known.map(|known| self.restated(&known.entry)),
            });
        }
        self.delta_due.notify_one();
    }

    /// Failure domains whose lease this node holds, with its term.
    #[must_use]
    pub fn held_terms(&self) -> Vec<(String, u64)> {
        lock(&self.held_terms).clone()
    }

    /// Sets the failure domains whose lease this node holds; the control actor does so at each
    /// tick.
    pub fn set_held_terms(&self, terms: Vec<(String, u64)>) {
        *lock(&self.held_terms) = terms;
    }

    /// Records the term of a lease that another node announces.
    pub fn record_peer_term(&self, failure_domain: &str, term: u64) {
        lock(&self.term_watch).record_term(failure_domain, term);
    }

    /// True when another node has announced a later term of a lease.
    #[must_use]
    pub fn is_outranked(&self, failure_domain: &str, term: u64) -> bool {
        lock(&self.term_watch).has_later_term(failure_domain, term)
    }

    /// Counts a store table whose reads begin to fail, or work again.
    pub fn set_feed_failing(&self, failing: bool) {
        if failing {
            self.failing_feeds.fetch_add(1, Ordering::Relaxed);
        } else {
            self.failing_feeds.fetch_sub(1, Ordering::Relaxed);
        }
        // Nodes that rely on this one hear of it at once.
        self.delta_due.notify_one();
    }

    /// True while the reads of at least one store table fail.
    #[must_use]
    pub fn is_store_failing(&self) -> bool {
        self.failing_feeds.load(Ordering::Relaxed) > 0
    }
}
