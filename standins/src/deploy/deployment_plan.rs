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

/// Bearer key of the only client account.
pub const ACCOUNT_KEY: &str = "deployment-key";

/// Key of the exchange between the processes of a deployment.
const EXCHANGE_KEY: &str = "11aa22bb33cc44dd55ee66ff778899001122334455667788aabbccddeeff0011";

/// Address with a free port.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// What a deployment consists of; names are `d<n>` for failure domains,
/// `d<n>-m<k>` for model instances and `d<n>-p0` for the plain ones.
#[derive(Debug, Clone)]
pub struct DeploymentPlan {
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Model instances in each failure domain.
    pub model_instances: usize,
    /// Instances of a replica of the model service `chat`.
    pub span: u32,
    /// Groups wanted in each failure domain.
    pub groups: u32,
    /// Gateways in each failure domain.
    pub gateways: usize,
    /// Controllers in each failure domain.
    pub controllers: usize,
    /// Bytes of the model's weights.
    pub weight_bytes: u64,
    /// Rates of the engines.
    pub engine: EngineSettings,
    /// Requests in flight that the client account may have.
    pub concurrency: u32,
    /// Whether the backend servers refuse old fencing numbers.
    pub checks_fencing: bool,
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
        }
    }
}

impl DeploymentPlan {
    /// Names of the failure domains.
    #[must_use]
    pub fn domain_names(&self) -> Vec<String> {
        (0..self.failure_domains).map(|n| format!("d{n}")).collect()
    }

    /// Settings of the platform stand-in.
    #[must_use]
    pub fn platform_settings(&self) -> PlatformSettings {
        PlatformSettings {
            instance_lag_ms: 200,
            ..PlatformSettings::default()
        }
    }

    /// Settings of the backend stand-in.
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

    /// The operator text for servers at these addresses.
    #[must_use]
    pub fn operator_text(&self, addresses: &BTreeMap<String, SocketAddr>) -> Value {
        let domains: Vec<Value> = self
            .domain_names()
            .iter()
            .map(|name| {
                json!({"name": name, "region": "r0", "fabric_domains": [format!("{name}-f0")]})
            })
            .collect();
        let plain: Vec<&String> = addresses
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
                "name": "ledger", "instances": plain,
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

    /// Rows of the platform's instance list and backend servers of the operator text.
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

    /// The platform's instance list; `leaving` names the instances about to go.
    #[must_use]
    pub fn instance_rows(
        &self,
        addresses: &BTreeMap<String, SocketAddr>,
        leaving: &[&str],
    ) -> Vec<Value> {
        let mut rows = self.server_entries(addresses);
        for row in &mut rows {
            let name = row["instance"].take();
            let leaves = leaving.iter().any(|gone| name == *gone);
            row["state"] = json!(if leaves { "leaving" } else { "live" });
            row["name"] = name;
            if let Some(fields) = row.as_object_mut() {
                fields.remove("instance");
                fields.remove("checks_fencing");
            }
        }
        rows
    }

    /// Settings of a gateway or controller.
    #[must_use]
    pub fn process_settings(
        &self,
        name: &str,
        domain: &str,
        platform: SocketAddr,
        peers: &[SocketAddr],
    ) -> Value {
        json!({
            "name": name, "failure_domain": domain, "listen": ANY_PORT,
            "peer_listen": ANY_PORT, "peers": peers, "platform": platform,
            "exchange_key": EXCHANGE_KEY, "drain_ms": 200,
        })
    }
}
