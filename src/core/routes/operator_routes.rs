use {crate::core::cold::ColdRule, smallvec::SmallVec, std::time::Duration};

value_type! {
    /// Whether a failed request of a route may be sent again.
    #[derive(Copy, Eq)]
    pub enum RouteKind {
        /// Requests may run more than once, so they may be retried after a failure.
        Idempotent,
        /// Requests may run at most once. They are retried only when a server did not run them.
        NonIdempotent,
        /// The answers are event streams.
        Stream {
            /// True when a broken stream may be resumed at another server.
            resumable: bool,
        },
    }

    /// Share of the requests of a route that goes to one service.
    #[derive(Eq)]
    pub struct RouteSplit {
        /// Name of the service.
        pub service: String,
        /// Weight relative to the sum over all splits of the route.
        pub weight: u32,
    }

    /// A route as configured by the operator.
    pub struct RouteRule {
        /// Name of the route, for log lines and for figures that are kept per route.
        pub name: String,
        /// Host name of the requests, in lower case and without a port.
        pub host: String,
        /// Prefix of the request paths; begins and ends with a slash. The longest prefix wins.
        pub prefix: String,
        /// Whether failed requests may be sent again.
        pub kind: RouteKind,
        /// Upper bound of the deadline of a request, counted from its arrival. A caller may set a
        /// shorter one.
        pub timeout: Duration,
        /// Latency objective: time from the arrival to the answer or, for streams, to the first
        /// event.
        pub objective: Duration,
        /// Objective for the longest pause between two events of a stream; none without one. Not
        /// used by the node so far.
        pub pause_objective: Option<Duration>,
        /// Priority of the requests unless their account has one; 0 is the most urgent.
        pub priority: u32,
        /// Services among which the requests are split at random by weight.
        pub splits: SmallVec<[RouteSplit; 2]>,
        /// Largest number of servers that one request may run at. Attempts that a server did not
        /// run do not count, nor do streams at servers that are gone.
        pub max_attempts: u32,
        /// True when requests need no API key.
        pub public: bool,
    }

    /// Size and speed figures of a model that replica groups serve.
    pub struct ModelProfile {
        /// Name of the model, as requests name it.
        pub name: String,
        /// Number of members of a replica group.
        pub size: usize,
        /// Expected share of the work, used until enough work is observed.
        pub share: f64,
        /// Factor of this model on all times of the engine; 1 leaves them as they are.
        pub pace: f64,
        /// Time to load the weights from the weight store.
        pub load: Duration,
        /// Time to load the weights when they are stored on the host already.
        pub warm: Duration,
    }

    /// Speed and capacity figures that are common to the engines of a service.
    pub struct EngineProfile {
        /// Number of requests that a replica group can run at once.
        pub slots: u32,
        /// Milliseconds of a decode step without any running request.
        pub step_ms: f64,
        /// Milliseconds that each running request adds to a decode step.
        pub per_sequence_ms: f64,
        /// Milliseconds that 1,000 tokens of context of a running request add to a decode step.
        pub context_ms_per_kilotoken: f64,
        /// Prefill speed in prompt tokens per second, without the share that grows with the square
        /// of the prompt size.
        pub prefill_per_s: f64,
        /// Prefill time in milliseconds per million pairs of a prompt token with an earlier one.
        pub pair_ms_per_million: f64,
        /// Number of decode steps in one pass.
        pub stride: u32,
        /// Number of weight loads that may start per second, over all servers.
        pub loads_per_s: f64,
        /// Number of weight loads that can run at the same time at full speed, over all servers.
        pub loads_at_once: u32,
        /// Time from the order to open a group until the group accepts requests.
        pub form: Duration,
        /// Models that the engines of the service can serve.
        pub models: Vec<ModelProfile>,
    }

    /// A service as configured by the operator.
    pub struct ServiceRule {
        /// Name of the service, as routes and backend servers name it.
        pub name: String,
        /// Number of connections that one server accepts from all its clients together. Not used by
        /// the node so far.
        pub max_connections: u32,
        /// Figures of the model engines; none for plain services.
        pub engine: Option<EngineProfile>,
        /// How its servers behave while they are cold; by default they tolerate any rate.
        pub cold: ColdRule,
    }

    /// A client account.
    #[derive(Eq)]
    pub struct AccountRule {
        /// Name of the account, as sent to backend servers and written to the log.
        pub name: String,
        /// API keys that identify callers of the account.
        pub keys: Vec<String>,
        /// Priority that takes precedence over that of the route; 0 is the most urgent. None leaves
        /// the priority to the route.
        pub priority: Option<u32>,
    }

    /// Limits for the requests and connections of callers. The node applies only `body_bytes` so
    /// far.
    #[derive(Copy, Eq)]
    pub struct CallerLimits {
        /// Largest size of a request head in bytes.
        pub head_bytes: usize,
        /// Largest size of a request body in bytes.
        pub body_bytes: usize,
        /// Longest time to wait for a complete request head.
        pub head_timeout: Duration,
        /// Longest time for which a connection may be idle.
        pub idle_timeout: Duration,
    }

    /// One version of the operator's routes, services and accounts.
    pub struct OperatorRoutes {
        /// Version of the configuration. A process never goes back to a lower one.
        pub version: u64,
        /// Routes in the order of the configuration.
        pub routes: Vec<RouteRule>,
        /// Services in the order of the configuration.
        pub services: Vec<ServiceRule>,
        /// Client accounts. While the list is empty, no request needs an API key.
        pub accounts: Vec<AccountRule>,
        /// Limits that apply to all callers.
        pub limits: CallerLimits,
    }
}

impl EngineProfile {
    /// Finds a model by name; none when the engines do not serve it.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelProfile> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Milliseconds of one pass with `running` decoding requests of `context_k` thousand tokens of
    /// context each, for a model of pace 1.
    #[must_use]
    pub fn pass_ms(&self, running: u32, context_k: f64) -> f64 {
        let per_request = self.per_sequence_ms + self.context_ms_per_kilotoken * context_k;
        f64::from(self.stride) * (self.step_ms + per_request * f64::from(running))
    }

    /// Milliseconds of the prefill of a prompt of `tokens` tokens, for a model of pace 1.
    #[must_use]
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        let linear = 1_000.0 * tokens / self.prefill_per_s.max(1.0);
        linear + self.pair_ms_per_million * tokens * tokens / 2.0 / 1_000_000.0
    }
}
