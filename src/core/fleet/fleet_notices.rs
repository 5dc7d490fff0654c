//! Joins the notices of the servers with their entries.

use {
    super::{FleetChange, FleetView},
    std::time::Duration,
};

value_type! {
    /// Result of a notice that a server is leaving.
    pub enum LeavingOutcome {
        /// The notice was known, or a later incarnation of the server is known.
        Known,
        /// The notice is new, but no entry changed: the server has none, or it says the same.
        Noted,
        /// The notice is new, and the server counts as leaving from now on.
        Marked(FleetChange),
    }
}

impl FleetView {
    /// Records that an incarnation of a server said in an answer that it is leaving. Its entry
    /// counts as leaving from now on, whatever later or older rows say.
    pub fn note_leaving(&mut self, now: Duration, server: &str, born_ms: u64) -> LeavingOutcome {
        let entry_born = self.get(server).map(|entry| entry.born_ms);
        if entry_born.is_some_and(|born| born > born_ms) {
            return LeavingOutcome::Known;
        }
        if !self.notices.note_leaving(now, server, born_ms) {
            return LeavingOutcome::Known;
        }
        if entry_born != Some(born_ms) || !self.mark_leaving(server) {
            return LeavingOutcome::Noted;
        }
        LeavingOutcome::Marked(FleetChange::Changed(server.to_owned()))
    }

    /// Records the servers whose changed entries say that they are leaving, so that beacons name
    /// them: a node that misses the change of the entry hears of it from any other one.
    pub fn note_leaving_entries(&mut self, now: Duration, changes: &[FleetChange]) {
        for change in changes {
            let (FleetChange::Appeared(id) | FleetChange::Changed(id)) = change else {
                continue;
            };
            let Some(entry) = self.get(id) else {
                continue;
            };
            // Without a start time the notice would also hold for later incarnations.
            if !entry.leaving || entry.born_ms == 0 {
                continue;
            }
            let born_ms = entry.born_ms;
            self.notices.note_leaving(now, id, born_ms);
        }
    }

    /// Records that an incarnation of a server wants no requests from this node until a time; true
    /// when that is later than known. Nothing changes when a later incarnation is known.
    pub fn note_pause(&mut self, server: &str, born_ms: u64, until: Duration) -> bool {
        let entry_born = self.get(server).map(|entry| entry.born_ms);
        let is_replaced = entry_born.is_some_and(|born| born > born_ms);
        !is_replaced && self.notices.note_pause(server, born_ms, until)
    }

    /// Time until which an incarnation of a server wants no requests from this node; zero when it
    /// asked for no pause.
    #[must_use]
    pub fn paused_until(&self, server: &str, born_ms: u64) -> Duration {
        let until = self.notices.paused_until(server, born_ms);
        until.unwrap_or(Duration::ZERO)
    }

    /// Leaving servers to be told to the other nodes, `max_count` at most, with identifiers of
    /// `max_bytes` together; see [`ServerNotices::to_announce`](super::ServerNotices::to_announce).
    #[must_use]
    pub fn leaving_to_announce(
        &self,
        round: u64,
        max_count: usize,
        max_bytes: usize,
    ) -> Vec<(String, u64)> {
        let mut named = self
            .notices
            .to_announce(round, max_count, |server, born_ms| {
                self.get(server)
                    .is_some_and(|entry| entry.born_ms == born_ms)
            });
        let mut bytes = 0;
        named.retain(|(server, _)| {
            let fits = bytes + server.len() <= max_bytes;
            bytes += if fits { server.len() } else { 0 };
            fits
        });
        named
    }
}
