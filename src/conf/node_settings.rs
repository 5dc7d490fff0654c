use {
    super::{ConfigFault, FaultList, Result, text_reader::read_file},
    crate::core::{
        cold::ColdBound,
        intake::{ConnectionLimits, DEFAULT_MEMORY_MB, IntakeLimits},
    },
    serde::Deserialize,
    std::{net::SocketAddr, path::Path, time::Duration},
};

const DEFAULT_STOP_GRACE_S: f64 = 8.0;
const DEFAULT_DESCRIPTOR_LIMIT: u64 = 4_096;
const DEFAULT_LINK_MBPS: f64 = 100.0;
/// File descriptors reserved for connections to backend servers and peers, and for files.
const RESERVED_DESCRIPTORS: u64 = 1_200;
/// Shortest default of the time without a byte of a body.
const MIN_BODY_IDLE: Duration = Duration::from_secs(30);
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;

value_type! {
    /// Bounds that the node has to keep. A deployment may leave any of them out.
    #[derive(Deserialize)]
    pub struct NodeBounds {
        /// Time from SIGTERM to SIGKILL in seconds, from 1 to 3,600; 8 if left out.
        pub stop_grace_s: Option<f64>,
        /// Retries permitted for each original request of a service within the window; 0.1 if left
        /// out.
        pub retry_ratio: Option<f64>,
        /// Retries of a service permitted in addition within the window, by all gateways together;
        /// 10 if left out.
        pub retry_extra: Option<f64>,
        /// Length of the window for both retry bounds, in seconds; 10 if left out.
        pub retry_window_s: Option<f64>,
        /// Factor on the rate that a cold server tolerates, from 0 to 1,000; 1 if left out. With
        /// `cold_tolerance` it bounds the requests of all gateways to a cold server in any second.
        pub cold_overage: Option<f64>,
        /// Requests permitted in addition in any second, from 0 to 1,000,000; 0 if left out.
        pub cold_tolerance: Option<f64>,
        /// Time in milliseconds after the beginning of a drain from which on no request may reach
        /// the failure domain, from 1,000 to 3,600,000. Without it a node that was suspended does not
        /// wait for news of drains before it sends requests.
        pub drain_ms: Option<f64>,
    }

    /// Settings of a node: a gateway and a controller in one process.
    #[derive(Deserialize)]
    pub struct NodeSettings {
        /// Process name, unique in the deployment.
        pub name: String,
        /// Failure domain in which the node runs; one of `failure_domains`.
        pub failure_domain: String,
        /// All failure domains of the deployment.
        pub failure_domains: Vec<String>,
        /// Address at which callers are served.
        pub listen: SocketAddr,
        /// Address of the readiness check.
        pub ready_listen: SocketAddr,
        /// Address for the exchange between nodes, over UDP and TCP.
        pub peer_listen: SocketAddr,
        /// Address at which metrics can be scraped; the deploy file sets its port.
        pub metrics_listen: SocketAddr,
        /// Addresses of some peers known at the start.
        #[serde(default)]
        pub peers: Vec<SocketAddr>,
        /// Address of the store. The key of the exchange between nodes is derived from it, so all
        /// nodes of a deployment must give the same one.
        pub store: SocketAddr,
        /// True only when the whole deployment starts for the first time; false if left out.
        pub first_start: Option<bool>,
        /// Share of a CPU core that the process may use; only written to the log.
        pub cpu_share: Option<f64>,
        /// Memory limit in MiB; 160 if left out. Connections get three eighths of it, buffered
        /// responses and large request bodies an eighth each, and small responses and small requests
        /// a 32nd each.
        pub memory_mb: Option<u64>,
        /// Budget for request bodies above 32 KiB in MiB, from 1 to a half of `memory_mb`; an
        /// eighth of it if left out.
        pub request_memory_mb: Option<u64>,
        /// Time in seconds without a byte after which an unfinished request body is rejected, from
        /// 0.1 to 3,600. If left out, twice the idle time of the configuration, at least 30.
        pub body_idle_s: Option<f64>,
        /// Maximum number of open file descriptors; 4,096 if left out. It bounds the connections of
        /// callers.
        pub descriptors: Option<u64>,
        /// Bandwidth of the instance's link in Mbit/s, from 0.1 to 1,000,000; 100 if left out. It
        /// bounds the transfers to other nodes.
        pub link_mbps: Option<f64>,
        /// True when groups that have just opened or recovered get requests at a bounded pace; false
        /// if left out.
        pub recovery_pace: Option<bool>,
        /// True when client accounts get even shares of a capacity that is short; false if left
        /// out.
        pub account_shares: Option<bool>,
        /// True when the gateways divide the free slots of groups that are almost full; false if
        /// left out.
        pub slot_division: Option<bool>,
        /// Bounds for stopping, retries, cold servers and drains.
        pub bounds: NodeBounds,
    }
}

