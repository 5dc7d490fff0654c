//! Engines that ask for a pause in an answer to an order or a query.

use {super::FormationManager, std::time::Duration};

impl FormationManager {
    /// Records that a server answered an order or a query by asking for a pause. It has not failed;
    /// it gets no order and no query until the pause is over.
    pub fn defer_calls(&mut self, now: Duration, server: &str, pause: Duration) {
        let Some(&key) = self.by_id.get(server) else {
            return;
        };
        let record = &mut self.servers[key];
        record.probing = false;
        record.failures.reset();
        record.quiet_until = record.quiet_until.max(now + pause);
    }
}
