//! Drained failure domains: takes their marks from the store and from beacons, and passes changes on
//! to the schedulers and the control actor.

use {
    super::{NodeContext, attempt_slot::millis, node_clock::now, node_context::lock},
    crate::core::{
        drain::{DomainDrains, DrainMark, DrainUpdate},
        store::{StoreRow, StoreVersion, cut_text},
    },
    slog::{info, warn},
    std::sync::MutexGuard,
    tokio::time::timeout,
};

/// Most marks in a beacon; further ones are named in turn.
const MAX_DRAIN_MARKS: usize = 8;

/// Most bytes of the names of failure domains in a beacon's marks.
const MAX_DRAIN_NAME_BYTES: usize = 160;

impl NodeContext {
    /// Locks the marks of the drained failure domains.
    pub fn drains(&self) -> MutexGuard<'_, DomainDrains> {
        lock(&self.drains)
    }

    /// Takes the marks from a read of the whole table.
    pub(super) fn apply_drain_table(&self, rows: &[StoreRow], version: StoreVersion) {
        let update = self.drains().apply_table(self.read_drains(rows), version);
        self.apply_drain_update(&update, "store", "table");
    }

    /// Takes the marks from changed rows of the table.
    pub(super) fn apply_drain_rows(&self, rows: &[StoreRow]) {
        let update = self.drains().merge(self.read_drains(rows));
        self.apply_drain_update(&update, "store", "changes");
    }

    /// Takes the marks from the beacon of another node.
    pub(super) fn merge_peer_drains(&self, marks: Option<Vec<DrainMark>>, peer: &str) {
        let Some(marks) = marks else {
            return;
        };
        let update = self.drains().merge_known(marks);
        self.apply_drain_update(&update, "peer", peer);
        self.check_suspension();
        if lock(&self.drain_freshness).note_peer_beacon() {
            info!(self.logger, "heard of drains again after a suspension"; "peer" => peer);
            self.drain_news.notify_waiters();
        }
    }

    /// The marks of the rows that ask for a drain. The value of such a row says nothing.
    fn read_drains(&self, rows: &[StoreRow]) -> Vec<DrainMark> {
        let mut marks = Vec::new();
        for row in rows {
            let Some(name) = row.name.key.strip_prefix(self.codec.drain_key_prefix) else {
                continue;
            };
            marks.push(DrainMark {
                failure_domain: name.to_owned(),
                version: row.version,
                drained: row.value.is_some(),
            });
        }
        marks
    }

    fn apply_drain_update(&self, update: &DrainUpdate, source: &'static str, from: &str) {
        for name in &update.ignored {
            let name = cut_text(name);
            if self.note_ignored("drain_mark", &name) {
                warn!(self.logger, "ignored the drain of a failure domain; its name is too long, or \
                    too many are drained that the settings do not list";
                    "failure_domain" => &name, "source" => source, "from" => from);
            }
        }
        if update.changes.is_empty() {
            return;
        }
        for mark in &update.changes {
            let outcome = if mark.drained { "drained" } else { "ended" };
            info!(self.logger, "the drain of a failure domain began or ended";
                "failure_domain" => &mark.failure_domain, "outcome" => outcome,
                "version" => %mark.version, "source" => source, "from" => from);
            if !mark.drained {
                self.note_drain_ended(&mark.failure_domain);
            }
        }
        self.publish_drains();
    }

    /// Passes the drained failure domains on to all that choose servers.
    fn publish_drains(&self) {
        {
            let drains = self.drains();
            self.scheduler().apply_drains(&drains);
            self.plain_balancer().apply_drains(&drains);
            let count = i64::try_from(drains.drained().count()).unwrap_or(i64::MAX);
            self.metrics.drained_domains.set(count);
        }
        self.tick_scheduler();
        self.fleet_changed.notify_one();
    }

    /// Marks for a beacon; none while they may be outdated.
    pub(super) fn drains_to_announce(&self, round: u64) -> Option<Vec<DrainMark>> {
        if self.has_outdated_drains() {
            return None;
        }
        let drains = self.drains();
        drains.to_announce(round, MAX_DRAIN_MARKS, MAX_DRAIN_NAME_BYTES)
    }

    /// Records that the node runs. After a suspension attempts are held until news of drains have
    /// arrived.
    pub fn check_suspension(&self) {
        let gap = lock(&self.drain_freshness).check(now());
        if let Some(gap) = gap {
            warn!(self.logger, "the node did not run for a while; holding requests until it hears \
                of drains"; "gap_ms" => millis(gap));
        }
    }

    /// True after a suspension, while a drain that began meanwhile may not be known yet.
    #[must_use]
    pub fn has_outdated_drains(&self) -> bool {
        self.check_suspension();
        lock(&self.drain_freshness).is_outdated(now())
    }

    /// True when this node shall send the beacon with this number to itself as well: its arrival
    /// shows that all datagrams from before were read.
    pub(super) fn wants_own_beacon(&self, sequence: u64) -> bool {
        self.check_suspension();
        lock(&self.drain_freshness).send_own_beacon(now(), sequence)
    }

    /// Records the arrival of a beacon that this node has sent to itself.
    pub(super) fn note_own_beacon(&self, sequence: u64) {
        self.check_suspension();
        lock(&self.drain_freshness).note_own_beacon(sequence);
    }

    /// Waits while the marks may be outdated. Then returns false if no more requests may be sent to
    /// a server.
    pub(super) async fn may_send_to(&self, server: &str) -> bool {
        loop {
            let news = self.drain_news.notified();
            self.check_suspension();
            let Some(until) = lock(&self.drain_freshness).held_until(now()) else {
                return !self.is_drained_server(server);
            };
            // After the timeout nothing is held.
            let _ = timeout(until.saturating_sub(now()), news).await;
        }
    }

    /// True while no more requests may be sent to a server, because its failure domain is drained.
    /// The failure domain of a server without an entry is not known: such a server counts as drained
    /// while any failure domain is.
    #[must_use]
    pub fn is_drained_server(&self, server: &str) -> bool {
        let fleet = self.fleet();
        let drains = self.drains();
        match fleet.get(server) {
            Some(entry) => drains.is_drained(&entry.failure_domain),
            None => drains.drained().next().is_some(),
        }
    }
}
