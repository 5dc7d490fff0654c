//! Cases of a restored store that a review found for leases, in virtual time.

mod node_fixtures;

use {
    node_fixtures::at,
    toucanring::{
        core::lease::{LeaseAction, LeaseEvent, LeaseManager, LeaseRow, LeaseTiming},
        wire::TableRow,
    },
};

const ERA: u64 = 1;

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

fn answer(lease: &mut LeaseManager, millis: u64, era: u64, event: LeaseEvent) -> Vec<LeaseAction> {
    let mut out = step(lease, millis, LeaseEvent::EraSeen(era));
    out.extend(step(lease, millis, event));
    out
}

fn commit_of(actions: &[LeaseAction]) -> Option<(u64, u64)> {
    actions.iter().find_map(|action| match action {
        LeaseAction::Commit(request) => {
            let term = request.writes[0].value["term"].as_u64().unwrap();
            Some((term, request.conditions[0].version))
        }
        _ => None,
    })
}

fn manager(name: &str) -> LeaseManager {
    LeaseManager::new("kochi", name, LeaseTiming::default())
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
    assert_eq!(taken, None, "the lease is taken while node-1 has full rights");
}

/// Guards against a term that is given out twice in one era: a late write of the lost history, whose
/// condition holds again, lowers the term of the row.
#[test]
fn a_late_write_of_the_lost_history_does_not_free_a_term() {
    let mut taker = manager("node-2").with_distrusted_absence();
    let mut taken = None;
    for millis in (0..9_000).step_by(500) {
        step(&mut taker, millis, LeaseEvent::Tick);
        let actions = answer(&mut taker, millis + 4, ERA + 1, row(300, "node-0", 1, 1));
        if let Some(commit) = commit_of(&actions) {
            taken = Some(commit.0);
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

    assert!(taken.is_some());
    assert_ne!(again, taken);
}

/// Guards against the loss of a lease without a reason: the copy is newer than the last renewal, so
/// that the next one replaces the holder's own row.
#[test]
fn a_renewal_of_the_row_that_the_copy_has_keeps_the_lease() {
    let mut lease = manager("node-1");
    step(&mut lease, 0, LeaseEvent::Tick);
    answer(&mut lease, 4, ERA, LeaseEvent::Read(None));
    answer(&mut lease, 8, ERA, LeaseEvent::Committed(9));
    step(&mut lease, 1_010, LeaseEvent::Tick);

    let mut actions = answer(&mut lease, 1_020, ERA + 1, LeaseEvent::Committed(10));
    step(&mut lease, 1_030, LeaseEvent::Tick);
    actions.extend(answer(&mut lease, 1_040, ERA + 1, row(10, "node-1", 1, 2)));

    assert!(!actions.contains(&LeaseAction::Lost));
}
