//! Seeded histories of failures, run by the group keeper and by the naive
//! version in virtual time. The seed in a failure's message repeats it.

use {
    standins::{
        fakes::groups::{
            MeterReading, WorldFault, WorldSetup, consorzio, seeded_faults, thirulipi,
        },
        measure::naive,
    },
    std::time::Duration,
};

const START: Duration = Duration::from_mins(1);
const END: Duration = Duration::from_mins(3);

fn run(setup: &WorldSetup, seed: u64) -> (MeterReading, Vec<String>) {
    let mut world = setup.build();
    world.meter.start = START;
    seeded_faults(&mut world, seed, START, END);
    world.run_until(END);
    (world.meter.reading, world.check.violations)
}

/// One failure domain, so that a history takes a second without optimisation.
fn one_domain(mut setup: WorldSetup) -> WorldSetup {
    setup.domains.truncate(1);
    setup
}

fn mixed(setup: WorldSetup) -> WorldSetup {
    WorldSetup {
        unchecked_every: 4,
        ..one_domain(setup)
    }
}

// Guards against groups that serve incomplete, instances in two groups and
// joins of former holders, with servers that check fencing numbers and others
// mixed in every group.
#[test]
fn no_history_breaks_an_invariant() {
    for seed in 1_001..1_009 {
        for setup in [consorzio(seed), thirulipi(seed)] {
            let (_, violations) = run(&mixed(setup), seed);

            assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
        }
    }
}

// Guards against decisions that are worse than the naive ones in what the operator weighs more.
#[test]
fn the_weighed_cost_is_below_that_of_the_naive_version() {
    let mut full = (0.0, 0.0);
    let mut simple = (0.0, 0.0);
    for seed in 1_001..1_007 {
        full.0 += run(&one_domain(consorzio(seed)), seed).0.downtime;
        simple.0 += run(&naive(one_domain(consorzio(seed))), seed).0.downtime;
        full.1 += run(&one_domain(thirulipi(seed)), seed).0.stranded;
        simple.1 += run(&naive(one_domain(thirulipi(seed))), seed).0.stranded;
    }

    assert!(
        full.0 < simple.0 * 0.5,
        "downtime {} of {}",
        full.0,
        simple.0
    );
    assert!(
        full.1 < simple.1 * 0.6,
        "stranded {} of {}",
        full.1,
        simple.1
    );
}

// Guards against rows that a holder forgets, and entries that a new holder
// publishes before it has fenced, while commits take effect late. Each of
// these seeds broke an invariant before the cause was corrected.
#[test]
fn late_commits_leave_one_row_for_each_group() {
    for seed in [171, 205, 236, 268] {
        let mut world = one_domain(thirulipi(seed)).build();
        seeded_faults(&mut world, seed, START, END);
        for moment in [70, 95, 120, 145] {
            let late = WorldFault::SlowCommits(Duration::from_millis(4_500));
            world.fault(Duration::from_secs(moment), late);
        }
        world.run_until(END);

        assert_eq!(world.check.violations, Vec::<String>::new(), "seed {seed}");
    }
}
