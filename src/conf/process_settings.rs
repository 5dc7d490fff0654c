use std::net::SocketAddr;

wire_type! {
    /// Settings of a gateway or controller process.
    #[serde(deny_unknown_fields)]
    pub struct ProcessSettings {
        /// Process name, unique in the deployment.
        pub name: String,
        /// Failure domain of the process.
        pub failure_domain: String,
        /// Address for callers (gateway) or for health probes (controller).
        pub listen: SocketAddr,
        /// Address for the exchange between processes, UDP and TCP.
        pub peer_listen: SocketAddr,
        /// Peer addresses known at the start.
        #[serde(default)]
        pub peers: Vec<SocketAddr>,
        /// Address of the platform's services.
        pub platform: SocketAddr,
        /// Hexadecimal 32-byte key that authenticates the exchange between processes.
        pub exchange_key: String,
        /// `StatsD` address for metrics.
        #[serde(default)]
        pub metrics: Option<SocketAddr>,
        /// Time between turning `/readyz` off and closing the listener, in milliseconds.
        #[serde(default = "default_drain_ms")]
        pub drain_ms: u64,
    }
}

// The balancer needs about two probes to notice that `/readyz` is off.
const fn default_drain_ms() -> u64 {
    2_000
}
