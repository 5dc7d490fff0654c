use {
    serde::{Deserialize, Serialize},
    std::net::{Ipv4Addr, SocketAddr},
};

/// Settings of a process that runs many backend servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Platform whose weight store is read; without it, shards load at `load_bytes_per_s`.
    #[serde(default)]
    pub platform: Option<SocketAddr>,
    /// Bytes per second that each server loads without a platform; unused with one.
    #[serde(default = "default_load_rate")]
    pub load_bytes_per_s: f64,
    /// Address for fault commands and the run list; it responds even while servers are down.
    #[serde(default = "any_port")]
    pub control: SocketAddr,
    /// Servers that the process runs, each on its own port.
    pub servers: Vec<ServerSettings>,
}

/// Settings of one backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerSettings {
    /// Name of the instance, as in the platform's instance list.
    pub instance: String,
    /// Address that the server listens on; port 0 takes a free one.
    #[serde(default = "any_port")]
    pub listen: SocketAddr,
    /// Failure domain, sent with reads of weights; the platform's partition fault names it.
    #[serde(default)]
    pub failure_domain: String,
    /// True when the server refuses orders whose fencing number is below the highest it accepted.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Names of the plain services that the server runs; other names get a 404.
    #[serde(default)]
    pub services: Vec<String>,
    /// Rates and limits of the engine.
    #[serde(default)]
    pub engine: EngineSettings,
}

/// Rates and limits of a simulated engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Requests that run at once.
    pub max_running: u32,
    /// Requests that may wait for a slot in the batch; more are refused as `queue_full`.
    pub max_waiting: u32,
    /// Time of one decode step, which generates one token, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens prefilled per second; one token is four bytes of the messages.
    pub prefill_tokens_per_s: f64,
    /// Age at which the load figures of a report are renewed, in milliseconds.
    pub report_lag_ms: u64,
    /// Time that a call of a plain service takes, in milliseconds.
    pub plain_ms: u64,
    /// Time from a crash of the engine to its restart, in milliseconds.
    pub restart_ms: u64,
    /// Initial value of [`super::BackendFault::CrashMarker`].
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
