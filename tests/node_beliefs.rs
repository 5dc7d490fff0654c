//! Tests of the state that a node keeps about servers, routes, peers and lease terms.

mod node_fixtures;

use {
    node_fixtures::{at, engine, model, profile, routes, row_version, stream_route},
    rstest::rstest,
    std::net::SocketAddr,
    toucanring::core::{
        fleet::{FleetChange, FleetView},
        lease::{
            LeaseAction, LeaseEvent, LeaseManager, LeaseRights, LeaseRow, LeaseTiming, MAX_TERM,
            TermWatch,
        },
        peers::{NodeBeacon, PeerBook},
        routes::{RouteRefusal, RouteTable},
        store::IgnoredRows,
    },
    toucanring::wire::TableRow,
};

/// Guards against removing servers whose entries lapsed during an outage of the store before they
/// could write them again, and against keeping servers that are gone.
#[test]
fn lapsed_entries_are_kept_until_the_servers_had_time_to_write_them_again() {
    let mut fleet = FleetView::new();
    fleet.put(row_version(1), engine("i-1", "f"));
    fleet.put(row_version(2), engine("i-2", "f"));

    fleet.store_recovered(at(5_000));
    fleet.replace(at(5_000), row_version(9), Vec::new());
    assert!(fleet.get("i-1").is_some());
    fleet.put(row_version(10), engine("i-1", "f"));
    let gone = fleet.expire(at(7_100));

    assert!(fleet.get("i-1").is_some());
    assert_eq!(gone, [FleetChange::Gone("i-2".to_owned())]);
}

/// Guards against new requests to a leaving server: its row is gone after an outage, and the list
/// of a node that lags behind holds an older one without the leaving mark (DRAIN on scale-2 of
/// thirulipi-hq-grown, seed 535570757717).
#[test]
fn an_older_row_does_not_revive_a_doubtful_entry() {
    let mut fleet = FleetView::new();
    let mut leaving = engine("i-1", "f");
    leaving.leaving = true;
    fleet.put(row_version(5), leaving);
    fleet.store_recovered(at(1_000));
    fleet.remove(at(1_000), row_version(6), "i-1");

    assert_eq!(fleet.put(row_version(4), engine("i-1", "f")), None);
    assert!(fleet.get("i-1").unwrap().leaving);
    let gone = fleet.expire(at(3_000));
    assert_eq!(gone, [FleetChange::Gone("i-1".to_owned())]);
}

/// Guards against rows that arrive late and undo newer ones.
#[test]
fn older_rows_change_nothing() {
    let mut fleet = FleetView::new();
    let mut leaving = engine("i-1", "f");
    leaving.leaving = true;
    fleet.put(row_version(5), leaving);

    assert_eq!(fleet.put(row_version(4), engine("i-1", "f")), None);
    assert_eq!(fleet.remove(at(0), row_version(3), "i-1"), None);

    assert!(fleet.get("i-1").unwrap().leaving);
}

fn two_routes() -> RouteTable {
    let rules = vec![
        stream_route("r-wide", "/a/", at(300)),
        stream_route("r-narrow", "/a/b/", at(300)),
    ];
    RouteTable::new(routes(1, rules, profile(vec![model("m-0", 2, 1.0)])))
}

/// Guards against choosing a route by a shorter prefix, or by a path that only begins like its
/// prefix, and against accepting an unknown key.
#[rstest]
#[case::wide("models.example", "/a/x", Some("key-a"), Ok("r-wide"))]
#[case::narrow("models.example:8080", "/a/b/x", Some("key-a"), Ok("r-narrow"))]
#[case::upper("Models.Example", "/a/b/", Some("key-a"), Ok("r-narrow"))]
#[case::outside("models.example", "/ab/", Some("key-a"), Err(RouteRefusal::NoRoute))]
#[case::host("other.example", "/a/", Some("key-a"), Err(RouteRefusal::NoRoute))]
#[case::key("models.example", "/a/", Some("key-b"), Err(RouteRefusal::UnknownKey))]
#[case::none("models.example", "/a/", None, Err(RouteRefusal::UnknownKey))]
fn routes_are_chosen_by_host_and_longest_prefix(
    #[case] host: &str,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] expected: Result<&str, RouteRefusal>,
) {
    let table = two_routes();

    let choice = table.choose(host, path, key);

    let name = choice.map(|choice| table.route(choice.route).name.as_str());
    assert_eq!(name, expected);
}

fn beacon(address: &str, boot: u64, sequence: u64) -> NodeBeacon {
    NodeBeacon {
        boot,
        sequence,
        name: "node".to_owned(),
        failure_domain: "kochi".to_owned(),
        address: address.parse().unwrap(),
        routes_version: 1,
        fleet_version: row_version(1),
        stopping: false,
        terms: Vec::new(),
        serving: false,
        loads: Vec::new(),
        suspects: Vec::new(),
        known: vec!["10.0.0.9:1".parse().unwrap()],
        leaving: Vec::new(),
        domain_nodes: 1,
        cold: Vec::new(),
        drains: None,
        shares: None,
    }
}

