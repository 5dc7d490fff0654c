//! Rules on the settings of a process.

use {
    super::{ProcessSettings, value_rules::FaultCollector},
    std::net::SocketAddr,
};

/// Maximum time in milliseconds between turning `/readyz` off and closing the listener.
const MAX_DRAIN_MS: u64 = 600_000;
/// Maximum number of peer addresses in the settings.
const MAX_PEERS: usize = 2_000;

/// Checks ranges, formats and addresses in the settings of a gateway or controller.
pub(super) fn check_settings(settings: &ProcessSettings, faults: &mut FaultCollector) {
    faults.check_name("name", &settings.name);
    faults.check_name("failure_domain", &settings.failure_domain);
    faults.check_hex_digest("exchange_key", &settings.exchange_key);
    faults.check_count("drain_ms", settings.drain_ms, 0, MAX_DRAIN_MS);
    // Heartbeats carry this address, and peers send to it.
    let reachable = !settings.peer_listen.ip().is_unspecified();
    let rule = "must be an address that peers can reach, not the unspecified one";
    faults.require(reachable, "peer_listen", settings.peer_listen, rule);
    let same = settings.listen == settings.peer_listen && settings.listen.port() != 0;
    let rule = "must differ from listen";
    faults.require(!same, "peer_listen", settings.peer_listen, rule);
    check_remote(faults, "platform", settings.platform);
    if let Some(address) = settings.metrics {
        check_remote(faults, "metrics", address);
    }
    let count = settings.peers.len();
    let rule = format!("must have at most {MAX_PEERS} elements");
    faults.require(
        count <= MAX_PEERS,
        "peers",
        format_args!("{count} elements"),
        &rule,
    );
    let mut addresses = Vec::new();
    for (index, peer) in settings.peers.iter().enumerate() {
        let path = format!("peers[{index}]");
        check_remote(faults, &path, *peer);
        addresses.push((path, peer.to_string()));
    }
    faults.check_unique(addresses, "a peer");
}

/// Checks an address to which this process sends.
pub(super) fn check_remote(faults: &mut FaultCollector, path: &str, address: SocketAddr) {
    let callable = address.port() != 0 && !address.ip().is_unspecified();
    let rule = "must be an IP address and a port that can be called";
    faults.require(callable, path, address, rule);
}
