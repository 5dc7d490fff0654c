//! Replays of cold servers: many nodes, each with its own decision, its own clock and its own list of
//! living nodes.

mod cold_world;

use {
    cold_world::{ColdWorld, Scenario, at},
    rstest::rstest,
    toucanring::core::cold::{ColdBound, PermitPlan},
};

/// Runs a scenario and checks the requests at each server in any second and the use of the permitted
/// rate over all servers.
fn check(scenario: Scenario) {
    let max_in_second = scenario.bound.max_in_second(scenario.per_s);
    let mut world = ColdWorld::new(scenario);

    world.run();

    let most = world.most_in_second();
    assert!(
        f64::from(most) <= max_in_second,
        "{most} requests in a second, {max_in_second} permitted"
    );
    let used = world.used_share();
    assert!(used >= 0.8, "{used:.3} of the tolerated rate was used");
}

/// Guards against too many requests at a server while nodes that cannot hear each other send to it,
/// and against a cold failure domain that is hardly used.
#[rstest]
#[case::long_before(at(500))]
#[case::before(at(2_500))]
#[case::during(at(4_000))]
fn a_cold_failure_domain_gets_its_rate_with_a_third_cut_off(
    #[values(22, 130)] nodes: usize,
    #[case] cut_at: std::time::Duration,
) {
    check(Scenario {
        nodes,
        cut_at: Some(cut_at),
        ..Scenario::default()
    });
}

/// Guards against a cold time that passes while the shares of the nodes that were cut off are unused.
#[rstest]
fn a_cold_time_of_three_seconds_after_a_cut_is_used(#[values(22, 130)] nodes: usize) {
    check(Scenario {
        nodes,
        cut_at: Some(at(500)),
        cold_for: at(3_000),
        ..Scenario::default()
    });
}

/// Guards against nodes that use the share of a node that has only just been lost, or that count
/// themselves among the senders before they know the others.
#[rstest]
fn a_cold_failure_domain_gets_its_rate_while_nodes_start_and_are_lost(
    #[values(22, 130)] nodes: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    check(Scenario {
        nodes,
        late_starts: nodes / 8,
        losses: nodes / 8,
        seed,
        ..Scenario::default()
    });
}

/// Guards against senders beyond the plan while nodes differ in their lists of living nodes.
#[rstest]
fn a_cold_failure_domain_gets_its_rate_while_lists_differ(
    #[values(22, 130)] nodes: usize,
    #[values(0.05, 0.2)] deaf_share: f64,
) {
    check(Scenario {
        nodes,
        deaf_share,
        ..Scenario::default()
    });
}

/// Guards against a plan that fits the figures of one deployment only.
#[rstest]
#[case::slow(2.0, 1.0, 1.0)]
#[case::slow_with_overage(2.0, 1.5, 1.0)]
#[case::without_tolerance(14.0, 1.0, 0.0)]
#[case::fast(200.0, 1.5, 5.0)]
#[case::fast_without_tolerance(200.0, 1.0, 0.0)]
fn other_rates_and_bounds_are_kept(
    #[values(1, 2, 3, 5, 22, 57)] nodes: usize,
    #[case] per_s: f64,
    #[case] overage: f64,
    #[case] tolerance: f64,
) {
    check(Scenario {
        nodes,
        servers: 20,
        per_s,
        bound: ColdBound { overage, tolerance },
        demand: 4.0,
        ..Scenario::default()
    });
}

/// Guards against a plan without a reserve for lists that differ where there could be one, and
/// against a single sender, with which the server loses its whole rate.
#[rstest]
#[case::usual(14.0, 26.0, 22, 17, 9)]
#[case::few_nodes(14.0, 26.0, 3, 3, 2)]
#[case::no_room_for_a_reserve(14.0, 14.0, 8, 7, 0)]
#[case::lower_rate_for_a_reserve(14.0, 14.0, 22, 13, 1)]
fn plans_have_senders_and_a_reserve(
    #[case] per_s: f64,
    #[case] max_in_second: f64,
    #[case] nodes: usize,
    #[case] senders: usize,
    #[case] reserve: usize,
) {
    let plan = PermitPlan::choose(per_s, max_in_second, nodes).unwrap();

    assert_eq!((plan.senders, plan.reserve), (senders, reserve));
}

/// Guards against one request a second where the bound permits less.
#[test]
fn a_bound_below_one_request_permits_none() {
    assert_eq!(PermitPlan::choose(0.5, 0.5, 22), None);
}
