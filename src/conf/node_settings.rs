use {
    super::{ConfigFault, FaultList, Result, text_reader::read_file},
    serde::Deserialize,
    std::{net::SocketAddr, path::Path, time::Duration},
};

const DEFAULT_STOP_GRACE_S: f64 = 8.0;
const DEFAULT_DESCRIPTOR_LIMIT: u64 = 4_096;
const DEFAULT_LINK_MBPS: f64 = 100.0;
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
        /// Memory limit in MiB, 160 if left out. An eighth of it is the budget for buffered
        /// responses; it is also written to the log.
        pub memory_mb: Option<u64>,
        /// Maximum number of open file descriptors; 4,096 if left out. It bounds the connections of
        /// callers.
        pub descriptors: Option<u64>,
        /// Bandwidth of the instance's link in Mbit/s, from 0.1 to 1,000,000; 100 if left out. It
        /// bounds the transfers to other nodes.
        pub link_mbps: Option<f64>,
        /// True when client accounts get even shares of a capacity that is short; false if left
        /// out.
        pub account_shares: Option<bool>,
        /// Bounds for stopping and for retries.
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
    let ranges = [
        ("link_mbps", settings.link_mbps, 0.1, 1_000_000.0),
        ("bounds.stop_grace_s", bounds.stop_grace_s, 1.0, 3_600.0),
        ("bounds.retry_ratio", bounds.retry_ratio, 0.0, 10.0),
        ("bounds.retry_extra", bounds.retry_extra, 0.0, 1_000_000.0),
        ("bounds.retry_window_s", bounds.retry_window_s, 0.1, 3_600.0),
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
