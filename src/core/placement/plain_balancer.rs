use {
    crate::core::fleet::FleetView,
    slotmap::SlotMap,
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of a plain backend server.
    pub struct PlainKey;
}

/// Share of the newest sample in running means.
const SAMPLE_SHARE: f64 = 0.15;

/// Time of an answer assumed before the first, in seconds.
const DEFAULT_ANSWER_S: f64 = 0.08;

/// Time that a failed request counts as, in seconds.
const FAILURE_S: f64 = 1.0;

/// Factor on the time of servers in another failure domain.
const FOREIGN_FACTOR: f64 = 1.25;

/// Time without a sample after which half of a server's bad record is forgotten.
const RECORD_HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct PlainServer {
    id: String,
    service: String,
    address: SocketAddr,
    failure_domain: String,
    usable: bool,
    running: u32,
    answer_s: f64,
    sampled_at: Duration,
}

/// Chooses among the servers of plain services by their expected answer time.
#[derive(Debug, Clone, Default)]
pub struct PlainBoard {
    servers: SlotMap<PlainKey, PlainServer>,
    seen_revision: Option<u64>,
}

impl PlainBoard {
    /// Takes the entries of the fleet.
    pub fn sync(&mut self, fleet: &FleetView) {
        if self.seen_revision == Some(fleet.revision()) {
            return;
        }
        self.seen_revision = Some(fleet.revision());
        for server in self.servers.values_mut() {
            server.usable = false;
        }
        for entry in fleet.entries() {
            let known = self
                .servers
                .values_mut()
                .find(|server| server.id == entry.id);
            if let Some(server) = known {
                server.usable = !entry.leaving;
                server.address = entry.address;
                server.service.clone_from(&entry.service);
                continue;
            }
            self.servers.insert(PlainServer {
                id: entry.id.clone(),
                service: entry.service.clone(),
                address: entry.address,
                failure_domain: entry.failure_domain.clone(),
                usable: !entry.leaving,
                running: 0,
                answer_s: DEFAULT_ANSWER_S,
                sampled_at: Duration::ZERO,
            });
        }
        self.servers
            .retain(|_, server| server.usable || server.running > 0);
    }

    /// Picks a server, counts a request there and returns its identifier and
    /// address; servers in `tried` come last.
    pub fn pick(
        &mut self,
        now: Duration,
        service: &str,
        failure_domain: &str,
        tried: &[PlainKey],
    ) -> Option<(PlainKey, String, SocketAddr)> {
        let mut best: Option<(f64, PlainKey)> = None;
        for (key, server) in &self.servers {
            if !server.usable || server.service != service {
                continue;
            }
            let home = server.failure_domain == failure_domain;
            let distance = if home { 1.0 } else { FOREIGN_FACTOR };
            let again = if tried.contains(&key) { 100.0 } else { 1.0 };
            let cost = f64::from(server.running + 1) * server.expected_s(now) * distance * again;
            if best.is_none_or(|(other, _)| cost < other) {
                best = Some((cost, key));
            }
        }
        let (_, key) = best?;
        let server = &mut self.servers[key];
        server.running += 1;
        Some((key, server.id.clone(), server.address))
    }

    /// Takes the end of a request; `seen` is the time to its answer, none when it failed.
    pub fn ended(&mut self, now: Duration, key: PlainKey, seen: Option<Duration>) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.running = server.running.saturating_sub(1);
        let sample = seen.map_or(FAILURE_S, |seen| seen.as_secs_f64());
        let expected = server.expected_s(now);
        server.answer_s = expected + SAMPLE_SHARE * (sample - expected);
        server.sampled_at = now;
    }

    /// Takes the end of a request that says nothing about the server.
    pub fn abandoned(&mut self, key: PlainKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running = server.running.saturating_sub(1);
        }
    }
}

impl PlainServer {
    /// Expected time of an answer; a bad record fades so that the server is tried again.
    fn expected_s(&self, now: Duration) -> f64 {
        let idle = now.saturating_sub(self.sampled_at).as_secs_f64();
        let kept = 0.5_f64.powf(idle / RECORD_HALF_LIFE.as_secs_f64());
        DEFAULT_ANSWER_S + (self.answer_s - DEFAULT_ANSWER_S) * kept
    }
}