impl NodeSettings {
    /// Time from SIGTERM to SIGKILL, with the default if left out.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        let seconds = self.bounds.stop_grace_s.unwrap_or(DEFAULT_STOP_GRACE_S);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Maximum number of open file descriptors, with the default if left out.
    #[must_use]
    pub fn descriptor_limit(&self) -> u64 {
        self.descriptors.unwrap_or(DEFAULT_DESCRIPTOR_LIMIT)
    }

    /// Limits for the memory of requests, with the defaults for what is left out.
    #[must_use]
    pub fn intake_limits(&self) -> IntakeLimits {
        IntakeLimits::for_memory(self.memory_mb, self.request_memory_mb)
    }

    /// Limits for the connections of callers: the descriptors beside those that the node needs
    /// itself, and a part of the memory.
    #[must_use]
    pub fn connection_limits(&self) -> ConnectionLimits {
        let descriptors = self.descriptor_limit();
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let connections = usize::try_from(connections).unwrap_or(usize::MAX);
        ConnectionLimits::for_memory(self.memory_mb, connections)
    }

    /// Time without a byte after which an unfinished request body is rejected. `idle` is the time
    /// for which the configuration permits a connection to be idle.
    #[must_use]
    pub fn body_idle(&self, idle: Duration) -> Duration {
        match self.body_idle_s {
            Some(seconds) => Duration::try_from_secs_f64(seconds).unwrap_or_default(),
            None => (idle * 2).max(MIN_BODY_IDLE),
        }
    }

    /// Whether client accounts get even shares of a capacity that is short; not by default.
    #[must_use]
    pub fn account_shares(&self) -> bool {
        self.account_shares.unwrap_or(false)
    }

    /// Bandwidth of the link in Mbit/s, with the default if left out.
    #[must_use]
    pub fn link_mbps(&self) -> f64 {
        self.link_mbps.unwrap_or(DEFAULT_LINK_MBPS)
    }

    /// Time after the beginning of a drain from which on no request may reach the failure domain;
    /// none when the deployment has no such bound.
    #[must_use]
    pub fn drain_bound(&self) -> Option<Duration> {
        let millis = self.bounds.drain_ms?;
        Duration::try_from_secs_f64(millis / 1_000.0).ok()
    }

    /// Retries permitted for each original request, retries permitted in addition, and the window
    /// for both, with the defaults for what is left out.
    #[must_use]
    pub fn retry_bounds(&self) -> (f64, f64, Duration) {
        let bounds = &self.bounds;
        let window = bounds.retry_window_s.unwrap_or(DEFAULT_RETRY_WINDOW_S);
        (
            bounds.retry_ratio.unwrap_or(DEFAULT_RETRY_RATIO),
            bounds.retry_extra.unwrap_or(DEFAULT_RETRY_EXTRA),
            Duration::try_from_secs_f64(window).unwrap_or_default(),
        )
    }
}

