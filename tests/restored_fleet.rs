//! The list of backend servers after the store was restored from an older copy, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{at, engine, head},
    rstest::rstest,
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

/// An entry as the server wrote it for the `count`th time.
fn written(mut entry: BackendEntry, count: u64) -> BackendEntry {
    entry.write_count = count;
    entry
}

/// A fleet that knows the head of an open group from the history that was lost.
fn fleet_with_head() -> FleetView {
    let mut fleet = FleetView::new();
    let entry = written(head("i-1"), 24);
    fleet.replace(
        at(0),
        version(BEFORE, 319),
        vec![(version(BEFORE, 319), entry)],
    );
    fleet
}

/// Guards against new requests to a leaving server whose row has a lower number than the one that
/// the store lost (DRAIN on campanari-rete, restored-group, seed 9).
#[test]
fn a_row_of_the_new_era_replaces_one_with_a_higher_number() {
    let mut fleet = fleet_with_head();
    let mut leaving = written(head("i-1"), 36);
    leaving.leaving = true;

    let change = fleet.put(version(AFTER, 317), leaving);

    assert_eq!(change, Some(FleetChange::Changed("i-1".to_owned())));
    assert!(fleet.get("i-1").unwrap().leaving);
}

/// Guards against replica groups that are dissolved because a restored store shows their members as
/// they were before they joined.
#[test]
fn a_row_from_before_the_last_known_entry_changes_nothing() {
    let mut fleet = fleet_with_head();
    let restored = written(engine("i-1", "f"), 6);

    let changes = fleet.replace(
        at(10),
        version(AFTER, 240),
        vec![(version(AFTER, 111), restored)],
    );
    let rewritten = fleet.put(version(AFTER, 252), written(head("i-1"), 24));

    assert_eq!(changes, []);
    assert_eq!(rewritten, None);
    assert!(fleet.get("i-1").unwrap().leads_open_group());
    assert_eq!(fleet.get_known("i-1").unwrap().version, version(AFTER, 252));
}

/// Guards against the loss of a server that registered in the lost history, and against one that is
/// kept although it does not register again.
#[rstest]
#[case::written_again(true)]
#[case::gone(false)]
fn a_lost_entry_is_kept_until_the_server_had_time_to_write_it_again(#[case] again: bool) {
    let mut fleet = fleet_with_head();

    let changes = fleet.replace(at(1_000), version(AFTER, 240), Vec::new());
    if again {
        fleet.put(version(AFTER, 250), written(head("i-1"), 24));
    }
    let kept = fleet.get("i-1").is_some();
    let gone = fleet.expire(at(3_100));

    assert_eq!(changes, [FleetChange::Unconfirmed("i-1".to_owned())]);
    assert!(kept);
    let expected = [FleetChange::Gone("i-1".to_owned())];
    assert_eq!(gone, if again { &[][..] } else { &expected[..] });
}

/// Guards against requests to a server that has left and whose entry came back with the store.
#[test]
fn a_restored_entry_of_a_removed_server_is_not_used() {
    let mut fleet = fleet_with_head();
    fleet.remove(at(500), version(BEFORE, 330), "i-1");

    let rows = vec![(version(AFTER, 111), written(head("i-1"), 20))];
    let restored = fleet.replace(at(1_000), version(AFTER, 240), rows);
    let repeated = fleet.put(version(AFTER, 238), written(head("i-1"), 24));
    let unused = fleet.get("i-1").is_none();
    let alive = fleet.put(version(AFTER, 260), written(head("i-1"), 25));

    assert_eq!(restored, []);
    assert_eq!(repeated, None);
    assert!(unused);
    assert_eq!(alive, Some(FleetChange::Appeared("i-1".to_owned())));
}

/// Guards against a running server that is never used again: its entry lapsed in the lost history,
/// and since the copy has one, it writes none.
#[test]
fn a_restored_entry_that_stays_in_the_store_is_used_after_a_while() {
    let mut fleet = fleet_with_head();
    fleet.remove(at(500), version(BEFORE, 330), "i-1");
    let rows = vec![(version(AFTER, 111), written(head("i-1"), 24))];
    fleet.replace(at(1_000), version(AFTER, 240), rows);

    let early = [fleet.expire(at(1_000)), fleet.expire(at(5_900))].concat();
    let late = fleet.expire(at(6_000));

    assert_eq!(early, []);
    assert_eq!(late, [FleetChange::Appeared("i-1".to_owned())]);
}

/// Guards against requests to a server whose entry came back with the copy and was removed again.
#[test]
fn a_restored_entry_that_is_removed_again_is_not_used() {
    let mut fleet = fleet_with_head();
    fleet.remove(at(500), version(BEFORE, 330), "i-1");
    let rows = vec![(version(AFTER, 111), written(head("i-1"), 24))];
    fleet.replace(at(1_000), version(AFTER, 240), rows);
    fleet.expire(at(1_000));

    fleet.remove(at(4_600), version(AFTER, 260), "i-1");

    assert_eq!(fleet.expire(at(9_000)), []);
}

/// Guards against a server that stays out of use after it was restarted in the lost history.
#[test]
fn a_restarted_server_is_used_again() {
    let mut fleet = fleet_with_head();
    fleet.remove(at(500), version(BEFORE, 330), "i-1");
    let mut restarted = written(engine("i-1", "f"), 1);
    restarted.born_ms += 1;

    let change = fleet.put(version(AFTER, 120), restarted);

    assert_eq!(change, Some(FleetChange::Appeared("i-1".to_owned())));
}

/// Guards against a leaving server that a restored row shows as ready, when its entries have no
/// numbers by which they could be told apart.
#[test]
fn a_leaving_server_stays_leaving_without_numbers_of_its_entries() {
    let mut fleet = FleetView::new();
    let mut leaving = engine("i-1", "f");
    leaving.leaving = true;
    fleet.put(version(BEFORE, 9), leaving);

    fleet.put(version(AFTER, 5), engine("i-1", "f"));

    assert!(fleet.get("i-1").unwrap().leaving);
}

/// Guards against rows of the lost history that a lagging node sends after the new ones.
#[test]
fn rows_of_the_lost_history_do_not_replace_new_ones() {
    let mut fleet = fleet_with_head();
    let mut leaving = written(head("i-1"), 36);
    leaving.leaving = true;
    fleet.put(version(AFTER, 252), leaving);

    let lagging = fleet.put(version(BEFORE, 900), written(head("i-1"), 40));
    let removal = fleet.remove(at(10), version(BEFORE, 901), "i-1");

    assert_eq!(lagging, None);
    assert_eq!(removal, None);
    assert!(fleet.get("i-1").unwrap().leaving);
}

/// Guards against a node that the store turns away and that does not ask a peer for the list,
/// because the numbers of the new history are lower than those it knows.
#[test]
fn a_version_of_a_later_era_is_not_covered() {
    let fleet = fleet_with_head();

    assert!(fleet.covers(version(BEFORE, 319)));
    assert!(!fleet.covers(version(AFTER, 5)));
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
