//! Entries that the store writes late, after newer ones of the same server, in virtual time.

mod engine_world;
mod node_fixtures;

use {
    engine_world::{EngineWorld, OrderFate},
    node_fixtures::{at, engine, head, model, profile, row_version},
    rstest::rstest,
    toucanring::core::fleet::{BackendEntry, FleetChange, FleetView},
};

/// An entry of the start at `born_ms` as the server wrote it for the `count`th time.
fn written(mut entry: BackendEntry, born_ms: u64, count: u64) -> BackendEntry {
    entry.born_ms = born_ms;
    entry.write_count = count;
    entry
}

/// A fleet that knows the head of an open group, which started at 5,000 ms.
fn fleet_with_head() -> FleetView {
    let mut fleet = FleetView::new();
    fleet.put(row_version(10), written(head("i-1"), 5_000, 7));
    fleet
}

/// Guards against an open group that is dissolved, and its head ordered into another group, because
/// the store wrote an entry of the head's former start late (review, case 8).
#[test]
fn the_head_of_an_open_group_is_not_free_after_a_late_entry_of_its_former_start() {
    let models = vec![model("m-0", 2, 1.0)];
    let mut world = EngineWorld::new(4, profile(models), Box::new(|_, _, _| OrderFate::Answered));
    world.run(at(4_000));
    let members = world.members_of(&world.whole_heads()[0]);
    for member in &members {
        world.crash(member, Some(at(5_500)));
    }
    world.suspect_group_of(&members[0]);
    world.run(at(800));
    for member in &members {
        world.restart(member);
    }
    world.run(at(4_500));
    let heads = world.whole_heads();

    world.run(at(6_000));

    assert_eq!(heads.len(), 2);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.whole_heads(), heads, "the groups stay");
}

/// Guards against the use of a late entry in place of one that the server wrote after it: of a
/// former start, or of the same one before it said that it is leaving (DRAIN). An entry of another
/// writer, without start time and number, is no restart either (review, case 7).
#[rstest]
#[case::former_start(4_000, 90)]
#[case::same_start(5_000, 6)]
#[case::without_start_and_number(0, 0)]
fn an_entry_from_before_the_known_one_changes_nothing(#[case] born_ms: u64, #[case] count: u64) {
    let mut fleet = fleet_with_head();
    let mut known = written(head("i-1"), 5_000, 7);
    known.leaving = true;
    fleet.put(row_version(11), known.clone());

    let change = fleet.put(row_version(20), written(engine("i-1", "f"), born_ms, count));

    assert_eq!(change, None);
    assert_eq!(fleet.get("i-1"), Some(&known));
    assert!(fleet.covers(row_version(20)));
}

/// Guards against a server that is removed for good although it still writes entries.
#[test]
fn the_next_entry_after_a_late_one_is_used() {
    let mut fleet = fleet_with_head();
    fleet.put(row_version(20), written(engine("i-1", "f"), 4_000, 90));
    fleet.expire(at(0));

    fleet.put(row_version(21), written(head("i-1"), 5_000, 8));

    assert_eq!(fleet.expire(at(60_000)), []);
    assert_eq!(fleet.get_known("i-1").unwrap().version, row_version(21));
}

/// Guards against an entry that stays after its row was removed, when the store had written a late
/// one in between.
#[test]
fn a_removal_after_a_late_entry_counts() {
    let mut fleet = fleet_with_head();
    fleet.put(row_version(20), written(engine("i-1", "f"), 4_000, 90));

    let change = fleet.remove(at(3_600), row_version(21), "i-1");

    assert_eq!(change, Some(FleetChange::Gone("i-1".to_owned())));
    assert_eq!(fleet.expire(at(60_000)), []);
}

/// Guards against requests to a server that has left, because the store wrote an entry of its former
/// start after the removal.
#[test]
fn a_late_entry_of_a_former_start_does_not_bring_a_server_back() {
    let mut fleet = fleet_with_head();
    fleet.remove(at(100), row_version(11), "i-1");

    let late = fleet.put(row_version(20), written(head("i-1"), 4_000, 90));
    let again = fleet.put(row_version(21), written(head("i-1"), 5_000, 8));

    assert_eq!(late, None);
    assert_eq!(again, Some(FleetChange::Appeared("i-1".to_owned())));
}

/// Guards against a server that is never used again because it started with a clock that is behind
/// that of its former start: it writes on, and nothing else writes its row.
#[test]
fn a_server_that_goes_on_writing_entries_of_an_earlier_start_time_is_used() {
    let mut fleet = fleet_with_head();
    let mut changes = Vec::new();
    for beat in 0..6 {
        let entry = written(engine("i-1", "f"), 4_000, beat + 1);
        changes.extend(fleet.put(row_version(20 + beat), entry));
        changes.extend(fleet.expire(at(beat * 1_200)));
    }

    assert_eq!(changes, [FleetChange::Appeared("i-1".to_owned())]);
    let next = fleet.put(row_version(30), written(head("i-1"), 4_000, 7));
    assert_eq!(next, Some(FleetChange::Changed("i-1".to_owned())));
}
