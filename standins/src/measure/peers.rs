//! Cost of a received beacon at several numbers of nodes.

use {
    super::{Figure, capacity_timing::time_us},
    std::{net::SocketAddr, time::Duration},
    toucanring::core::{
        peers::{NodeBeacon, NodeDatagram, PeerBook},
        placement::{GroupTag, PeerLoad},
        store::StoreVersion,
        view::{MAX_DATAGRAM_BYTES, PeerCodec, SealKind},
    },
};

/// Numbers of nodes.
const NODES: [u16; 3] = [30, 195, 390];

/// Failure domains among which the nodes are spread.
const DOMAINS: u16 = 5;

/// Groups in a beacon.
const LOADS: u64 = 10;

/// Nodes of a failure domain that read from the store.
const STORE_READERS: usize = 2;

/// Calls of each timing.
const BEACONS: u32 = 20_000;

/// Measures the cost in microseconds of opening a beacon, and of recording it and asking whether the
/// node reads from the store.
#[must_use]
pub fn peers() -> Vec<Figure> {
    let mut figures = Vec::new();
    for nodes in NODES {
        let mut add = |name: &str, micros: f64| {
            let name = format!("peers.{name}.nodes_{nodes}");
            figures.push(Figure::new(&name, micros, "us"));
        };
        add("open_beacon", open_us());
        add("record_beacon", record_us(nodes));
    }
    figures
}

fn open_us() -> f64 {
    let codec = PeerCodec::new([7; 32]);
    let bytes = codec.seal(
        SealKind::Datagram,
        &NodeDatagram::Beacon(Box::new(beacon(1, 1))),
    );
    time_us(BEACONS, |_| {
        let opened = codec.open::<NodeDatagram>(SealKind::Datagram, &bytes, MAX_DATAGRAM_BYTES);
        assert!(opened.is_ok(), "the beacon was sealed with the same key");
    })
}

fn record_us(nodes: u16) -> f64 {
    let now = Duration::from_secs(1);
    let mut book = PeerBook::new(address(nodes), &[], now);
    let beacons: Vec<NodeBeacon> = (0..nodes).map(|node| beacon(node, 1)).collect();
    for beacon in &beacons {
        book.take(now, beacon);
    }
    let mut sequence = 1;
    let mut next = beacons.into_iter().cycle();
    time_us(BEACONS, |_| {
        let Some(mut beacon) = next.next() else {
            return;
        };
        sequence += 1;
        beacon.sequence = sequence;
        book.take(now, &beacon);
        std::hint::black_box(book.is_among_first(STORE_READERS, "domain-0", now));
    })
}

fn address(node: u16) -> SocketAddr {
    let [high, low] = node.to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7_340))
}

fn beacon(node: u16, sequence: u64) -> NodeBeacon {
    let loads = (0..LOADS).map(|group| PeerLoad {
        group: GroupTag(group),
        running: 3,
        backlog_tokens: 700,
    });
    NodeBeacon {
        boot: u64::from(node),
        sequence,
        name: format!("node-{node}"),
        failure_domain: format!("domain-{}", node % DOMAINS),
        address: address(node),
        routes_version: 7,
        fleet_version: StoreVersion::new(1, 7),
        stopping: false,
        terms: Vec::new(),
        serving: true,
        loads: loads.collect(),
        suspects: Vec::new(),
        known: vec![address(1), address(2), address(3), address(4)],
        leaving: Vec::new(),
        domain_nodes: 1,
        cold: Vec::new(),
        drains: None,
        shares: None,
    }
}
