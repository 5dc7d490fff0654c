use {
    crate::core::{
        cold::{ColdGate, ColdPermit},
        drain::DomainDrains,
        fleet::FleetView,
    },
    slotmap::SlotMap,
    smallvec::SmallVec,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of a backend server of a plain service, one without model engines.
    pub struct PlainServerKey;
}

/// Weight of the newest sample in the moving average of the answer time.
const SAMPLE_WEIGHT: f64 = 0.15;

/// Answer time in seconds that is assumed for a server without samples.
const DEFAULT_ANSWER_S: f64 = 0.08;

/// Answer time in seconds that a failed request counts as.
const FAILURE_PENALTY_S: f64 = 1.0;

/// Cost factor of servers in another failure domain.
const REMOTE_DOMAIN_FACTOR: f64 = 1.25;

/// Time without a sample after which an answer time has moved half of the way back to the default.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct PlainServer {
    id: String,
    service: String,
    address: SocketAddr,
    failure_domain: String,
    born_ms: u64,
    usable: bool,
    /// End of the pause that the server asked for; zero without one.
    paused_until: Duration,
    running: u32,
    answer_s: f64,
    sampled_at: Duration,
}

/// Chooses among the servers of plain services by their expected answer time and running requests.
#[derive(Debug, Clone, Default)]
pub struct PlainBalancer {
    servers: SlotMap<PlainServerKey, PlainServer>,
    keys: HashMap<String, PlainServerKey>,
    /// Servers of each service, in the order in which they became known.
    services: HashMap<String, Vec<PlainServerKey>>,
    /// Failure domains whose servers get no new requests.
    drained_domains: SmallVec<[String; 2]>,
    /// Revision of the fleet at the last sync.
    synced_revision: Option<u64>,
    /// Permits for cold servers; the node shares its own with the scheduler.
    pub cold: ColdGate,
}

impl PlainBalancer {
    /// Creates a balancer with the permits for cold servers that it shares with others.
    #[must_use]
    pub fn new(cold: ColdGate) -> Self {
        Self {
            cold,
            ..Self::default()
        }
    }

    /// Updates the servers whose entries have changed since the last call. Servers that are leaving
    /// or gone get no new requests and are kept until theirs have ended.
    pub fn sync(&mut self, fleet: &FleetView) {
        let synced_revision = self.synced_revision.replace(fleet.revision());
        let changes = synced_revision.and_then(|revision| fleet.changes_since(revision));
        let Some(changes) = changes else {
            self.sync_all(fleet);
            return;
        };
        for change in changes {
            self.update_server(fleet, &change.server);
        }
    }

    fn sync_all(&mut self, fleet: &FleetView) {
        let known: Vec<String> = self.keys.keys().cloned().collect();
        for id in known {
            self.update_server(fleet, &id);
        }
        for entry in fleet.entries() {
            self.update_server(fleet, &entry.id);
        }
    }

    fn update_server(&mut self, fleet: &FleetView, id: &str) {
        let known = self.keys.get(id).copied();
        let Some(entry) = fleet.get(id).filter(|entry| !entry.leaving) else {
            if let Some(key) = known {
                self.servers[key].usable = false;
                self.drop_unused(key);
            }
            return;
        };
        let paused_until = fleet.paused_until(id, entry.born_ms);
        if let Some(key) = known {
            if self.servers[key].service != entry.service {
                self.move_to_service(key, &entry.service);
            }
            let server = &mut self.servers[key];
            server.usable = true;
            server.born_ms = entry.born_ms;
            server.address = entry.address;
            server.paused_until = paused_until;
            return;
        }
        let key = self.servers.insert(PlainServer {
            id: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            born_ms: entry.born_ms,
            usable: true,
            paused_until,
            running: 0,
            answer_s: DEFAULT_ANSWER_S,
            sampled_at: Duration::ZERO,
        });
        self.keys.insert(entry.id.clone(), key);
        let servers = self.services.entry(entry.service.clone()).or_default();
        servers.push(key);
    }

    fn move_to_service(&mut self, key: PlainServerKey, service: &str) {
        self.leave_service(key);
        service.clone_into(&mut self.servers[key].service);
        let servers = self.services.entry(service.to_owned()).or_default();
        servers.push(key);
    }

    fn leave_service(&mut self, key: PlainServerKey) {
        let service = &self.servers[key].service;
        let Some(servers) = self.services.get_mut(service) else {
            return;
        };
        servers.retain(|other| *other != key);
        if servers.is_empty() {
            self.services.remove(service);
        }
    }

    /// Drops a server that gets no new requests once its last one has ended.
    fn drop_unused(&mut self, key: PlainServerKey) {
        let server = &self.servers[key];
        if server.usable || server.running > 0 {
            return;
        }
        self.leave_service(key);
        if let Some(server) = self.servers.remove(key) {
            self.keys.remove(&server.id);
        }
    }

    /// Servers of a service, those that are leaving included.
    fn servers_of(&self, service: &str) -> impl Iterator<Item = (PlainServerKey, &PlainServer)> {
        let keys = self.services.get(service).into_iter().flatten();
        keys.map(|key| (*key, &self.servers[*key]))
    }

