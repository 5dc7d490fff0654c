use {smallvec::SmallVec, std::time::Duration};

value_type! {
    /// What may be repeated on a route.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// Requests may run more than once.
        Idempotent,
        /// Requests may run at most once.
        NonIdempotent,
        /// Answers are event streams.
        Stream {
            /// True when a stream may be resumed at another server.
            resumable: bool,
        },
    }

    /// Share of a route that goes to a service.
    #[derive(Eq)]
    pub struct RouteSplit {
        /// Service name.
        pub service: String,
        /// Weight among the shares of the route.
        pub weight: u32,
    }

    /// A route of the operator.
    pub struct RouteRule {
        /// Name in logs.
        pub name: String,
        /// Host that it belongs to, in lower case.
        pub host: String,
        /// Beginning of the paths that it takes; begins and ends with a slash.
        pub prefix: String,
        /// What may be repeated.
        pub kind: RouteKind,
        /// Longest time that a request is kept waiting.
        pub timeout: Duration,
        /// Time to the answer, or to the first event, for full credit.
        pub objective: Duration,
        /// Longest pause between events for full credit.
        pub pause_objective: Option<Duration>,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
        /// Services that share the route.
        pub splits: SmallVec<[RouteSplit; 2]>,
        /// Most servers that one request may be sent to.
        pub max_attempts: u32,
        /// True when no key is needed.
        pub public: bool,
    }

    /// A model that replica groups serve.
    pub struct ModelShape {
        /// Model name.
        pub name: String,
        /// Members of a group.
        pub size: usize,
        /// Share of the work before any is observed.
        pub share: f64,
        /// Factor on all times of the engine.
        pub pace: f64,
        /// Time of a load from the weight store.
        pub load: Duration,
        /// Time of a load from the host.
        pub warm: Duration,
    }

    /// Figures of a service's engines.
    pub struct EngineShape {
        /// Requests that a group runs at once.
        pub slots: u32,
        /// Milliseconds of a decode step.
        pub step_ms: f64,
        /// Milliseconds that each running request adds to a step.
        pub per_sequence_ms: f64,
        /// Milliseconds that 1,000 tokens of context of a running request add to a step.
        pub context_ms_per_k: f64,
        /// Prompt tokens read per second.
        pub prefill_per_s: f64,
        /// Milliseconds per million pairs of a token with an earlier one.
        pub pairs_ms_per_m: f64,
        /// Decode steps of one pass.
        pub stride: u32,
        /// Loads that may start per second over all servers.
        pub loads_per_s: f64,
        /// Loads that run at full speed at once.
        pub loads_at_once: u32,
        /// Time from the order to open a group until it serves.
        pub form: Duration,
        /// The models.
        pub models: Vec<ModelShape>,
    }

    /// A service of the operator.
    pub struct ServiceRule {
        /// Service name.
        pub name: String,
        /// Connections that one server accepts from all callers together.
        pub max_connections: u32,
        /// Set for services of model engines.
        pub engine: Option<EngineShape>,
    }

    /// A client account.
    #[derive(Eq)]
    pub struct AccountRule {
        /// Account name.
        pub name: String,
        /// Keys that identify it.
        pub keys: Vec<String>,
        /// Rank that takes precedence over that of the route.
        pub priority: Option<u32>,
    }

    /// What callers may send.
    #[derive(Copy, Eq)]
    pub struct CallerLimits {
        /// Largest head in bytes.
        pub head_bytes: usize,
        /// Largest body in bytes.
        pub body_bytes: usize,
        /// Longest wait for a head.
        pub head_timeout: Duration,
        /// Longest idle time of a connection.
        pub idle_timeout: Duration,
    }

    /// The operator's routes, services and accounts in one version.
    pub struct OperatorRoutes {
        /// Version; a process never goes back.
        pub version: u64,
        /// Routes.
        pub routes: Vec<RouteRule>,
        /// Services.
        pub services: Vec<ServiceRule>,
        /// Client accounts; without any, no key is needed.
        pub accounts: Vec<AccountRule>,
        /// Limits for callers.
        pub limits: CallerLimits,
    }
}

impl EngineShape {
    /// The model of this name.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelShape> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Milliseconds of one pass with `running` requests that write, for a model of pace 1.
    #[must_use]
    pub fn pass_ms(&self, running: u32, context_k: f64) -> f64 {
        let per_request = self.per_sequence_ms + self.context_ms_per_k * context_k;
        f64::from(self.stride) * (self.step_ms + per_request * f64::from(running))
    }

    /// Milliseconds that a prompt of `tokens` takes to be read, for a model of pace 1.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        let linear = 1_000.0 * tokens / self.prefill_per_s.max(1.0);
        linear + self.pairs_ms_per_m * tokens * tokens / 2.0 / 1_000_000.0
    }
}
