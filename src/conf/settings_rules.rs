//! Rules on the settings of a process.

use {
    super::{ProcessSettings, value_rules::FaultCollector},
    std::net::SocketAddr,
};

/// Longest time between turning `/readyz` off and closing the listener.
const MAX_DRAIN_MS: u64 = 600_000;
/// Most peer addresses in the settings.
const MAX_PEERS: usize = 2_000;

/// Checks the settings of a gateway or controller.
pub(super) fn check_settings(settings: &ProcessSettings, faults: &mut FaultCollector) {
    faults.name("name", &settings.name);
    faults.name("failure_domain", &settings.failure_domain);
    faults.hex_digest("exchange_key", &settings.exchange_key);
    faults.count("drain_ms", settings.drain_ms, 0, MAX_DRAIN_MS);
    // Peers send to the address that heartbeats carry.
    let named = !settings.peer_listen.ip().is_unspecified();
    let rule = "must be an address that peers can reach, not the unspecified one";
    faults.expect(named, "peer_listen", settings.peer_listen, rule);
    let same = settings.listen == settings.peer_listen && settings.listen.port() != 0;
    let rule = "must differ from listen";
    faults.expect(!same, "peer_listen", settings.peer_listen, rule);
    check_remote(faults, "platform", settings.platform);
    if let Some(address) = settings.metrics {
        check_remote(faults, "metrics", address);
    }
    let count = settings.peers.len();
    let rule = format!("must have at most {MAX_PEERS} elements");
    faults.expect(
        count <= MAX_PEERS,
        "peers",
        format_args!("{count} elements"),
        &rule,
    );
    let mut places = Vec::new();
    for (index, peer) in settings.peers.iter().enumerate() {
        let path = format!("peers[{index}]");
        check_remote(faults, &path, *peer);
        places.push((path, peer.to_string()));
    }
    faults.unique(places, "a peer");
}

/// Checks an address that is called.
pub(super) fn check_remote(faults: &mut FaultCollector, path: &str, address: SocketAddr) {
    let usable = address.port() != 0 && !address.ip().is_unspecified();
    let rule = "must be an IP address and a port that can be called";
    faults.expect(usable, path, address, rule);
}
