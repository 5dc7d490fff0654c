use std::net::SocketAddr;

wire_type! {
    /// The operator's text: everything that the system serves and how.
    #[serde(deny_unknown_fields)]
    pub struct OperatorText {
        /// Name of the deployment.
        pub deployment: String,
        /// Weights of the planner's two costs.
        pub planner: PlannerWeights,
        /// Failure domains with their fabric domains.
        pub failure_domains: Vec<FailureDomain>,
        /// Backend servers, one per instance.
        pub backend_servers: Vec<BackendServer>,
        /// Services that replica groups run.
        pub model_services: Vec<ModelService>,
        /// Services that single backend servers run.
        pub plain_services: Vec<PlainService>,
        /// Request kinds with their weights and deadlines.
        pub request_kinds: Vec<RequestKind>,
        /// Client accounts with their limits.
        pub client_accounts: Vec<ClientAccount>,
        /// Instances under a planned drain.
        #[serde(default)]
        pub drains: Vec<String>,
        /// Objectives of the report on service-level burn.
        pub objective: ServiceObjective,
    }

    /// What the planner weighs, per second of each.
    #[serde(deny_unknown_fields)]
    pub struct PlannerWeights {
        /// Cost of a second in which a wanted group is down.
        pub group_downtime: f64,
        /// Cost of a second in which a healthy accelerator is in no serving group.
        pub stranded_accelerators: f64,
    }

    /// A failure domain.
    #[serde(deny_unknown_fields)]
    pub struct FailureDomain {
        /// Name.
        pub name: String,
        /// Region.
        pub region: String,
        /// Fabric domains in it.
        pub fabric_domains: Vec<String>,
    }

    /// A backend server and its instance.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// Name of the instance.
        pub instance: String,
        /// IP address and port.
        pub address: SocketAddr,
        /// Failure domain.
        pub failure_domain: String,
        /// Fabric domain.
        pub fabric_domain: String,
        /// Number of accelerators; 0 for a plain service.
        #[serde(default)]
        pub accelerators: u32,
        /// True when the backend server refuses orders with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
    }

    /// A service that replica groups run.
    #[serde(deny_unknown_fields)]
    pub struct ModelService {
        /// Name; callers name it as `model`.
        pub name: String,
        /// Weights in the weight store.
        pub model: String,
        /// Instances in a replica.
        pub span: u32,
        /// Bytes of all weights.
        pub weight_bytes: u64,
        /// Groups wanted in each failure domain; more are formed from free instances up to `max_groups`.
        pub min_groups: u32,
        /// Upper bound of groups in each failure domain.
        pub max_groups: u32,
        /// Value of a serving group relative to other services.
        pub weight: f64,
        /// Services that must be available for this one to be useful.
        #[serde(default)]
        pub depends_on: Vec<String>,
    }

    /// A service that single backend servers run.
    #[serde(deny_unknown_fields)]
    pub struct PlainService {
        /// Name; callers reach it under `/services/<name>/`.
        pub name: String,
        /// Instances that run it.
        pub instances: Vec<String>,
        /// Calls that may not be repeated; every other call may be.
        #[serde(default)]
        pub non_repeatable: Vec<PlainCall>,
        /// Services that must be available for this one to be useful.
        #[serde(default)]
        pub depends_on: Vec<String>,
    }

    /// A call of a plain service.
    #[serde(deny_unknown_fields)]
    #[derive(Eq)]
    pub struct PlainCall {
        /// HTTP method.
        pub method: String,
        /// Path prefix below `/services/<name>`.
        pub path: String,
    }

    /// A request kind, named by callers in `Request-Kind`.
    #[serde(deny_unknown_fields)]
    pub struct RequestKind {
        /// Name.
        pub name: String,
        /// Value of a completed request.
        pub weight: f64,
        /// Priority; lower numbers go first.
        pub priority: u8,
        /// Time to the first token or the whole plain answer, in milliseconds.
        pub deadline_ms: u64,
    }

    /// A client account with its limits over all gateways.
    #[serde(deny_unknown_fields)]
    pub struct ClientAccount {
        /// Name.
        pub name: String,
        /// Hexadecimal blake3 digest of the bearer key.
        pub key_digest: String,
        /// Requests per second.
        pub requests_per_s: f64,
        /// Prompt and generated tokens per second.
        pub tokens_per_s: f64,
        /// Requests in flight.
        pub concurrency: u32,
    }

    /// Objective for the error budget.
    #[serde(deny_unknown_fields)]
    pub struct ServiceObjective {
        /// Share of weighted requests that complete within their deadline, such as 0.99.
        pub completion: f64,
    }
}
