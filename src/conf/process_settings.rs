use std::net::SocketAddr;

wire_type! {
    /// Settings of a gateway or controller process.
    #[serde(deny_unknown_fields)]
    pub struct ProcessSettings {
        /// Process name, unique in the deployment.
        pub name: String,
        /// Failure domain in which the process runs.
        pub failure_domain: String,
        /// Address for callers (gateway) or for health probes (controller).
        pub listen: SocketAddr,
        /// Address for the exchange between processes, over UDP and TCP. Peers must be able to
        /// reach it, since heartbeats carry it.
        pub peer_listen: SocketAddr,
        /// Addresses of some peers known at the start; the process learns the others from them.
        #[serde(default)]
        pub peers: Vec<SocketAddr>,
        /// Address of the platform's services.
        pub platform: SocketAddr,
        /// Key that authenticates the exchange between processes: 32 bytes in hexadecimal.
        pub exchange_key: String,
        /// `StatsD` address to which metrics are sent; none are sent if left out.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// Time between turning `/readyz` off and closing the listener, in milliseconds; 2,000 if
        /// left out.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
        /// Memory limit of a gateway in MiB, 1,024 if left out. An eighth of it is the budget for
        /// request bodies.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub memory_mb: Option<u64>,
    }
}

// The load balancer in front needs about two probes to notice that `/readyz` is off.
const fn default_drain_ms() -> u64 {
    2_000
}
