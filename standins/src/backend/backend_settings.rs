use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Settings of a process that runs many backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Platform whose weight store is read; without it `load_bytes_per_s` applies.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Load rate of each server without a platform, in bytes per second.
    #[serde(default = "default_load_rate")]
    pub load_bytes_per_s: f64,
    /// Address for fault commands and the run list; it answers while servers are dead.
    #[serde(default = "any_port")]
    pub control: SocketAddr,
    /// The servers.
    pub servers: Vec<ServerSettings>,
}

/// Settings of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    /// Name of the instance.
    pub instance: String,
    /// Address; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Failure domain, sent with calls to the platform.
    #[serde(default)]
    pub failure_domain: String,
    /// True when orders with an old fencing number are refused.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Names of plain services.
    #[serde(default)]
    pub services: Vec<String>,
    /// Rates and limits.
    #[serde(default)]
    pub engine: EngineSettings,
}

/// Rates and limits of an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Largest batch.
    pub max_running: u32,
    /// Largest number of requests that wait for a place in the batch.
    pub max_waiting: u32,
    /// Time of one decode step in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens prefilled per second; one token is four bytes of the messages.
    pub prefill_tokens_per_s: f64,
    /// Age that a load report may have, in milliseconds.
    pub report_lag_ms: u64,
    /// Duration of a plain call in milliseconds.
    pub plain_ms: u64,
    /// Time from a crash of the engine to its restart, in milliseconds.
    pub restart_ms: u64,
    /// See [`super::BackendFault::CrashMarker`].
    pub crash_marker: Option<String>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            max_running: 32,
            max_waiting: 256,
            step_ms: 20.0,
            prefill_tokens_per_s: 20_000.0,
            report_lag_ms: 250,
            plain_ms: 5,
            restart_ms: 1_000,
            crash_marker: None,
        }
    }
}

const fn default_load_rate() -> f64 {
    1e9
}

fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
