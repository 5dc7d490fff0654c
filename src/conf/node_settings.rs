use {
    super::{ConfFault, FaultList, Result, text_reader::read_file},
    serde::Deserialize,
    std::{net::SocketAddr, path::Path, time::Duration},
};

const DEFAULT_STOP_GRACE_S: f64 = 8.0;
const DEFAULT_DESCRIPTORS: u64 = 4_096;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_EXTRA: f64 = 10.0;
const DEFAULT_RETRY_WINDOW_S: f64 = 10.0;

value_type! {
    /// Bounds that the deployment promises to keep; a deployment may leave any out.
    #[derive(Deserialize)]
    pub struct NodeBounds {
        /// Time from SIGTERM to SIGKILL, in seconds; 8 unless given.
        pub stop_grace_s: Option<f64>,
        /// Retries permitted for each fresh request of a service; 0.1 unless given.
        pub retry_ratio: Option<f64>,
        /// Retries permitted besides, over all gateways; 10 unless given.
        pub retry_extra: Option<f64>,
        /// Window of the two figures above, in seconds; 10 unless given.
        pub retry_window_s: Option<f64>,
    }

    /// Settings of a node: a gateway and a controller in one process.
    #[derive(Deserialize)]
    pub struct NodeSettings {
        /// Process name, unique in the deployment.
        pub name: String,
        /// Failure domain.
        pub failure_domain: String,
        /// All failure domains.
        pub failure_domains: Vec<String>,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address for the readiness check.
        pub ready_listen: SocketAddr,
        /// Address for the exchange between processes, UDP and TCP.
        pub peer_listen: SocketAddr,
        /// Address for metrics; its port is set by the deploy file.
        pub metrics_listen: SocketAddr,
        /// Peer addresses known at the start.
        #[serde(default)]
        pub peers: Vec<SocketAddr>,
        /// Address of the store.
        pub store: SocketAddr,
        /// True only when the whole deployment starts for the first time.
        pub first_start: Option<bool>,
        /// Share of a core that the process has, for the log.
        pub cpu_share: Option<f64>,
        /// Memory limit in megabytes, for the log.
        pub memory_mb: Option<u64>,
        /// Limit of open descriptors; 4,096 unless given.
        pub descriptors: Option<u64>,
        /// Bounds.
        pub bounds: NodeBounds,
    }
}

impl NodeSettings {
    /// Time from SIGTERM to SIGKILL.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        let seconds = self.bounds.stop_grace_s.unwrap_or(DEFAULT_STOP_GRACE_S);
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Limit of open descriptors.
    #[must_use]
    pub fn descriptor_limit(&self) -> u64 {
        self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS)
    }

    /// Retries permitted for each fresh request, retries permitted besides, and
    /// the window of both.
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
/// The faults found.
pub fn read_node_settings(path: &Path) -> Result<NodeSettings> {
    parse_node_settings(&read_file(path)?)
}

/// Decodes and checks the settings of a node.
///
/// # Errors
/// The faults found.
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
                .and_then(|whole| find_value(&whole, &path))
                .unwrap_or_else(|| "no such value".to_owned());
            FaultList(vec![ConfFault::new(path, value, error.inner().to_string())])
        })?;
    let faults = check_node(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(FaultList(faults))
}

/// Text of the value at a path of field names.
fn find_value(whole: &serde_json::Value, path: &str) -> Option<String> {
    let mut value = whole;
    for name in path.split('.') {
        value = value.get(name)?;
    }
    Some(value.to_string())
}

fn check_node(settings: &NodeSettings) -> Vec<ConfFault> {
    let mut faults = Vec::new();
    let mut expect = |holds: bool, path: &str, value: String, rule: &str| {
        if !holds {
            faults.push(ConfFault::new(path, value, rule));
        }
    };
    let bounds = &settings.bounds;
    expect(
        !settings.name.is_empty(),
        "name",
        String::new(),
        "must not be empty",
    );
    let domain = &settings.failure_domain;
    let rule = "must be one of failure_domains";
    let known = settings.failure_domains.contains(domain);
    expect(known, "failure_domain", domain.clone(), rule);
    let ranges = [
        ("bounds.stop_grace_s", bounds.stop_grace_s, 1.0, 3_600.0),
        ("bounds.retry_ratio", bounds.retry_ratio, 0.0, 10.0),
        ("bounds.retry_extra", bounds.retry_extra, 0.0, 1_000_000.0),
        ("bounds.retry_window_s", bounds.retry_window_s, 0.1, 3_600.0),
    ];
    for (path, value, low, high) in ranges {
        let Some(value) = value else {
            continue;
        };
        let rule = format!("must be from {low} to {high}");
        expect(
            (low..=high).contains(&value),
            path,
            value.to_string(),
            &rule,
        );
    }
    faults
}
