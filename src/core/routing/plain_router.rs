use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time for which a server gets no new calls after a failed attempt.
const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// Maximum age of a server's report that shows that the server is reachable.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct PlainServer {
    address: SocketAddr,
    running: u32,
    avoid_until: Duration,
    reported_at: Option<Duration>,
    leaving: bool,
}

value_type! {
    /// The server chosen for a call of a plain service.
    pub struct PickedServer {
        /// Instance name of the server, as in the configuration.
        pub instance: String,
        /// Address to which the call is sent.
        pub address: SocketAddr,
    }
}

/// Selects servers of plain services: the one with the fewest running calls that is not leaving.
#[derive(Debug, Clone, Default)]
pub struct PlainRouter {
    servers: BTreeMap<String, PlainServer>,
    services: BTreeMap<String, Vec<String>>,
}

impl PlainRouter {
    /// Replaces the services and their servers. A server keeps its state while its address stays
    /// the same.
    pub fn configure(&mut self, services: Vec<(String, Vec<(String, SocketAddr)>)>) {
        let mut known = std::mem::take(&mut self.servers);
        self.services.clear();
        for (service, servers) in services {
            let mut names = Vec::new();
            for (instance, address) in servers {
                names.push(instance.clone());
                let known_server = known.remove(&instance).filter(|old| old.address == address);
                let server = known_server.unwrap_or(PlainServer {
                    address,
                    running: 0,
                    avoid_until: Duration::ZERO,
                    reported_at: None,
                    leaving: false,
                });
                self.servers.entry(instance).or_insert(server);
            }
            self.services.insert(service, names);
        }
    }

    /// Whether the configuration has this service; it may have no reachable server.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Instance names and addresses of the servers of all services.
    #[must_use]
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        let pairs = self.servers.iter();
        pairs
            .map(|(name, server)| (name.clone(), server.address))
            .collect()
    }

    /// Records that a server reported, and whether it is leaving.
    pub fn apply_report(&mut self, now: Duration, instance: &str, leaving: bool) {
        let Some(server) = self.servers.get_mut(instance) else {
            return;
        };
        server.reported_at = Some(now);
        server.leaving = leaving;
    }

    /// Selects a server that is neither in `tried` nor in `leaving`; `None` if there is none.
    ///
    /// Servers that reported recently come before those that did not.
    #[must_use]
    pub fn pick(
        &self,
        now: Duration,
        service: &str,
        tried: &[String],
        leaving: &[String],
    ) -> Option<PickedServer> {
        let names = self.services.get(service)?;
        let mut best: Option<(bool, u32, PickedServer)> = None;
        for instance in names {
            let Some(server) = self.servers.get(instance) else {
                continue;
            };
            let excluded = server.leaving || leaving.contains(instance) || tried.contains(instance);
            if excluded || now < server.avoid_until {
                continue;
            }
            let silent = server
                .reported_at
                .is_none_or(|reported_at| now.saturating_sub(reported_at) > MAX_REPORT_AGE);
            let better = best.as_ref().is_none_or(|(best_silent, best_running, _)| {
                (silent, server.running) < (*best_silent, *best_running)
            });
            if !better {
                continue;
            }
            let picked = PickedServer {
                instance: instance.clone(),
                address: server.address,
            };
            best = Some((silent, server.running, picked));
        }
        best.map(|(_, _, picked)| picked)
    }

    /// Counts a call sent to a server.
    pub fn record_sent(&mut self, instance: &str) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.running += 1;
        }
    }

    /// Counts the end of a call, whatever its outcome.
    pub fn record_ended(&mut self, instance: &str) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.running = server.running.saturating_sub(1);
        }
    }

    /// Excludes a server from selection for half a second after a failed attempt.
    pub fn avoid(&mut self, now: Duration, instance: &str) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.avoid_until = now + AVOID_AFTER_FAILURE;
        }
    }
}
