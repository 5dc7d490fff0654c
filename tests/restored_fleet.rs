//! The list of backend servers after the store was restored from an older copy, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{at, head},
    rstest::rstest,
    toucanring::core::{
        fleet::{FleetChange, FleetView},
        store::StoreVersion,
    },
};

const BEFORE: u64 = 1;
const AFTER: u64 = 2;

const fn version(era: u64, number: u64) -> StoreVersion {
    StoreVersion::new(era, number)
}

/// A fleet that knows the head of an open group from the history that was lost.
fn fleet_with_head() -> FleetView {
    let mut fleet = FleetView::new();
    let entry = head("i-1");
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
    let mut leaving = head("i-1");
    leaving.leaving = true;

    let change = fleet.put(version(AFTER, 317), leaving);

    assert_eq!(change, Some(FleetChange::Changed("i-1".to_owned())));
    assert!(fleet.get("i-1").unwrap().leaving);
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
        fleet.put(version(AFTER, 250), head("i-1"));
    }
    let kept = fleet.get("i-1").is_some();
    let gone = fleet.expire(at(3_100));

    assert_eq!(changes, [FleetChange::Unconfirmed("i-1".to_owned())]);
    assert!(kept);
    let expected = [FleetChange::Gone("i-1".to_owned())];
    assert_eq!(gone, if again { &[][..] } else { &expected[..] });
}

/// Guards against rows of the lost history that a lagging node sends after the new ones.
#[test]
fn rows_of_the_lost_history_do_not_replace_new_ones() {
    let mut fleet = fleet_with_head();
    let mut leaving = head("i-1");
    leaving.leaving = true;
    fleet.put(version(AFTER, 252), leaving);

    let lagging = fleet.put(version(BEFORE, 900), head("i-1"));
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
