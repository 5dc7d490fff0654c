use {
    super::{FakeInstance, FakeNode, FakeWorld},
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    toucanring::{
        conf::{
            BackendServer, FailureDomain, ModelService, OperatorText, PlannerWeights,
            ServiceObjective,
        },
        core::groups::{GroupManager, GroupOptions, GroupPolicy},
        wire::FencingNumber,
    },
};

/// Accelerators of each instance.
const ACCELERATORS: u32 = 4;
/// Bytes per second of the weight store, for all failure domains together.
const STORE_BYTES_PER_S: f64 = 6e9;

/// Deployment, options and seed from which a [`FakeWorld`] is built.
#[derive(Debug, Clone)]
pub struct WorldSetup {
    /// Failure domains, each with the number of instances in each of its fabric domains.
    pub domains: Vec<(String, Vec<u32>)>,
    /// Model services of the operator text; group numbers hold for each failure domain.
    pub services: Vec<ModelService>,
    /// The operator's weights of group downtime and of stranded accelerators.
    pub weights: PlannerWeights,
    /// Every n-th instance ignores fencing numbers; 0 for none.
    pub unchecked_interval: usize,
    /// Fabric domain whose instances ignore fencing numbers; `None` for none.
    pub unchecked_fabric: Option<String>,
    /// Number of controllers in each failure domain; one of them holds the lease.
    pub controllers: u32,
    /// Options of the group managers; tests switch off single protections with them.
    pub options: GroupOptions,
    /// Policy of the group managers, real or naive.
    pub policy: GroupPolicy,
    /// True when instances unload their shard on leaving a group.
    pub unloads_on_leave: bool,
    /// Seed of the message latencies and of the controllers' first ticks.
    pub seed: u64,
}

/// Creates a model service with the shard size in GB and the minimum and maximum number of groups
/// in each failure domain.
#[must_use]
pub fn service(
    name: &str,
    span: u32,
    shard_gb: u64,
    groups: (u32, u32),
    weight: f64,
) -> ModelService {
    ModelService {
        name: name.to_owned(),
        model: format!("{name}-weights"),
        span,
        weight_bytes: shard_gb * 1_000_000_000 * u64::from(span),
        min_groups: groups.0,
        max_groups: groups.1,
        weight,
        depends_on: Vec::new(),
    }
}

/// The deployment `consorzio`, whose operator gives much more weight to group downtime than to
/// stranded accelerators.
#[must_use]
pub fn consorzio(seed: u64) -> WorldSetup {
    WorldSetup {
        domains: failure_domains(["val-venosta", "val-isarco", "val-pusteria"]),
        services: vec![
            service("summaries", 8, 16, (1, 1), 2.0),
            service("tuning", 4, 10, (1, 2), 3.0),
            service("answers", 3, 8, (1, 2), 1.5),
            service("drafts", 2, 6, (0, 2), 0.5),
        ],
        weights: PlannerWeights {
            group_downtime: 10.0,
            stranded_accelerators: 0.1,
        },
        unchecked_fabric: Some("val-pusteria-fabric-1".to_owned()),
        ..default_setup(seed)
    }
}

/// The deployment `thirulipi`, whose operator gives ten times as much weight to stranded
/// accelerators as that of [`consorzio`].
#[must_use]
pub fn thirulipi(seed: u64) -> WorldSetup {
    WorldSetup {
        domains: failure_domains(["kochi", "thrissur", "kottayam"]),
        services: vec![
            service("layouts", 6, 12, (1, 2), 3.0),
            service("quotes", 4, 10, (1, 3), 2.0),
            service("spelling", 2, 6, (1, 6), 1.0),
            service("drafts", 3, 6, (0, 3), 0.5),
        ],
        weights: PlannerWeights {
            group_downtime: 2.0,
            stranded_accelerators: 1.0,
        },
        unchecked_fabric: Some("kottayam-fabric-1".to_owned()),
        ..default_setup(seed)
    }
}

fn failure_domains(names: [&str; 3]) -> Vec<(String, Vec<u32>)> {
    let sizes = [vec![10, 9], vec![9, 9], vec![9, 9]];
    names.into_iter().map(str::to_owned).zip(sizes).collect()
}