    /// Takes over the pauses that the servers asked for.
    pub fn apply_pauses(&mut self, fleet: &FleetView) {
        for server in self.servers.values_mut() {
            server.paused_until = fleet.paused_until(&server.id, server.born_ms);
        }
    }

    /// Takes over which failure domains are drained.
    pub fn apply_drains(&mut self, drains: &DomainDrains) {
        self.drained_domains = drains.drained().map(ToOwned::to_owned).collect();
    }

    fn is_drained(&self, server: &PlainServer) -> bool {
        self.drained_domains.contains(&server.failure_domain)
    }

    /// True when a service has usable servers, and all of them are in drained failure domains.
    #[must_use]
    pub fn is_fully_drained(&self, service: &str) -> bool {
        let mut usable = self.servers_of(service).filter(|(_, server)| server.usable);
        let first = usable.next();
        first.is_some_and(|(_, server)| self.is_drained(server))
            && usable.all(|(_, server)| self.is_drained(server))
    }

    /// Time at which the first server of a service takes requests again; none without a usable
    /// server, or when one of them is not paused.
    #[must_use]
    pub fn paused_until(&self, now: Duration, service: &str) -> Option<Duration> {
        let mut first: Option<Duration> = None;
        for (_, server) in self.servers_of(service) {
            if !server.usable || self.is_drained(server) {
                continue;
            }
            if now >= server.paused_until {
                return None;
            }
            first = Some(first.map_or(server.paused_until, |at| at.min(server.paused_until)));
        }
        first
    }

    /// Time at which a request of this gateway may be sent to the first cold server of a service, and
    /// the number of permits up to `end`; none without a usable server, or when one of them needs no
    /// permit or has one now.
    #[must_use]
    pub fn next_permit(
        &self,
        now: Duration,
        service: &str,
        end: Duration,
    ) -> Option<(Duration, u32)> {
        let mut next: Option<(Duration, u32)> = None;
        for (_, server) in self.servers_of(service) {
            if !server.usable || now < server.paused_until || self.is_drained(server) {
                continue;
            }
            let ColdPermit::At(at) = self.cold.permit(now, &server.id) else {
                return None;
            };
            let permits = self.cold.limiter().permits_until(now, &server.id, end);
            let (first, sum) = next.unwrap_or((at, 0));
            next = Some((first.min(at), sum.saturating_add(permits)));
        }
        next
    }

    /// Picks the server with the lowest expected cost and counts a request there. Returns its key,
    /// identifier and address; none when `service` has no usable server that is neither paused nor in
    /// a drained failure domain, and for which this gateway has a permit if it is cold. The cost of
    /// servers in `tried` counts 100 times, so that they come last.
    pub fn pick(
        &mut self,
        now: Duration,
        service: &str,
        failure_domain: &str,
        tried: &[PlainServerKey],
    ) -> Option<(PlainServerKey, String, SocketAddr)> {
        let mut best: Option<(f64, PlainServerKey)> = None;
        for (key, server) in self.servers_of(service) {
            if !server.usable || now < server.paused_until || self.is_drained(server) {
                continue;
            }
            if !self.cold.may_send(now, &server.id) {
                continue;
            }
            let is_local = server.failure_domain == failure_domain;
            let domain_factor = if is_local { 1.0 } else { REMOTE_DOMAIN_FACTOR };
            let retry_factor = if tried.contains(&key) { 100.0 } else { 1.0 };
            let cost = f64::from(server.running + 1)
                * server.expected_s(now)
                * domain_factor
                * retry_factor;
            if best.is_none_or(|(other, _)| cost < other) {
                best = Some((cost, key));
            }
        }
        let (_, key) = best?;
        let server = &mut self.servers[key];
        server.running += 1;
        self.cold.spend(now, &server.id);
        Some((key, server.id.clone(), server.address))
    }

    /// Records the end of a request; `answer_time` is none when it failed.
    pub fn ended(&mut self, now: Duration, key: PlainServerKey, answer_time: Option<Duration>) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        server.running = server.running.saturating_sub(1);
        let sample = answer_time.map_or(FAILURE_PENALTY_S, |time| time.as_secs_f64());
        let expected = server.expected_s(now);
        server.answer_s = expected + SAMPLE_WEIGHT * (sample - expected);
        server.sampled_at = now;
        self.drop_unused(key);
    }

    /// Records the end of a request that says nothing about the speed of the server, such as one
    /// whose caller has left.
    pub fn abandoned(&mut self, key: PlainServerKey) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running = server.running.saturating_sub(1);
            self.drop_unused(key);
        }
    }
}

impl PlainServer {
    /// Expected answer time in seconds. Old samples lose weight, so that a server that was slow or
    /// failed is tried again.
    fn expected_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.sampled_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / SAMPLE_HALF_LIFE.as_secs_f64());
        DEFAULT_ANSWER_S + (self.answer_s - DEFAULT_ANSWER_S) * weight
    }
}
