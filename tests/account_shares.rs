//! Replays of accounts that compete for a capacity that is too small.

// Each test file uses only some of the fixtures.
mod node_fixtures;
mod share_world;

use {
    rstest::rstest,
    share_world::{Demand, GROUP_RATE, ShareWorld, Tally},
    std::time::Duration,
};

/// Groups in front of a number of nodes.
fn groups_for(nodes: usize) -> usize {
    if nodes > 6 { 24 } else { 12 }
}

fn demand(rate: f64) -> Demand {
    Demand {
        rate,
        priority: 1,
        hasty_retries: 0,
    }
}

/// 24 accounts that offer `load` times the capacity of the groups: three large ones, six of medium
/// size, and fifteen small ones.
fn skewed(groups: usize, load: f64) -> Vec<Demand> {
    let mut weights = vec![20.0; 3];
    weights.extend([3.0; 6]);
    weights.extend([1.0; 15]);
    let total: f64 = weights.iter().sum();
    #[allow(clippy::cast_precision_loss)]
    let rate = load * GROUP_RATE * groups as f64 / total;
    weights
        .into_iter()
        .map(|weight| demand(weight * rate))
        .collect()
}

/// Fair level of the work that was served: accounts get what they offer or the level.
fn fair_level(tallies: &[Tally]) -> f64 {
    let served: f64 = tallies.iter().map(|tally| tally.served).sum();
    let (mut low, mut high) = (0.0, served);
    for _ in 0..60 {
        let level = f64::midpoint(low, high);
        let used: f64 = tallies.iter().map(|tally| tally.offered.min(level)).sum();
        if used < served {
            low = level;
        } else {
            high = level;
        }
    }
    low
}

/// Served work of each account relative to its fair share, the smallest account first.
fn fair_parts(tallies: &[Tally]) -> Vec<f64> {
    let level = fair_level(tallies);
    let mut tallies = tallies.to_vec();
    tallies.sort_by(|one, other| one.offered.total_cmp(&other.offered));
    let parts = tallies
        .iter()
        .map(|tally| tally.served / tally.offered.min(level).max(1.0));
    parts.collect()
}

fn mean(parts: &[f64]) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let count = parts.len() as f64;
    parts.iter().sum::<f64>() / count
}

/// A site with skewed accounts whose counts have settled, measured for some time.
fn overloaded_site(nodes: usize, seconds: u64, with_shares: bool) -> ShareWorld {
    let groups = groups_for(nodes);
    let mut world = ShareWorld::new(nodes, groups, skewed(groups, 2.0), with_shares);
    world.measure(Duration::from_secs(10));
    world.measure(Duration::from_secs(seconds));
    world
}

/// Guards against an overload by a few large accounts that rejects the requests of all accounts
/// alike: without shares the smallest tenth gets half of its fair share, the largest twice its own.
#[rstest]
#[case::few_nodes(6, 60)]
#[case::many_nodes(66, 20)]
fn accounts_get_even_shares_at_twice_the_capacity(#[case] nodes: usize, #[case] seconds: u64) {
    let before = fair_parts(&overloaded_site(nodes, seconds, false).tallies_of(0));
    let world = overloaded_site(nodes, seconds, true);

    let after = fair_parts(&world.tallies_of(0));
    let spread = |parts: &[f64]| (mean(&parts[21..]) - mean(&parts[..3])).abs();
    println!(
        "{nodes} nodes: {:.2} before, {:.2} after; slots used {:.3}; {after:.2?}",
        spread(&before),
        spread(&after),
        world.busy_share()
    );

    assert!(spread(&before) > 1.0, "{before:.2?}");
    assert!(spread(&after) <= 0.1, "{after:.2?}");
    assert!(
        after.iter().all(|part| (0.9..=1.1).contains(part)),
        "{after:.2?}"
    );
    assert!(world.busy_share() >= 0.95, "{:.3}", world.busy_share());
}
