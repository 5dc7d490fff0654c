//! Drained failure domains: takes their marks from the store and from beacons, and passes changes on
//! to the schedulers and the control actor.

use {
    super::{NodeContext, node_context::lock},
    crate::core::{
        drain::{DomainDrains, DrainMark, DrainUpdate},
        store::{StoreRow, StoreVersion, cut_text},
    },
    slog::{info, warn},
    std::sync::MutexGuard,
};

/// Most marks in a beacon; further ones are named in turn.
pub(super) const MAX_DRAIN_MARKS: usize = 8;

/// Most bytes of the names of failure domains in a beacon's marks.
pub(super) const MAX_DRAIN_NAME_BYTES: usize = 160;

/// Most bytes of a mark in a beacon beside the name of its failure domain, with versions below
/// 2^35.
pub(super) const DRAIN_OVERHEAD_BYTES: usize = 12;

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
            let outcome = if mark.drained { "drained" } else { "in use" };
            info!(self.logger, "the drain of a failure domain began or ended";
                "failure_domain" => &mark.failure_domain, "outcome" => outcome,
                "version" => %mark.version, "source" => source, "from" => from);
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

    /// True while no more requests may be sent to a server, because its failure domain is drained.
    /// Servers without an entry are in no known failure domain.
    #[must_use]
    pub fn is_drained_server(&self, server: &str) -> bool {
        let fleet = self.fleet();
        let entry = fleet.get(server);
        entry.is_some_and(|entry| self.drains().is_drained(&entry.failure_domain))
    }
}