/// Guards against old beacons that replace newer ones, and against a failure domain that counts as
/// heard after its last node has gone.
#[test]
fn peers_count_while_they_are_heard() {
    let own: SocketAddr = "10.0.0.1:1".parse().unwrap();
    let mut book = PeerBook::new(own, &[own], at(0));

    assert!(book.take(at(100), &beacon("10.0.0.2:1", 7, 5)));
    assert!(!book.take(at(110), &beacon("10.0.0.2:1", 7, 4)));
    assert!(!book.take(at(110), &beacon("10.0.0.1:1", 8, 1)));

    assert_eq!(book.gateways(at(200)), 2);
    assert_eq!(book.gateways(at(9_000)), 1);
    assert_eq!(book.domain_silence("kochi", at(4_100)), at(4_000));
    assert!(book.addresses().contains(&"10.0.0.9:1".parse().unwrap()));
}

/// Guards against two holders of a lease that give orders at the same time: in an incident of
/// campanari-rete a node that the store refused continued under term 1 for 5 s after another one
/// had acquired term 2.
#[test]
fn a_holder_without_the_store_yields_to_a_later_one() {
    let mut lease = LeaseManager::new("kochi", "node-1", LeaseTiming::default());
    let mut out = Vec::new();
    lease.step(at(0), LeaseEvent::Tick, &mut out);
    lease.step(at(2), LeaseEvent::Read(None), &mut out);
    lease.step(at(4), LeaseEvent::Committed(9), &mut out);
    lease.step(at(1_000), LeaseEvent::Tick, &mut out);
    lease.step(at(1_100), LeaseEvent::CallFailed, &mut out);
    assert_eq!(lease.rights(at(9_000)), LeaseRights::Fenced { term: 1 });
    let mut watch = TermWatch::default();

    watch.record_term("kochi", 2);
    if watch.has_later_term("kochi", 1) {
        lease.step(at(9_000), LeaseEvent::Outranked, &mut out);
    }

    assert_eq!(lease.rights(at(9_000)), LeaseRights::None);
}

/// Guards against a lease whose term falls, or whose epochs overflow, after another writer has
/// replaced the row: engines refuse the orders of a lower term.
#[rstest]
#[case::no_lease(serde_json::json!(null))]
#[case::highest_number(serde_json::json!({"holder": "x", "term": u64::MAX, "renewal": 1}))]
#[case::above_the_bound(serde_json::json!({"holder": "x", "term": MAX_TERM + 1, "renewal": 1}))]
fn a_replaced_lease_row_does_not_lower_the_term(#[case] value: serde_json::Value) {
    let mut lease = LeaseManager::new("kochi", "node-1", LeaseTiming::default());
    let row = |version, value| {
        let key = "lease/kochi".to_owned();
        LeaseEvent::Read(Some(TableRow {
            key,
            version,
            value,
        }))
    };
    let held = LeaseRow {
        holder: "node-2".to_owned(),
        term: 41,
        renewal: 3,
    };
    let mut out = Vec::new();
    lease.step(at(0), LeaseEvent::Tick, &mut out);
    lease.step(at(1), row(5, serde_json::to_value(held).unwrap()), &mut out);
    out.clear();

    for time in [10_000, 20_000] {
        lease.step(at(time), LeaseEvent::Tick, &mut out);
        lease.step(at(time + 1), row(6, value.clone()), &mut out);
    }

    let Some(LeaseAction::Commit(request)) = out.last() else {
        panic!("no commit: {out:?}");
    };
    assert_eq!(request.conditions[0].version, 6);
    assert_eq!(request.writes[0].value["term"], 42);
}

/// Guards against a log line for each poll of a row that cannot be used, and for each of very many
/// such rows.
#[test]
fn ignored_rows_are_logged_within_bounds() {
    let mut rows = IgnoredRows::default();
    let mut lines = 0;

    for second in 0..60 {
        for index in 0..1_000 {
            lines += u32::from(rows.note(at(second * 1_000), &format!("servers/i-{index}")));
        }
    }
    let repeated = rows.note(at(60_000), "servers/i-0");

    assert_eq!(lines, 64);
    assert!(repeated);
}

/// Guards against pulls without end during an outage of the store: the newest row of a peer cannot
/// be used, so that no pulled list contains it.
#[test]
fn a_pulled_list_covers_rows_that_name_no_server() {
    let mut peer = FleetView::new();
    peer.put(row_version(5), engine("i-1", "f"));
    peer.remove(at(0), row_version(9), "i-odd");
    peer.complete_to(row_version(9));
    let mut fleet = FleetView::new();
    fleet.put(row_version(5), engine("i-1", "f"));
    assert!(!fleet.covers(peer.newest_row()));

    let rows = peer.known();
    let rows = rows.map(|known| (known.version, known.entry.clone()));
    fleet.replace(at(1), peer.version(), rows.collect());

    assert!(fleet.covers(peer.newest_row()));
}
