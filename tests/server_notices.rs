//! What backend servers say about themselves in answers, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{
        FormationWorld, GatewayWorld, at, engine, head, model, plain_server, profile, restarted,
        row_version,
    },
    toucanring::core::fleet::{FleetView, LeavingOutcome},
};

/// Guards against new requests to a server that said in an answer that it is leaving, while the
/// store is away and its entry still says that it is ready, and against a row, older or newer, that
/// takes the server back.
#[test]
fn a_leaving_answer_stands_without_the_store_and_against_rows() {
    let servers = [
        head("i-1"),
        head("i-2"),
        plain_server("p-1"),
        plain_server("p-2"),
    ];
    let mut world = GatewayWorld::new(servers.to_vec());

    for server in ["i-1", "p-1"] {
        let outcome = world.fleet.note_leaving(at(1_000), server, 1);
        assert!(matches!(outcome, LeavingOutcome::Marked(_)));
        assert_eq!(
            world.fleet.note_leaving(at(1_010), server, 1),
            LeavingOutcome::Known
        );
    }
    world.sync();
    for version in [4, 6, 7] {
        world.put(version, head("i-1"));
        world.put(version, plain_server("p-1"));
        assert_eq!(world.heads_used(at(1_100), 20), ["i-2"]);
        assert_eq!(world.plain_used(at(1_100), 6), ["p-2"]);
    }

    let rows = vec![
        (row_version(9), head("i-1")),
        (row_version(9), plain_server("p-1")),
    ];
    world.fleet.replace(at(1_200), row_version(9), rows);
    world.sync();
    assert!(world.heads_used(at(1_200), 20).is_empty());
    assert!(world.plain_used(at(1_200), 6).is_empty());
}

/// Guards against a leaving server that is used again when its entry lapsed and a node that lags
/// behind sends it once more.
#[test]
fn a_leaving_answer_outlives_the_entry() {
    let mut world = GatewayWorld::new(vec![head("i-1"), head("i-2")]);
    world.fleet.note_leaving(at(1_000), "i-1", 1);
    world.fleet.remove(at(1_500), row_version(6), "i-1");
    world.fleet.expire(at(20_000));

    world.put(4, head("i-1"));

    assert_eq!(world.heads_used(at(20_000), 20), ["i-2"]);
}

/// Guards against a restarted server, or a new one at a reused identifier, that counts as leaving
/// because of what the earlier incarnation said, and against a late answer of that one.
#[test]
fn a_leaving_answer_ends_with_the_incarnation() {
    let mut world = GatewayWorld::new(vec![head("i-1"), head("i-2"), plain_server("p-1")]);
    world.fleet.note_leaving(at(1_000), "i-1", 1);
    world.fleet.note_leaving(at(1_000), "p-1", 1);

    world.put(6, restarted(head("i-1")));
    world.put(6, restarted(plain_server("p-1")));
    let late = world.fleet.note_leaving(at(1_300), "i-1", 1);
    world.sync();

    assert_eq!(late, LeavingOutcome::Known);
    assert_eq!(world.heads_used(at(1_400), 40), ["i-1", "i-2"]);
    assert_eq!(world.plain_used(at(1_400), 2), ["p-1"]);
}

/// Guards against a group that keeps a member which said that it is leaving: its entry never shows
/// that, as with servers that report nothing before they end.
#[test]
fn a_member_that_says_it_leaves_is_replaced() {
    let ids = (0..5).map(|index| engine(&format!("i-{index}"), "f"));
    let mut world = FormationWorld::new(ids.collect(), profile(vec![model("m-0", 4, 1.0)]), 1);
    world.run(at(1_000));
    let head = world.open_heads().remove(0);
    let leaving = world.members_of(&head)[1].clone();

    world.fleet.note_leaving(world.now, &leaving, 1);
    // The head closes within the 10 s that it has for its requests.
    world.run(at(12_000));

    let heads = world.open_heads();
    assert_eq!(heads.len(), 1);
    assert!(!world.members_of(&heads[0]).contains(&leaving));
}

/// Guards against nodes that are never told of some of the leaving servers, since a beacon names
/// only a few, and against nodes that remind each other of a server for ever.
#[test]
fn all_leaving_servers_with_an_entry_are_announced_in_turn() {
    let mut fleet = FleetView::new();
    for index in 0..40 {
        let id = format!("i-{index}");
        fleet.put(row_version(5), engine(&id, "f"));
        fleet.note_leaving(at(1_000 + index), &id, 1);
    }
    fleet.note_leaving(at(2_000), "i-unknown", 1);

    let mut announced = Vec::new();
    for round in 0..10 {
        let named = fleet.leaving_to_announce(round, 8, 256);
        assert_eq!(named.len(), 8);
        assert_eq!(named[0].0, "i-39");
        announced.extend(named);
    }

    announced.sort();
    announced.dedup();
    assert_eq!(announced.len(), 40);
    assert!(announced.iter().all(|(server, _)| server != "i-unknown"));
}

/// Guards against a beacon that does not fit a datagram, because identifiers are long.
#[test]
fn announced_identifiers_stay_within_their_room() {
    let mut fleet = FleetView::new();
    for index in 0..8 {
        let id = format!("{index}-{}", "x".repeat(100));
        fleet.put(row_version(5), engine(&id, "f"));
        fleet.note_leaving(at(1_000), &id, 1);
    }

    let named = fleet.leaving_to_announce(0, 8, 256);

    assert_eq!(named.len(), 2);
}

/// Guards against a node that misses the entry of a leaving server, and whose pulls fail, for longer
/// than the bound: only readers of the store would have told it (DRAIN on campanari-rete-grown,
/// 767424261778).
#[test]
fn a_server_whose_entry_says_that_it_leaves_is_announced() {
    let mut fleet = FleetView::new();
    let mut leaving = plain_server("p-1");
    leaving.leaving = true;
    let mut unborn = leaving.clone();
    unborn.id = "p-2".to_owned();
    unborn.born_ms = 0;
    let mut changes = Vec::new();
    for entry in [leaving, unborn, plain_server("p-3")] {
        changes.extend(fleet.put(row_version(5), entry));
    }

    fleet.note_leaving_entries(at(1_000), &changes);

    assert_eq!(
        fleet.leaving_to_announce(0, 8, 256),
        [("p-1".to_owned(), 1)]
    );
}
