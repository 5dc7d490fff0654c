//! Seeded histories of processes that contend for a lease while their store is restored from older
//! copies, in virtual time.

mod lease_world;

use lease_world::LeaseWorld;

/// Seeds that are played.
const SEEDS: std::ops::Range<u64> = 0..100;

/// Simulated length of a history in milliseconds.
const LENGTH_MS: u64 = 60_000;

/// Guards against two holders with full rights at the same time, and against a term that two
/// processes hold: a restored store forgets rows and gives their versions out again.
#[test]
fn a_lease_has_one_holder_and_each_term_one_process() {
    let mut restorations = 0;
    for seed in SEEDS {
        let mut world = LeaseWorld::new(seed);

        world.run(LENGTH_MS);

        assert_eq!(world.violations(), &[] as &[String], "seed {seed}");
        restorations += world.restorations();
    }

    assert!(restorations > SEEDS.end, "{restorations} restorations");
}

/// Guards against a lease that nobody holds for long after a restoration: the failure domain forms
/// no groups then.
#[test]
fn a_lease_is_held_most_of_the_time() {
    let mut held_ms = 0;
    for seed in SEEDS {
        let mut world = LeaseWorld::new(seed);

        world.run(LENGTH_MS);

        held_ms += world.held_ms();
    }

    let share = held_ms * 100 / (LENGTH_MS * (SEEDS.end - SEEDS.start));
    assert!(share >= 75, "held for {share} % of the time");
}
