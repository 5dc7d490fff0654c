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

/// Groups have formed by then; faults begin and the meters start.
const START: Duration = Duration::from_mins(3);
/// End of a history.
const END: Duration = Duration::from_mins(9);
/// Histories that run at the same time.
const WORKERS: usize = 4;

/// Outcome of one history.
#[derive(Debug, Clone, Default)]
pub struct GroupRun {
    /// Sums of the meter.
    pub reading: MeterReading,
    /// Breaches of invariants.
    pub violations: Vec<String>,
}

/// Runs one seeded history.
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

/// Turns a setup into that of the naive version.
#[must_use]
pub fn naive(mut setup: WorldSetup) -> WorldSetup {
    setup.policy = naive_policy();
    setup.unloads_on_leave = true;
    setup
}

/// Sums over all seeds of both versions of one deployment.
#[derive(Debug, Default)]
struct DeploymentSums {
    full: MeterReading,
    naive: MeterReading,
    violations: u64,
}

/// Violations, ratios and costs of the group decisions.
#[must_use]
pub fn groups(first_seed: u64, seeds: u64) -> Vec<Figure> {
    let consorzio_sums = run_deployment("consorzio", consorzio, first_seed, seeds);
    let thirulipi_sums = run_deployment("thirulipi", thirulipi, first_seed, seeds);
    let violations = consorzio_sums.violations + thirulipi_sums.violations;
    let first = &consorzio_sums;
    let second = &thirulipi_sums;
    let mut figures = vec![
        Figure::new("groups.violations", count(violations), "count"),
        ratio(
            "consorzio.downtime_ratio",
            first.full.downtime,
            first.naive.downtime,
        ),
        ratio(
            "consorzio.downtime_over_bound",
            first.full.downtime,
            first.full.downtime_floor,
        ),
        ratio(
            "consorzio.stranded_ratio",
            first.full.stranded,
            first.naive.stranded,
        ),
        ratio(
            "thirulipi.stranded_ratio",
            second.full.stranded,
            second.naive.stranded,
        ),
        ratio(
            "thirulipi.stranded_over_bound",
            second.full.stranded,
            second.full.stranded_floor,
        ),
        ratio(
            "thirulipi.downtime_ratio",
            second.full.downtime,
            second.naive.downtime,
        ),
    ];
    figures.extend(groups_cost::plan_figures(first_seed));
    figures.extend(groups_cost::report_figures());
    figures
}

fn ratio(name: &str, value: f64, reference: f64) -> Figure {
    Figure::new(&format!("groups.{name}"), value / reference, "ratio")
}

fn run_deployment(
    name: &str,
    setup: fn(u64) -> WorldSetup,
    first: u64,
    seeds: u64,
) -> DeploymentSums {
    let next = AtomicU64::new(first);
    let sums = Mutex::new(DeploymentSums::default());
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + seeds {
                        return;
                    }
                    let full = run_history(&setup(seed), seed);
                    let simple = run_history(&naive(setup(seed)), seed);
                    for violation in &full.violations {
                        eprintln!("{name} seed {seed}: {violation}");
                    }
                    let mut sums = sums.lock().expect("no worker panics");
                    sums.violations += u64::try_from(full.violations.len()).unwrap_or(u64::MAX);
                    sums.full.add(&full.reading);
                    sums.naive.add(&simple.reading);
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
