//! What a node does with changes of the backend servers, whichever source they came from.

use {
    super::{NodeContext, node_clock::now},
    crate::core::fleet::{FleetChange, HeldRow},
    slog::info,
};

impl NodeContext {
    /// Logs changes of the backend servers and passes them on to the schedulers and the control
    /// actor. Changes from the store, and entries that lapsed, are also queued for the other nodes.
    pub fn publish_fleet_changes(&self, changes: &[FleetChange], source: &'static str) {
        self.note_cold_entries(changes);
        let held = self.fleet().take_held();
        for row in &held {
            self.log_held(row, source);
        }
        for change in changes {
            self.log_change(change, source);
        }
        if changes.is_empty() {
            return;
        }
        self.fleet().note_leaving_entries(now(), changes);
        // Entries that lapse at this node are still known to the nodes that it sends changes to.
        if source == "store" || source == "time" {
            self.queue_rows(changes);
        }
        self.sync_schedulers();
        self.fleet_changed.notify_one();
    }

    fn log_held(&self, row: &HeldRow, source: &'static str) {
        let entry = &row.entry;
        let fleet = self.fleet();
        let known = fleet.get_known(&entry.id);
        info!(self.logger, "held back a backend server entry that was written before the known one";
            "server" => &entry.id, "source" => source, "version" => %row.version,
            "born_ms" => entry.born_ms, "write_count" => entry.write_count,
            "known_version" => known.map(|known| known.version.to_string()),
            "known_born_ms" => known.map(|known| known.entry.born_ms),
            "known_write_count" => known.map(|known| known.entry.write_count));
    }

    fn log_change(&self, change: &FleetChange, source: &'static str) {
        let (id, outcome) = match change {
            FleetChange::Appeared(id) => (id, "appeared"),
            FleetChange::Changed(id) => (id, "changed"),
            FleetChange::Gone(id) => (id, "gone"),
            FleetChange::Unconfirmed(id) => (id, "kept after an outage of the store"),
        };
        let fleet = self.fleet();
        let entry = fleet.get(id);
        let member = entry.and_then(|entry| entry.membership.as_ref());
        info!(self.logger, "updated a backend server entry";
            "server" => id, "outcome" => outcome, "source" => source,
            "version" => %fleet.version(),
            "born_ms" => entry.map(|entry| entry.born_ms),
            "write_count" => entry.map(|entry| entry.write_count),
            "leaving" => entry.is_some_and(|entry| entry.leaving),
            "group" => member.map(|member| member.group.clone()),
            "epoch" => member.map(|member| member.epoch),
            "rank" => member.map(|member| member.rank),
            "state" => member.map(|member| format!("{:?}", member.state)));
    }
}
