use std::net::SocketAddr;

wire_type! {
    /// Operator text: the configuration that the operator applies to the whole deployment. It says
    /// what the deployment serves, where, and for whom.
    #[serde(deny_unknown_fields)]
    pub struct OperatorText {
        /// Name of the deployment, chosen by the operator.
        pub deployment: String,
        /// Weights of the two costs that the group planner trades off.
        pub planner: PlannerWeights,
        /// Failure domains with their fabric domains; at least one.
        pub failure_domains: Vec<FailureDomain>,
        /// Backend servers, one per instance.
        pub backend_servers: Vec<BackendServer>,
        /// Services run by replica groups.
        pub model_services: Vec<ModelService>,
        /// Services run by single backend servers.
        pub plain_services: Vec<PlainService>,
        /// Request kinds with their weights, priorities and deadlines; at least one.
        pub request_kinds: Vec<RequestKind>,
        /// Client accounts with their keys and limits.
        pub client_accounts: Vec<ClientAccount>,
        /// Names of the instances under a planned drain; `toucanctl drain` edits them.
        #[serde(default)]
        pub drains: Vec<String>,
        /// Objective that the error budget of the burn report follows from.
        pub objective: ServiceObjective,
    }

    /// Weights of the group planner's costs, each per second.
    #[serde(deny_unknown_fields)]
    pub struct PlannerWeights {
        /// Cost of each second in which a wanted group is down, for a service of weight 1.
        pub group_downtime: f64,
        /// Cost of each second in which a healthy accelerator is in no serving group.
        pub stranded_accelerators: f64,
    }

    /// Part of the deployment that can fail as a whole. A replica group lies in one failure domain.
    #[serde(deny_unknown_fields)]
    pub struct FailureDomain {
        /// Name, unique in the deployment.
        pub name: String,
        /// Region in which the failure domain lies; nothing in this crate acts on it.
        pub region: String,
        /// Names of its fabric domains, unique in the deployment; at least one.
        pub fabric_domains: Vec<String>,
    }

    /// Backend server and the instance on which it runs.
    #[serde(deny_unknown_fields)]
    pub struct BackendServer {
        /// Name of the instance, unique in the deployment.
        pub instance: String,
        /// IP address and port at which the backend server takes requests.
        pub address: SocketAddr,
        /// Name of the failure domain in which the instance runs.
        pub failure_domain: String,
        /// Name of its fabric domain, which must belong to the failure domain.
        pub fabric_domain: String,
        /// Number of accelerators, up to 64; 0 if the instance runs plain services.
        #[serde(default)]
        pub accelerators: u32,
        /// True when the backend server refuses orders with a lower fencing number than it accepted
        /// before.
        #[serde(default)]
        pub checks_fencing: bool,
    }

    /// Service run by replica groups.
    #[serde(deny_unknown_fields)]
    pub struct ModelService {
        /// Name, unique among all services; callers give it as `model`.
        pub name: String,
        /// Name of the weights in the weight store.
        pub model: String,
        /// Number of instances in a replica group.
        pub span: u32,
        /// Size of all weights in bytes; each member of a group loads an equal part.
        pub weight_bytes: u64,
        /// Number of groups wanted in each failure domain. More are formed from free instances, up
        /// to `max_groups`.
        pub min_groups: u32,
        /// Maximum number of groups in each failure domain.
        pub max_groups: u32,
        /// Value of a serving group relative to those of other services; above 0.
        pub weight: f64,
        /// Services that must be available for this one to be useful.
        #[serde(default)]
        pub depends_on: Vec<String>,
    }

    /// Service run by single backend servers.
    #[serde(deny_unknown_fields)]
    pub struct PlainService {
        /// Name, unique among all services; callers reach it under `/services/<name>/`.
        pub name: String,
        /// Names of the instances that run the service; they must have no accelerators.
        pub instances: Vec<String>,
        /// Calls that must not be sent to a backend server twice; every other call may be retried.
        #[serde(default)]
        pub non_repeatable: Vec<CallPattern>,
        /// Services that must be available for this one to be useful.
        #[serde(default)]
        pub depends_on: Vec<String>,
    }

    /// Pattern for calls of a plain service; a call matches if it has the method and the prefix.
    #[serde(deny_unknown_fields)]
    #[derive(Eq)]
    pub struct CallPattern {
        /// HTTP method in upper case.
        pub method: String,
        /// Prefix of the path below `/services/<name>`; starts with a slash.
        pub path: String,
    }

    /// Kind of request, which callers give in the header `Request-Kind`.
    #[serde(deny_unknown_fields)]
    pub struct RequestKind {
        /// Name, unique among the request kinds.
        pub name: String,
        /// Value of a completed request relative to those of other kinds; above 0.
        pub weight: f64,
        /// Priority; requests with lower numbers leave the queue first.
        pub priority: u8,
        /// Time in milliseconds until the first token, or until the whole response of a plain
        /// service, unless the caller gives `Request-Timeout-Ms`.
        pub deadline_ms: u64,
    }

    /// Client account. Its limits hold for all gateways together.
    #[serde(deny_unknown_fields)]
    pub struct ClientAccount {
        /// Name, unique among the client accounts.
        pub name: String,
        /// Hexadecimal blake3 digest of the account's bearer key, as printed by `toucanctl
        /// key-digest`.
        pub key_digest: String,
        /// Maximum number of requests per second.
        pub requests_per_s: f64,
        /// Maximum number of prompt and generated tokens per second.
        pub tokens_per_s: f64,
        /// Maximum number of requests in flight.
        pub concurrency: u32,
    }

    /// Service-level objective; what it leaves out is the error budget.
    #[serde(deny_unknown_fields)]
    pub struct ServiceObjective {
        /// Share of the requests, by weight, that should complete within their deadline; above 0
        /// and below 1, such as 0.99.
        pub completion: f64,
    }
}
