use {
    crate::{
        backend::{BackendSettings, EngineSettings, ServerSettings},
        platform::PlatformSettings,
    },
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
    },
};

/// Bearer key of the only client account, `caller`.
pub const ACCOUNT_KEY: &str = "deployment-key";

/// Shared key of the peer exchange between the processes of a deployment, in hexadecimal.
const EXCHANGE_KEY: &str = "11aa22bb33cc44dd55ee66ff778899001122334455667788aabbccddeeff0011";

/// Loopback address with port 0, which takes a free one.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Size and settings of a deployment. Failure domains are named `d<n>`; instances `d<n>-m<k>` for
/// models and `d<n>-p0` for the plain service, one in each failure domain.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Number of failure domains, all in one region.
    pub failure_domains: usize,
    /// Instances for the model service in each failure domain, spare ones included.
    pub model_instances: usize,
    /// Instances that a replica group of the model service `chat` spans.
    pub span: u32,
    /// Groups of the model service in each failure domain; its `min_groups` and `max_groups`.
    pub groups: u32,
    /// Gateways in each failure domain.
    pub gateways: usize,
    /// Controllers in each failure domain.
    pub controllers: usize,
    /// Size of the model's weights, over all shards of a group.
    pub weight_bytes: u64,
    /// Rates and limits of the engine of every backend server.
    pub engine: EngineSettings,
    /// Concurrent requests that the client account may have.
    pub concurrency: u32,
    /// Whether the backend servers refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// Memory limit of each gateway in MiB; the default of the settings if left out.
    pub memory_mb: Option<u64>,
}

impl Default for DeploymentPlan {
    fn default() -> Self {
        Self {
            failure_domains: 1,
            model_instances: 2,
            span: 2,
            groups: 1,
            gateways: 1,
            controllers: 1,
            weight_bytes: 20_000_000,
            engine: EngineSettings::default(),
            concurrency: 10_000,
            checks_fencing: true,
            memory_mb: None,
        }
    }
}

impl DeploymentPlan {
    /// Names of the failure domains, from `d0`.
    #[must_use]
    pub fn domain_names(&self) -> Vec<String> {
        (0..self.failure_domains).map(|n| format!("d{n}")).collect()
    }

    /// Settings of the platform stand-in: defaults, but for a short lag of the instance list.
    #[must_use]
    pub fn platform_settings(&self) -> PlatformSettings {
        PlatformSettings {
            instance_lag_ms: 200,
            ..PlatformSettings::default()
        }
    }

    /// Settings of the backend stand-in, with one server for each instance.
    #[must_use]
    pub fn backend_settings(&self, platform: SocketAddr) -> BackendSettings {
        let mut servers = Vec::new();
        for domain in self.domain_names() {
            for number in 0..self.model_instances {
                servers.push(self.server(&domain, format!("{domain}-m{number}"), &[]));
            }
            let services = ["ledger".to_owned()];
            servers.push(self.server(&domain, format!("{domain}-p0"), &services));
        }
        BackendSettings {
            platform: Some(platform),
            load_bytes_per_s: 1e9,
            control: ANY_PORT,
            servers,
        }
    }

    fn server(&self, domain: &str, instance: String, services: &[String]) -> ServerSettings {
        ServerSettings {
            instance,
            listen: ANY_PORT,
            failure_domain: domain.to_owned(),
            checks_fencing: self.checks_fencing,
            services: services.to_vec(),
            engine: self.engine.clone(),
        }
    }

    /// Builds the operator text for servers at these addresses, given by instance.
    #[must_use]
    pub fn operator_text(&self, addresses: &BTreeMap<String, SocketAddr>) -> Value {
        let domains: Vec<Value> = self
            .domain_names()
            .iter()
            .map(|name| {
                json!({"name": name, "region": "r0", "fabric_domains": [format!("{name}-f0")]})
            })
            .collect();
        let plain_instances: Vec<&String> = addresses
            .keys()
            .filter(|name| name.contains("-p"))
            .collect();
        json!({
            "deployment": "loopback",
            "planner": {"group_downtime": 3.0, "stranded_accelerators": 1.0},
            "failure_domains": domains,
            "backend_servers": self.server_entries(addresses),
            "model_services": [{
                "name": "chat", "model": "chat-weights", "span": self.span,
                "weight_bytes": self.weight_bytes, "min_groups": self.groups,
                "max_groups": self.groups, "weight": 1.0,
            }],
            "plain_services": [{
                "name": "ledger", "instances": plain_instances,
                "non_repeatable": [{"method": "POST", "path": "/bookings"}],
            }],
            "request_kinds": [
                {"name": "note", "weight": 1.0, "priority": 1, "deadline_ms": 10_000},
                {"name": "booking", "weight": 5.0, "priority": 0, "deadline_ms": 10_000},
            ],
            "client_accounts": [{
                "name": "caller", "key_digest": blake3::hash(ACCOUNT_KEY.as_bytes()).to_string(),
                "requests_per_s": 100_000.0, "tokens_per_s": 1e9, "concurrency": self.concurrency,
            }],
            "objective": {"completion": 0.99},
        })
    }

    /// Fields of each instance for `backend_servers` of the operator text; the platform's instance
    /// list is made from them too.
    fn server_entries(&self, addresses: &BTreeMap<String, SocketAddr>) -> Vec<Value> {
        let entries = addresses.iter().map(|(instance, address)| {
            let domain = instance.split('-').next().unwrap_or_default();
            let accelerators = if instance.contains("-p") { 0 } else { 4 };
            json!({
                "instance": instance, "address": address, "failure_domain": domain,
                "fabric_domain": format!("{domain}-f0"), "accelerators": accelerators,
                "checks_fencing": self.checks_fencing,
            })
        });
        entries.collect()
    }

    /// Builds the platform's instance list; `leaving` names the instances in state `leaving`.
    #[must_use]
    pub fn instance_rows(
        &self,
        addresses: &BTreeMap<String, SocketAddr>,
        leaving: &[&str],
    ) -> Vec<Value> {
        let mut rows = self.server_entries(addresses);
        for row in &mut rows {
            let name = row["instance"].take();
            let is_leaving = leaving.iter().any(|instance| name == *instance);
            row["state"] = json!(if is_leaving { "leaving" } else { "live" });
            row["name"] = name;
            if let Some(fields) = row.as_object_mut() {
                fields.remove("instance");
                fields.remove("checks_fencing");
            }
        }
        rows
    }

    /// Builds the settings file of a gateway, a controller or `toucanctl`.
    #[must_use]
    pub fn process_settings(
        &self,
        name: &str,
        domain: &str,
        platform: SocketAddr,
        peers: &[SocketAddr],
    ) -> Value {
        let mut settings = json!({
            "name": name, "failure_domain": domain, "listen": ANY_PORT,
            "peer_listen": ANY_PORT, "peers": peers, "platform": platform,
            "exchange_key": EXCHANGE_KEY, "drain_ms": 200,
        });
        if let Some(memory_mb) = self.memory_mb {
            settings["memory_mb"] = json!(memory_mb);
        }
        settings
    }
}
