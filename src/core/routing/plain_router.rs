use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time for which a server gets nothing new after a connection to it failed.
const AVOID_AFTER_FAILURE: Duration = Duration::from_millis(500);

/// Age up to which a server's report shows that it is reachable.
const REPORT_AGE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct PlainServer {
    address: SocketAddr,
    running: u32,
    avoid_until: Duration,
    reported_at: Option<Duration>,
    leaving: bool,
}

value_type! {
    /// A server chosen for a plain call.
    pub struct PickedServer {
        /// Name of the instance.
        pub instance: String,
        /// Its address.
        pub address: SocketAddr,
    }
}

/// Chooses servers of plain services: the least busy one that is not leaving.
#[derive(Debug, Clone, Default)]
pub struct PlainRouter {
    servers: BTreeMap<String, PlainServer>,
    services: BTreeMap<String, Vec<String>>,
}

impl PlainRouter {
    /// Replaces the services; state of known servers is kept.
    pub fn configure(&mut self, services: Vec<(String, Vec<(String, SocketAddr)>)>) {
        let mut known = std::mem::take(&mut self.servers);
        self.services.clear();
        for (service, servers) in services {
            let mut names = Vec::new();
            for (instance, address) in servers {
                names.push(instance.clone());
                let former = known.remove(&instance).filter(|old| old.address == address);
                let server = former.unwrap_or(PlainServer {
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

    /// Whether the service exists.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// All servers with their addresses.
    #[must_use]
    pub fn servers(&self) -> Vec<(String, SocketAddr)> {
        let pairs = self.servers.iter();
        pairs
            .map(|(name, server)| (name.clone(), server.address))
            .collect()
    }

    /// Takes a server's own report.
    pub fn take_report(&mut self, now: Duration, instance: &str, leaving: bool) {
        let Some(server) = self.servers.get_mut(instance) else {
            return;
        };
        server.reported_at = Some(now);
        server.leaving = leaving;
    }

    /// Chooses a server; those that reported lately come before those that did not.
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
            let unwanted = server.leaving || leaving.contains(instance) || tried.contains(instance);
            if unwanted || now < server.avoid_until {
                continue;
            }
            let silent = server
                .reported_at
                .is_none_or(|reported_at| now.saturating_sub(reported_at) > REPORT_AGE);
            let better = best
                .as_ref()
                .is_none_or(|(quiet, running, _)| (silent, server.running) < (*quiet, *running));
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

    /// Notes a call sent to a server.
    pub fn note_sent(&mut self, instance: &str) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.running += 1;
        }
    }

    /// Notes the end of a call.
    pub fn note_ended(&mut self, instance: &str) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.running = server.running.saturating_sub(1);
        }
    }

    /// Sends nothing to a server for a moment after a failed call.
    pub fn avoid(&mut self, now: Duration, instance: &str) {
        if let Some(server) = self.servers.get_mut(instance) {
            server.avoid_until = now + AVOID_AFTER_FAILURE;
        }
    }
}
