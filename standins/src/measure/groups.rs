use {
    super::{Figure, groups_cost},
    crate::{
        fakes::groups::{MeterReading, WorldSetup, consorzio, seeded_faults, thirulipi},
        naive::naive_policy,
    },
    std::{
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Virtual time at which the faults and the meter start; all groups have formed by then.
const START: Duration = Duration::from_mins(3);
/// Virtual time at which a history ends.
const END: Duration = Duration::from_mins(9);
/// Number of threads that run histories.
const WORKERS: usize = 4;

/// Outcome of one history.
#[derive(Debug, Clone, Default)]
pub struct GroupRun {
    /// Downtime and stranded accelerators from the start of the faults to the end.
    pub reading: MeterReading,
    /// Violated invariants in order of time, at most 100; empty when all held.
    pub violations: Vec<String>,
}

/// Runs one history of random faults in virtual time; the seed decides the faults.
#[must_use]
pub fn run_history(setup: &WorldSetup, seed: u64) -> GroupRun {
    let mut world = setup.build();
    world.meter.start = START;
    seeded_faults(&mut world, seed, START, END);
    world.run_until(END);
    GroupRun {
        reading: world.meter.reading,
        violations: world.check.violations,
    }
}

/// Changes a setup to the naive policy: controllers decide by it, and instances lose their shard
/// when they leave a group.
#[must_use]
pub fn naive(mut setup: WorldSetup) -> WorldSetup {
    setup.policy = naive_policy();
    setup.unloads_on_leave = true;
    setup
}

/// Results of the real and the naive policy at one deployment, summed over all seeds; only
/// violations under the real policy are counted.
#[derive(Debug, Default)]
struct DeploymentSums {
    real: MeterReading,
    naive: MeterReading,
    violations: u64,
}

/// Measures the group decisions: violated invariants, downtime and stranded accelerators compared
/// with the naive policy and with their lower bounds, and processor time.
///
/// Runs the histories of the seeds from `first_seed` to `first_seed + seeds - 1`.
#[must_use]
pub fn groups(first_seed: u64, seeds: u64) -> Vec<Figure> {
    let consorzio_sums = run_deployment("consorzio", consorzio, first_seed, seeds);
    let thirulipi_sums = run_deployment("thirulipi", thirulipi, first_seed, seeds);
    let violations = consorzio_sums.violations + thirulipi_sums.violations;
    let at_consorzio = &consorzio_sums;
    let at_thirulipi = &thirulipi_sums;
    let mut figures = vec![
        Figure::new("groups.violations", count(violations), "count"),
        ratio(
            "consorzio.downtime_ratio",
            at_consorzio.real.downtime,
            at_consorzio.naive.downtime,
        ),
        ratio(
            "consorzio.downtime_over_bound",
            at_consorzio.real.downtime,
            at_consorzio.real.downtime_floor,
        ),
        ratio(
            "consorzio.stranded_ratio",
            at_consorzio.real.stranded,
            at_consorzio.naive.stranded,
        ),
        ratio(
            "thirulipi.stranded_ratio",
            at_thirulipi.real.stranded,
            at_thirulipi.naive.stranded,
        ),
        ratio(
            "thirulipi.stranded_over_bound",
            at_thirulipi.real.stranded,
            at_thirulipi.real.stranded_floor,
        ),
        ratio(
            "thirulipi.downtime_ratio",
            at_thirulipi.real.downtime,
            at_thirulipi.naive.downtime,
        ),
    ];
    figures.extend(groups_cost::plan_figures(first_seed));
    figures.extend(groups_cost::report_figures());
    figures
}

fn ratio(name: &str, value: f64, reference: f64) -> Figure {
    Figure::new(&format!("groups.{name}"), value / reference, "ratio")
}

/// Runs the histories of all seeds on [`WORKERS`] threads and prints each violation.
fn run_deployment(
    name: &str,
    setup: fn(u64) -> WorldSetup,
    first_seed: u64,
    seeds: u64,
) -> DeploymentSums {
    let next_seed = AtomicU64::new(first_seed);
    let sums = Mutex::new(DeploymentSums::default());
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= first_seed + seeds {
                        return;
                    }
                    let real = run_history(&setup(seed), seed);
                    let baseline = run_history(&naive(setup(seed)), seed);
                    for violation in &real.violations {
                        eprintln!("{name} seed {seed}: {violation}");
                    }
                    let mut sums = sums.lock().expect("no worker panics");
                    sums.violations += u64::try_from(real.violations.len()).unwrap_or(u64::MAX);
                    sums.real.add(&real.reading);
                    sums.naive.add(&baseline.reading);
                }
            });
        }
    });
    sums.into_inner().expect("no worker panics")
}

#[allow(clippy::cast_precision_loss)] // small counts
fn count(number: u64) -> f64 {
    number as f64
}
