//! The nodes that a node knows, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{at, row_version},
    std::net::SocketAddr,
    toucanring::core::peers::{NodeBeacon, PeerBook},
};

const OWN: &str = "10.0.0.5:1";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn beacon(from: &str, failure_domain: &str, sequence: u64) -> NodeBeacon {
    NodeBeacon {
        boot: 7,
        sequence,
        name: "node".to_owned(),
        failure_domain: failure_domain.to_owned(),
        address: address(from),
        routes_version: 1,
        fleet_version: row_version(1),
        stopping: false,
        terms: Vec::new(),
        serving: false,
        loads: Vec::new(),
        suspects: Vec::new(),
        known: Vec::new(),
        leaving: Vec::new(),
        domain_nodes: 1,
        cold: Vec::new(),
        drains: None,
        shares: None,
    }
}

/// A book of the node 10.0.0.5 of `kochi`, which has heard two nodes of its failure domain and two
/// of another before it in the address order, and one after it.
fn book() -> PeerBook {
    let mut book = PeerBook::new(address(OWN), &[], at(0));
    for (from, domain) in [
        ("10.0.0.1:1", "kochi"),
        ("10.0.0.2:1", "kottayam"),
        ("10.0.0.3:1", "kochi"),
        ("10.0.0.4:1", "kottayam"),
        ("10.0.0.6:1", "kochi"),
    ] {
        assert!(book.take(at(100), &beacon(from, domain, 1)));
    }
    book
}

/// Guards against more or fewer readers of the store than are wanted, because nodes of other failure
/// domains count.
#[test]
fn only_earlier_nodes_of_the_failure_domain_go_before_a_node() {
    let book = book();

    assert!(!book.is_among_first(2, "kochi", at(200)));
    assert!(book.is_among_first(3, "kochi", at(200)));
    assert!(!book.is_among_first(2, "kottayam", at(200)));
    assert!(book.is_among_first(1, "thrissur", at(200)));
    let heard = book.heard_in("kochi", at(200));
    let expected = ["10.0.0.1:1", "10.0.0.3:1", "10.0.0.6:1"].map(address);
    assert_eq!(heard, expected);
}

/// Guards against a failure domain whose changes nobody reads, because a node that is silent or
/// shuts down still counts as one of the first.
#[test]
fn silent_and_stopping_nodes_do_not_go_before_a_node() {
    let mut book = book();

    let stopping = NodeBeacon {
        stopping: true,
        ..beacon("10.0.0.1:1", "kochi", 2)
    };
    assert!(book.take(at(200), &stopping));
    assert!(book.is_among_first(2, "kochi", at(300)));
    assert!(!book.is_among_first(1, "kochi", at(300)));
    assert!(book.is_among_first(1, "kochi", at(3_500)));

    book.expire(at(21_000));
    assert!(book.heard_in("kochi", at(21_000)).is_empty());
    assert!(book.take(at(21_100), &beacon("10.0.0.3:1", "kochi", 9)));
    assert!(!book.is_among_first(1, "kochi", at(21_200)));
}

/// Guards against a node that counts in two failure domains after its address was given to a node of
/// another one.
#[test]
fn a_node_counts_in_the_failure_domain_that_it_names_last() {
    let mut book = book();

    assert!(book.take(at(200), &beacon("10.0.0.1:1", "kottayam", 2)));

    assert!(book.is_among_first(2, "kochi", at(300)));
    assert!(!book.is_among_first(3, "kottayam", at(300)));
    assert_eq!(book.domain_silence("kottayam", at(300)), at(100));
    assert_eq!(book.gateways(at(300)), 6);
}
