//! Tests of the choice of the nodes that get a beacon.

use {
    std::{collections::BTreeSet, net::SocketAddr},
    toucanring::core::peers::{reaches_unheard, round_robin},
};

/// Most nodes that get one beacon.
const MAX_COUNT: usize = 10;

fn addresses(count: u16) -> Vec<SocketAddr> {
    (1..=count)
        .map(|port| SocketAddr::from(([10, 0, 0, 1], port)))
        .collect()
}

/// Nodes that get one of the beacons from `sequences`.
fn reached(addresses: &[SocketAddr], sequences: impl Iterator<Item = u64>) -> BTreeSet<SocketAddr> {
    let beacons = sequences.map(|sequence| round_robin(addresses, sequence, MAX_COUNT));
    beacons.flatten().collect()
}

/// Guards against nodes that never get a beacon: with 51 to 60 addresses one part of six was left
/// out.
#[test]
fn every_node_gets_a_beacon() {
    for count in 1..=130 {
        let addresses = addresses(count);
        let turns = u64::from(count).div_ceil(MAX_COUNT as u64);

        let heard = (1..=2 * turns + 2).filter(|sequence| !reaches_unheard(*sequence));
        let unheard = (1..=5 * turns).filter(|sequence| reaches_unheard(*sequence));

        assert_eq!(reached(&addresses, heard).len(), addresses.len());
        assert_eq!(reached(&addresses, unheard).len(), addresses.len());
    }
}
