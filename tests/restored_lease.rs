//! The lease of a failure domain after the store was restored from an older copy, in virtual time.

mod node_fixtures;

use {
    node_fixtures::at,
    rstest::rstest,
    toucanring::{
        core::lease::{
            LeaseAction, LeaseEvent, LeaseManager, LeaseRights, LeaseRow, LeaseTiming,
            first_term_of,
        },
        wire::TableRow,
    },
};

/// Era of the store before the restoration; the next one follows it.
const ERA: u64 = 1;

/// Time that a contender waits before it takes a lease over, with the default timing.
const WATCH_MS: u64 = 4_500;

/// Result of a read: a row with this version, holder, term and number of the renewal.
fn row(version: u64, holder: &str, term: u64, renewal: u64) -> LeaseEvent {
    let row = LeaseRow {
        holder: holder.to_owned(),
        term,
        renewal,
    };
    LeaseEvent::Read(Some(TableRow {
        key: "lease/kochi".to_owned(),
        version,
        value: serde_json::to_value(row).unwrap(),
    }))
}

fn step(lease: &mut LeaseManager, millis: u64, event: LeaseEvent) -> Vec<LeaseAction> {
    let mut out = Vec::new();
    lease.step(at(millis), event, &mut out);
    out
}

/// Gives the manager the result of a call in an era of the store.
fn answer(lease: &mut LeaseManager, millis: u64, era: u64, event: LeaseEvent) -> Vec<LeaseAction> {
    let mut out = step(lease, millis, LeaseEvent::EraSeen(era));
    out.extend(step(lease, millis, event));
    out
}

fn manager(name: &str) -> LeaseManager {
    LeaseManager::new("kochi", name, LeaseTiming::default())
}

/// A holder of term 1 whose row has version 9; its lease lasts until 4,004 ms.
fn holder() -> LeaseManager {
    let mut lease = manager("node-1");
    step(&mut lease, 0, LeaseEvent::Tick);
    answer(&mut lease, 4, ERA, LeaseEvent::Read(None));
    answer(&mut lease, 8, ERA, LeaseEvent::Committed(9));
    lease
}

/// Term and version of the commit among the actions.
fn commit_of(actions: &[LeaseAction]) -> Option<(u64, u64)> {
    actions.iter().find_map(|action| match action {
        LeaseAction::Commit(request) => {
            let term = request.writes[0].value["term"].as_u64().unwrap();
            Some((term, request.conditions[0].version))
        }
        _ => None,
    })
}

/// Guards against a holder that reads for ever because the version of its row went back: no orders
/// to engines for the rest of the day (campanari-rete, a drill of 2 s, seed 5).
#[rstest]
#[case::an_earlier_renewal(row(5, "node-1", 1, 0), 5)]
#[case::an_earlier_holder(row(4, "node-0", 0, 7), 4)]
#[case::lost(LeaseEvent::Read(None), 0)]
fn a_holder_writes_its_row_again_under_its_term(#[case] read: LeaseEvent, #[case] version: u64) {
    let mut lease = holder();
    step(&mut lease, 1_010, LeaseEvent::Tick);
    answer(&mut lease, 1_020, ERA + 1, LeaseEvent::Conflict(Vec::new()));

    step(&mut lease, 1_030, LeaseEvent::Tick);
    let actions = answer(&mut lease, 1_040, ERA + 1, read);
    let before = lease.rights(at(1_040));
    answer(&mut lease, 1_050, ERA + 1, LeaseEvent::Committed(6));

    assert_eq!(commit_of(&actions), Some((1, version)));
    assert_eq!(before, LeaseRights::Full { term: 1 });
    assert_eq!(lease.rights(at(4_800)), LeaseRights::Full { term: 1 });
}

/// Guards against two holders: another process acquired the lease in the new history, or may have
/// done so and had its row replaced by a renewal of this process.
#[rstest]
#[case::a_later_term(row(7, "node-2", 2, 1))]
#[case::an_unconfirmed_renewal(row(7, "node-1", 1, 2))]
#[case::not_a_lease(LeaseEvent::Read(Some(TableRow {
    key: "lease/kochi".to_owned(),
    version: 7,
    value: serde_json::Value::Null,
})))]
fn a_holder_gives_the_lease_up_when_another_may_have_acquired_it(#[case] read: LeaseEvent) {
    let mut lease = holder();
    step(&mut lease, 1_010, LeaseEvent::Tick);
    step(&mut lease, 1_020, LeaseEvent::CallFailed);

    step(&mut lease, 1_400, LeaseEvent::Tick);
    let actions = answer(&mut lease, 1_410, ERA + 1, read);

    assert_eq!(actions, [LeaseAction::Lost]);
    assert_eq!(lease.rights(at(1_410)), LeaseRights::None);
}

