//! Rows, removals and lists of peers of two eras of the store that cross, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{at, engine, head},
    toucanring::core::{
        fleet::{BackendEntry, FleetChange, FleetView},
        store::StoreVersion,
    },
};

const BEFORE: u64 = 1;
const AFTER: u64 = 2;

const fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(era, number)
}

fn written(mut entry: BackendEntry, count: u64) -> BackendEntry {
    entry.write_count = count;
    entry
}

/// A fleet that knows two servers from the history that was lost.
fn fleet_of_two() -> FleetView {
    let mut fleet = FleetView::new();
    let rows = vec![
        (version(BEFORE, 318), written(engine("i-0", "f"), 3)),
        (version(BEFORE, 319), written(head("i-1"), 24)),
    ];
    fleet.replace(at(0), version(BEFORE, 319), rows);
    fleet
}

/// Guards against the loss of a server that registered in the lost span, since a peer's row of the
/// new era came before the node's own read of the whole table.
#[test]
fn a_row_of_a_peer_does_not_end_the_grace_of_the_first_read() {
    let mut fleet = fleet_of_two();
    fleet.put(version(AFTER, 245), written(head("i-0"), 4));

    let rows = vec![(version(AFTER, 245), written(head("i-0"), 4))];
    let changes = fleet.replace(at(1_000), version(AFTER, 246), rows);

    assert_eq!(changes, [FleetChange::Unconfirmed("i-1".to_owned())]);
    assert!(fleet.get("i-1").is_some());
}

/// Guards against the same loss, when a peer reported a removal of the new era before.
#[test]
fn a_removal_by_a_peer_does_not_end_the_grace_of_the_first_read() {
    let mut fleet = fleet_of_two();
    fleet.remove(at(990), version(AFTER, 245), "i-0");

    fleet.replace(at(1_000), version(AFTER, 246), Vec::new());

    assert!(fleet.get("i-1").is_some());
}

/// Guards against the loss of a server between two drills: the second gives servers the time anew in
/// which they write their entries again.
#[test]
fn a_second_restoration_extends_the_time_of_a_lost_entry() {
    let mut fleet = fleet_of_two();
    fleet.replace(at(1_000), version(AFTER, 240), Vec::new());
    fleet.replace(at(2_500), version(AFTER + 1, 230), Vec::new());

    let gone = fleet.expire(at(3_100));

    assert_eq!(gone, []);
}

/// Guards against the same for an outage after a drill.
#[test]
fn an_outage_after_a_restoration_extends_the_time_of_a_lost_entry() {
    let mut fleet = fleet_of_two();
    fleet.replace(at(1_000), version(AFTER, 240), Vec::new());
    fleet.store_recovered(at(2_900));

    let gone = fleet.expire(at(3_100));

    assert_eq!(gone, []);
}

/// Guards against requests to a server that left in the lost span: its removal came from a lagging
/// peer, after a first row of the new era.
#[test]
fn a_removal_of_the_lost_history_counts_as_one_of_it() {
    let mut fleet = fleet_of_two();
    fleet.put(version(AFTER, 245), written(head("i-0"), 4));
    fleet.remove(at(500), version(BEFORE, 330), "i-1");

    let restored = fleet.put(version(AFTER, 111), written(head("i-1"), 20));

    assert_eq!(restored, None);
}

/// Guards against requests to a server that was removed in the new era, when a peer that has not
/// read the store since sends its row of the lost history.
#[test]
fn a_row_of_the_lost_history_does_not_bring_back_a_server_removed_since() {
    let mut fleet = fleet_of_two();
    fleet.put(version(AFTER, 245), written(head("i-1"), 24));
    fleet.remove(at(500), version(AFTER, 250), "i-1");

    let lagging = fleet.put(version(BEFORE, 319), written(head("i-1"), 24));

    assert_eq!(lagging, None);
}

/// Guards against a server that is never used again at a node to which its removal is sent under the
/// version of a later row, since it wrote its entry again in between.
#[test]
fn a_removal_keeps_its_own_version() {
    let mut fleet = fleet_of_two();
    fleet.store_recovered(at(0));
    fleet.remove(at(10), version(BEFORE, 330), "i-1");
    fleet.put(version(BEFORE, 340), written(head("i-0"), 4));

    fleet.expire(at(2_100));

    assert_eq!(fleet.newest_row(), version(BEFORE, 340));
    assert_eq!(fleet.removed_in("i-1"), Some(version(BEFORE, 330)));
}

/// Guards against a leaving server that becomes ready for nodes whose list comes from a peer of the
/// lost history.
#[test]
fn a_list_of_the_lost_history_does_not_undo_the_new_one() {
    let mut fleet = fleet_of_two();
    let mut leaving = written(head("i-1"), 36);
    leaving.leaving = true;
    fleet.replace(
        at(500),
        version(AFTER, 252),
        vec![(version(AFTER, 252), leaving)],
    );

    let rows = vec![(version(BEFORE, 319), written(head("i-1"), 24))];
    fleet.replace(at(600), version(BEFORE, 400), rows);

    assert!(fleet.get("i-1").unwrap().leaving);
}

/// Guards against a running server that is never used again: its entry lapsed in the lost span while
/// it did not reach the store, and since the copy has its entry, it has nothing new to write.
#[test]
fn a_server_whose_row_is_written_after_the_restoration_is_used() {
    let mut fleet = fleet_of_two();
    fleet.remove(at(500), version(BEFORE, 330), "i-1");
    fleet.replace(
        at(1_000),
        version(AFTER, 240),
        vec![(version(AFTER, 111), written(head("i-1"), 24))],
    );

    let change = fleet.put(version(AFTER, 252), written(head("i-1"), 24));

    assert_eq!(change, Some(FleetChange::Appeared("i-1".to_owned())));
}
