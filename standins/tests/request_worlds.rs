//! Gateways, engines and callers together, in virtual time.

use {
    standins::{
        fakes::requests::{RequestWorld, WorldFault, WorldOutcome, WorldPlan},
        measure::{naive_desks, real_desks, weight_per_s},
    },
    std::time::Duration,
};

fn short(load: f64, seed: u64) -> WorldPlan {
    let mut plan = WorldPlan::at_load(load, seed);
    plan.duration = Duration::from_secs(25);
    plan
}

fn run(plan: &WorldPlan) -> WorldOutcome {
    RequestWorld::new(plan.clone(), real_desks(plan)).run()
}

// Guards against a request that crashes more than two groups in the whole
// system, and against requests beside it that do not complete.
#[test]
fn crashing_requests_take_two_groups_each() {
    for seed in 1..4 {
        let mut plan = short(0.5, seed);
        plan.poison_every = Some(400);
        let outcome = run(&plan);
        let poisons = outcome.records.iter().filter(|record| record.poison);
        for record in poisons.clone() {
            assert!(record.crashed <= 2, "{record:?}");
        }
        assert!(poisons.filter(|record| record.crashed > 0).count() > 0);
        let beside = outcome.records.iter().filter(|record| !record.poison);
        let (all, done) = beside.fold((0, 0), |(all, done), record| {
            (all + 1, done + u32::from(record.done.is_some()))
        });
        assert!(done * 1_000 >= all * 998, "{done} of {all} completed");
    }
}

// Guards against goodput that collapses at twice the capacity.
#[test]
fn overload_keeps_the_goodput() {
    let plan = short(2.0, 1);
    let outcome = run(&plan);
    let real = weight_per_s(&plan, &outcome);
    let naive = RequestWorld::new(plan.clone(), naive_desks(&plan)).run();
    let naive = weight_per_s(&plan, &naive);

    assert!(real >= 1.5 * naive, "{real} against {naive}");
    assert_eq!(outcome.left_open, 0);
}

// Guards against requests that are lost with a group or stay on a straggler.
#[test]
fn straggler_and_lost_group_cost_little() {
    let mut plan = short(0.8, 1);
    plan.faults = vec![
        (Duration::from_secs(5), WorldFault::Straggle(1, 4.0)),
        (Duration::from_secs(15), WorldFault::Lose(2)),
    ];
    let outcome = run(&plan);
    let counted = outcome.records.iter();
    let (all, done) = counted.fold((0, 0), |(all, done), record| {
        (all + 1, done + u32::from(record.completed()))
    });
    assert!(done * 100 >= all * 95, "{done} of {all} completed");
}