impl NodeBounds {
    /// Bound on the requests to a cold server, with the defaults for what is left out.
    #[must_use]
    pub fn cold_bound(&self) -> ColdBound {
        let default = ColdBound::default();
        ColdBound {
            overage: self.cold_overage.unwrap_or(default.overage),
            tolerance: self.cold_tolerance.unwrap_or(default.tolerance),
        }
    }
}

/// Reads and checks the settings of a node; unknown fields are ignored.
///
/// # Errors
/// Returns the first fault of decoding, or all broken rules.
pub fn read_node_settings(path: &Path) -> Result<NodeSettings> {
    parse_node_settings(&read_file(path)?)
}

/// Decodes and checks the settings of a node.
///
/// # Errors
/// Returns the first fault of decoding, or all broken rules.
///
/// ```
/// let faults = toucanring::conf::parse_node_settings(r#"{"name": 7}"#).unwrap_err();
/// assert_eq!(faults.0[0].path, "name");
/// ```
pub fn parse_node_settings(text: &str) -> Result<NodeSettings> {
    let mut decoder = serde_json::Deserializer::from_str(text);
    let settings: NodeSettings =
        serde_path_to_error::deserialize(&mut decoder).map_err(|error| {
            let path = error.path().to_string();
            let value = serde_json::from_str::<serde_json::Value>(text)
                .ok()
                .and_then(|document| find_value(&document, &path))
                .unwrap_or_else(|| "no such value".to_owned());
            FaultList(vec![ConfigFault::new(
                path,
                value,
                error.inner().to_string(),
            )])
        })?;
    let faults = check_node(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(FaultList(faults))
}

/// JSON of the value at a path of field names joined by dots.
fn find_value(document: &serde_json::Value, path: &str) -> Option<String> {
    let mut value = document;
    for name in path.split('.') {
        value = value.get(name)?;
    }
    Some(value.to_string())
}

fn check_node(settings: &NodeSettings) -> Vec<ConfigFault> {
    let mut faults = Vec::new();
    let mut require = |holds: bool, path: &str, value: String, rule: &str| {
        if !holds {
            faults.push(ConfigFault::new(path, value, rule));
        }
    };
    let bounds = &settings.bounds;
    require(
        !settings.name.is_empty(),
        "name",
        String::new(),
        "must not be empty",
    );
    let domain = &settings.failure_domain;
    let rule = "must be one of failure_domains";
    let known = settings.failure_domains.contains(domain);
    require(known, "failure_domain", domain.clone(), rule);
    let memory_mb = settings.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    if let Some(request_mb) = settings.request_memory_mb {
        let holds = (1..=memory_mb / 2).contains(&request_mb);
        let rule = format!("must be from 1 to {}, a half of memory_mb", memory_mb / 2);
        require(holds, "request_memory_mb", request_mb.to_string(), &rule);
    }
    let ranges = [
        ("body_idle_s", settings.body_idle_s, 0.1, 3_600.0),
        ("link_mbps", settings.link_mbps, 0.1, 1_000_000.0),
        ("bounds.stop_grace_s", bounds.stop_grace_s, 1.0, 3_600.0),
        ("bounds.retry_ratio", bounds.retry_ratio, 0.0, 10.0),
        ("bounds.retry_extra", bounds.retry_extra, 0.0, 1_000_000.0),
        ("bounds.retry_window_s", bounds.retry_window_s, 0.1, 3_600.0),
        ("bounds.cold_overage", bounds.cold_overage, 0.0, 1_000.0),
        (
            "bounds.cold_tolerance",
            bounds.cold_tolerance,
            0.0,
            1_000_000.0,
        ),
        ("bounds.drain_ms", bounds.drain_ms, 1_000.0, 3_600_000.0),
    ];
    for (path, value, min, max) in ranges {
        let Some(value) = value else {
            continue;
        };
        let rule = format!("must be from {min} to {max}");
        require((min..=max).contains(&value), path, value.to_string(), &rule);
    }
    faults
}