/// Guards against a holder that stood still past its lease and takes it back from a restored row:
/// the lost history may have named another holder.
#[test]
fn a_holder_whose_rights_have_ended_contends_anew() {
    let mut lease = holder();

    step(&mut lease, 9_000, LeaseEvent::Tick);
    let actions = answer(&mut lease, 9_010, ERA + 1, row(5, "node-1", 1, 1));

    assert_eq!(actions, [LeaseAction::Lost]);
}

/// Guards against a renewal whose condition named a version of the lost history that the new one
/// has given to the row of another holder.
#[test]
fn a_commit_under_a_version_of_the_lost_history_confirms_nothing() {
    let mut lease = holder();
    step(&mut lease, 1_010, LeaseEvent::Tick);

    let actions = answer(&mut lease, 1_020, ERA + 1, LeaseEvent::Committed(10));

    assert_eq!(actions, [LeaseAction::Lost]);
}

/// Guards against a contender that takes the lease at once, while its holder still has rights: the
/// store lost the row, or shows one that no longer changes since an earlier time.
#[rstest]
#[case::lost(LeaseEvent::Read(None))]
#[case::restored(row(5, "node-1", 1, 1))]
fn a_contender_waits_for_a_whole_lease_in_a_new_era(#[case] read: LeaseEvent) {
    let mut lease = manager("node-2");
    step(&mut lease, 0, LeaseEvent::Tick);
    answer(&mut lease, 4, ERA, row(9, "node-1", 1, 1));

    let mut taken_at = None;
    for millis in (4_000..10_000).step_by(500) {
        step(&mut lease, millis, LeaseEvent::Tick);
        let actions = answer(&mut lease, millis + 4, ERA + 1, read.clone());
        if commit_of(&actions).is_some() {
            taken_at = Some(millis);
            break;
        }
    }

    let waited = taken_at.unwrap() - 4_000;
    assert!((WATCH_MS..=WATCH_MS + 500).contains(&waited), "{waited}");
}

/// Guards against a term that is given out twice: engines accept the orders of both holders, and
/// their groups get the same epochs.
#[rstest]
#[case::restarted_since(true)]
#[case::alive_since(false)]
fn a_term_of_the_lost_history_is_not_given_out_again(#[case] restarted: bool) {
    let mut lease = manager("node-2");
    if restarted {
        lease = lease.with_distrusted_absence();
    } else {
        step(&mut lease, 0, LeaseEvent::Tick);
        answer(&mut lease, 4, ERA, row(3, "node-0", 1, 1));
    }

    let mut commits = Vec::new();
    for millis in (4_000..10_000).step_by(500) {
        step(&mut lease, millis, LeaseEvent::Tick);
        let actions = answer(&mut lease, millis + 4, ERA + 1, row(3, "node-0", 1, 1));
        commits.extend(commit_of(&actions));
    }

    let (term, _) = commits[0];
    assert!(term >= first_term_of(ERA + 1));
}

/// Guards against two holders of one term: a node of the first start that does not reach the store
/// until it was restored takes the missing row for that of a new deployment.
#[test]
fn a_node_that_first_reads_a_restored_store_does_not_repeat_the_term() {
    let mut first = manager("node-1");
    step(&mut first, 0, LeaseEvent::Tick);
    let acquired = answer(&mut first, 4, ERA, LeaseEvent::Read(None));
    answer(&mut first, 8, ERA, LeaseEvent::Committed(9));
    let mut second = manager("node-2");
    step(&mut second, 0, LeaseEvent::Tick);
    step(&mut second, 100, LeaseEvent::CallFailed);

    step(&mut second, 1_000, LeaseEvent::Tick);
    let actions = answer(&mut second, 1_010, ERA + 1, LeaseEvent::Read(None));

    let taken = commit_of(&actions).map(|(term, _)| term);
    assert_ne!(taken, commit_of(&acquired).map(|(term, _)| term));
    assert_eq!(
        taken, None,
        "the lease is taken while node-1 has full rights"
    );
}

/// Guards against a term that is given out twice in one era: a late write of the lost history, whose
/// condition holds again, lowers the term of the row.
#[test]
fn a_late_write_of_the_lost_history_does_not_free_a_term() {
    let mut earlier = manager("node-2").with_distrusted_absence();
    let mut first_term = None;
    for millis in (0..9_000).step_by(500) {
        step(&mut earlier, millis, LeaseEvent::Tick);
        let actions = answer(&mut earlier, millis + 4, ERA + 1, row(300, "node-0", 1, 1));
        if let Some(commit) = commit_of(&actions) {
            first_term = Some(commit.0);
            break;
        }
    }
    // The row of node-2 has version 320. A write of node-0 of the lost history names 320.
    let mut later = manager("node-3").with_distrusted_absence();
    let mut again = None;
    for millis in (0..9_000).step_by(500) {
        step(&mut later, millis, LeaseEvent::Tick);
        let actions = answer(&mut later, millis + 4, ERA + 1, row(330, "node-0", 1, 2));
        if let Some(commit) = commit_of(&actions) {
            again = Some(commit.0);
            break;
        }
    }

    assert!(first_term.is_some());
    assert_ne!(again, first_term);
}