fn default_setup(seed: u64) -> WorldSetup {
    WorldSetup {
        domains: Vec::new(),
        services: Vec::new(),
        weights: PlannerWeights {
            group_downtime: 1.0,
            stranded_accelerators: 1.0,
        },
        unchecked_interval: 0,
        unchecked_fabric: None,
        controllers: 2,
        options: GroupOptions::default(),
        policy: GroupPolicy::default(),
        unloads_on_leave: false,
        seed,
    }
}

impl WorldSetup {
    /// Creates a setup with the failure domain `kochi`, the given number of instances in each of
    /// its fabric domains, and one service of span 4. All instances check fencing numbers.
    #[must_use]
    pub fn small(fabrics: &[u32]) -> Self {
        Self {
            domains: vec![("kochi".to_owned(), fabrics.to_vec())],
            services: vec![service("layouts", 4, 2, (1, 1), 1.0)],
            unchecked_interval: 0,
            ..default_setup(1)
        }
    }

    /// Creates the operator text of this setup.
    #[must_use]
    pub fn text(&self) -> OperatorText {
        let fabrics =
            |name: &str, count: usize| (0..count).map(|fabric| fabric_name(name, fabric)).collect();
        let domains = self.domains.iter().map(|(name, sizes)| FailureDomain {
            name: name.clone(),
            region: "one".to_owned(),
            fabric_domains: fabrics(name, sizes.len()),
        });
        OperatorText {
            deployment: "fake".to_owned(),
            planner: self.weights.clone(),
            failure_domains: domains.collect(),
            backend_servers: self.backend_servers(),
            model_services: self.services.clone(),
            plain_services: Vec::new(),
            request_kinds: Vec::new(),
            client_accounts: Vec::new(),
            drains: Vec::new(),
            objective: ServiceObjective { completion: 0.99 },
        }
    }

    fn backend_servers(&self) -> Vec<BackendServer> {
        let mut servers = Vec::new();
        for (name, sizes) in &self.domains {
            for (fabric, size) in sizes.iter().enumerate() {
                for number in 0..*size {
                    let index = servers.len();
                    servers.push(BackendServer {
                        instance: format!("{name}-{fabric}-{number}"),
                        address: address(index),
                        failure_domain: name.clone(),
                        fabric_domain: fabric_name(name, fabric),
                        accelerators: ACCELERATORS,
                        checks_fencing: self.unchecked_fabric.as_deref()
                            != Some(fabric_name(name, fabric).as_str())
                            && (self.unchecked_interval == 0
                                || (index + 1) % self.unchecked_interval != 0),
                    });
                }
            }
        }
        servers
    }

    /// Builds a world in which all instances are free and no controller holds the lease.
    #[must_use]
    pub fn build(&self) -> FakeWorld {
        let text = Arc::new(self.text());
        let instances = text.backend_servers.iter().map(|server| FakeInstance {
            name: server.instance.clone(),
            address: server.address,
            failure_domain: server.failure_domain.clone(),
            fabric_domain: server.fabric_domain.clone(),
            accelerators: server.accelerators,
            checks_fencing: server.checks_fencing,
            unloads_on_leave: self.unloads_on_leave,
            incarnation: 1,
            alive: true,
            paused_until: Duration::ZERO,
            membership: None,
            shard: None,
            bytes_left: 0,
            fencing: FencingNumber::default(),
            leaving: false,
            step_ms: 20.0,
            running: 0,
        });
        let instances = instances.collect();
        let mut nodes = Vec::new();
        for (domain, _) in &self.domains {
            for number in 0..self.controllers {
                let name = format!("controller-{domain}-{number}");
                nodes.push(FakeNode {
                    manager: GroupManager::new(domain, &name, self.options)
                        .with_policy(self.policy),
                    name,
                    failure_domain: domain.clone(),
                    paused_until: Duration::ZERO,
                    partitioned_until: Duration::ZERO,
                    order_delay: (Duration::ZERO, Duration::ZERO),
                    stopped: false,
                });
            }
        }
        let rng = ChaCha8Rng::seed_from_u64(self.seed);
        FakeWorld::new(&text, instances, nodes, STORE_BYTES_PER_S, rng)
    }
}

fn fabric_name(domain: &str, fabric: usize) -> String {
    format!("{domain}-fabric-{fabric}")
}

fn address(index: usize) -> SocketAddr {
    let port = 10_000 + u16::try_from(index % 50_000).unwrap_or(0);
    SocketAddr::from(([127, 0, 0, 1], port))
}
