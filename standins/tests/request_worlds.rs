//! Simulated gateways, engines and callers together, in virtual time.

use {
    standins::{
        fakes::requests::{RequestWorld, WorldFault, WorldOutcome, WorldPlan},
        measure::{naive_dispatch_ports, real_dispatch_ports, weight_per_s},
    },
    std::time::Duration,
};

fn short_plan(load: f64, seed: u64) -> WorldPlan {
    let mut plan = WorldPlan::at_load(load, seed);
    plan.duration = Duration::from_secs(25);
    plan
}

fn run_real(plan: &WorldPlan) -> WorldOutcome {
    RequestWorld::new(plan.clone(), real_dispatch_ports(plan)).run()
}

// Guards against a request that is retried until it has crashed more than two groups, whichever
// gateway it comes through, and against failures of the requests that share engines with it.
// Its caller sends it again after each refusal.
#[test]
fn a_poison_request_crashes_at_most_two_groups() {
    for seed in 1..4 {
        let mut plan = short_plan(0.5, seed);
        plan.poison_interval = Some(400);
        let outcome = run_real(&plan);
        let poisons = outcome.records.iter().filter(|record| record.poison);
        for record in poisons.clone() {
            assert!(record.crashed <= 2, "{record:?}");
        }
        assert!(poisons.filter(|record| record.crashed > 0).count() > 0);
        let others = outcome.records.iter().filter(|record| !record.poison);
        let (all, done) = others.fold((0, 0), |(all, done), record| {
            (all + 1, done + u32::from(record.done.is_some()))
        });
        assert!(done * 1_000 >= all * 998, "{done} of {all} completed");
    }
}

// Guards against goodput that collapses at twice the capacity: it must be half as high again as
// that of the naive dispatcher.
#[test]
fn overload_keeps_the_goodput() {
    let plan = short_plan(2.0, 1);
    let outcome = run_real(&plan);
    let real_goodput = weight_per_s(&plan, &outcome);
    let naive_outcome = RequestWorld::new(plan.clone(), naive_dispatch_ports(&plan)).run();
    let naive_goodput = weight_per_s(&plan, &naive_outcome);

    assert!(
        real_goodput >= 1.5 * naive_goodput,
        "real dispatcher {real_goodput}, naive dispatcher {naive_goodput}"
    );
    assert_eq!(outcome.open_at_end, 0);
}

// Guards against requests that fail because their group is lost or is a straggler.
#[test]
fn straggler_and_lost_group_cost_little() {
    let mut plan = short_plan(0.8, 1);
    plan.faults = vec![
        (Duration::from_secs(5), WorldFault::Straggle(1, 4.0)),
        (Duration::from_secs(15), WorldFault::Lose(2)),
    ];
    let outcome = run_real(&plan);
    let records = outcome.records.iter();
    let (all, done) = records.fold((0, 0), |(all, done), record| {
        (all + 1, done + u32::from(record.completed()))
    });
    assert!(done * 100 >= all * 95, "{done} of {all} completed");
}
