//! Replays of accounts that compete for a capacity that is too small.

// Each test file uses only some of the fixtures.
mod node_fixtures;
mod share_world;

use {
    rstest::rstest,
    share_world::{Demand, GROUP_RATE, ShareWorld, Tally},
    std::time::Duration,
    toucanring::core::{
        fairness::{
            AccountCount, AccountShares, AccountTag, CountSource, ModelTag, ReportScope,
            ShareClass, ShareReport, report_turn,
        },
        placement::{PlacementRequest, WaitQueue},
    },
};

const MODEL: ModelTag = ModelTag(1);

fn class(account: u32) -> ShareClass {
    ShareClass::new(MODEL, 1, AccountTag(account))
}

/// Counts of one node with a shortage at 10 s: account 1 offers 900 ms and account 2 100 ms of
/// work, of which 500 ms were served.
fn short_node() -> AccountShares {
    let now = Duration::from_secs(10);
    let mut shares = AccountShares::default();
    shares.count_offered(now, class(1), 900.0);
    shares.count_offered(now, class(2), 100.0);
    shares.count_served(now, class(1), 500.0);
    shares.note_lack(now, MODEL);
    shares.tick(now);
    shares
}

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

/// A site whose counts have settled, measured for some time.
fn settled_site(nodes: usize, seconds: u64, demands: Vec<Demand>, with_shares: bool) -> ShareWorld {
    let mut world = ShareWorld::new(nodes, groups_for(nodes), demands, with_shares);
    world.measure(Duration::from_secs(10));
    world.measure(Duration::from_secs(seconds));
    world
}

fn overloaded_site(nodes: usize, seconds: u64, with_shares: bool) -> ShareWorld {
    let demands = skewed(groups_for(nodes), 2.0);
    settled_site(nodes, seconds, demands, with_shares)
}

/// Rate of requests that fills `part` of the groups of six nodes.
fn rate(part: f64) -> f64 {
    part * GROUP_RATE * 12.0
}

/// Served part of what an account offered.
fn served_part(world: &ShareWorld, account: usize) -> f64 {
    let tally = world.tallies_of(0)[account];
    tally.served / tally.offered.max(1.0)
}

/// Guards against an overload by a few large accounts that rejects the requests of all accounts
/// alike: without shares the smallest tenth gets half of its fair share, the largest twice its own.
#[rstest]
#[case::few_nodes(6, 60)]
#[case::many_nodes(66, 40)]
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

/// Guards against a large account, or one that sends refused requests again at once, that takes the
/// capacity of a small one, and against shares that are kept free for accounts that don't use them.
#[rstest]
#[case::large(1.8, 0)]
#[case::hasty(1.8, 5)]
fn a_small_account_is_served_beside_a_large_one(#[case] part: f64, #[case] hasty_retries: u32) {
    let demands = || {
        let large = Demand {
            hasty_retries,
            ..demand(rate(part))
        };
        vec![large, demand(rate(0.1)), demand(rate(0.1))]
    };
    let before = settled_site(6, 30, demands(), false);
    let world = settled_site(6, 30, demands(), true);

    let parts = [before, world].map(|world| (served_part(&world, 1), world.busy_share()));
    println!("{hasty_retries} retries, small account served and slots used: {parts:.2?}");

    assert!(parts[0].0 < 0.7, "{parts:?}");
    assert!(parts[1].0 >= 0.95, "{parts:?}");
    assert!(parts[1].1 >= 0.95, "{parts:?}");
}

/// Guards against less urgent requests that are served while more urgent ones are refused. The
/// urgent ones fill 0.8 of the capacity, or more than all of it. The queue alone, which is ordered
/// by priority, comes close to this without shares; they must not make it worse.
#[rstest]
#[case::urgent_fit(0.8)]
#[case::urgent_exceed(1.4)]
fn less_urgent_requests_are_refused_first(#[case] part: f64) {
    let demands = || {
        let mut demands = vec![demand(rate(part / 2.0)); 2];
        demands.extend(vec![demand(rate(0.6)); 2]);
        for demand in &mut demands[2..] {
            demand.priority = 5;
        }
        demands
    };
    let before = settled_site(6, 30, demands(), false);
    let world = settled_site(6, 30, demands(), true);

    let parts = [before, world].map(|world| (served_part(&world, 0), served_part(&world, 2)));
    println!("urgent load {part}: served of urgent and of other requests {parts:.2?}");

    let possible = f64::min(1.0, 1.0 / part);
    assert!(parts[1].0 >= 0.95 * possible, "{parts:?}");
    assert!(
        parts[1].1 <= 1.1 * (1.0 - part).max(0.05) / 1.2,
        "{parts:?}"
    );
}

/// Guards against nodes of a failure domain that is cut off, and those of the others, that go on
/// with counts from before the cut, or divide the capacity of the whole site.
#[test]
fn both_sides_of_a_cut_share_what_they_have() {
    let mut world = ShareWorld::new(12, 24, skewed(24, 2.0), true);
    world.measure(Duration::from_secs(8));

    world.cut();
    world.measure(Duration::from_secs(8));
    world.measure(Duration::from_secs(40));

    for side in [0, 1] {
        let parts = fair_parts(&world.tallies_of(side));
        println!("side {side}: {parts:.2?}");
        let spread = (mean(&parts[21..]) - mean(&parts[..3])).abs();
        assert!(spread <= 0.15, "side {side}: {parts:.2?}");
    }
}

/// Guards against a plan that rejects requests while the capacity suffices.
#[rstest]
#[case::low(0.5)]
#[case::high(0.85)]
fn nothing_is_rejected_without_a_shortage(#[case] load: f64) {
    let world = settled_site(6, 60, skewed(12, load), true);

    let tallies = world.tallies_of(0);
    let served: f64 = tallies.iter().map(|tally| tally.served).sum();
    let offered: f64 = tallies.iter().map(|tally| tally.offered).sum();
    assert_eq!(world.last_by_plan, Duration::ZERO, "{:?}", world.changes);
    assert!(served >= 0.99 * offered, "{served} of {offered}");
}

/// Guards against a plan that goes on to reject requests when the demand has fallen.
#[rstest]
#[case::few_nodes(6)]
#[case::many_nodes(66)]
fn the_plan_ends_within_a_second_after_the_shortage(#[case] nodes: usize) {
    let mut world = ShareWorld::new(
        nodes,
        groups_for(nodes),
        skewed(groups_for(nodes), 2.0),
        true,
    );
    world.measure(Duration::from_secs(8));
    let end = world.now;

    world.scale_demand(0.35);
    world.measure(Duration::from_secs(5));

    let last = world.last_by_plan.saturating_sub(end);
    println!("{nodes} nodes: last rejection {last:?} after the end");
    assert!(world.last_by_plan > Duration::ZERO);
    assert!(last <= Duration::from_secs(1), "{last:?}");
}

/// Guards against a plan that takes the work that it lets through for the capacity, so that
/// capacity that is added stays unused.
#[test]
fn added_groups_are_used_within_a_second() {
    let mut world = ShareWorld::new(6, 12, skewed(24, 2.0), true);
    world.measure(Duration::from_secs(8));

    (12..24).for_each(|group| world.open_group(group));
    world.measure(Duration::from_secs(1));
    world.measure(Duration::from_secs(2));
    let early = world.busy_share();
    world.measure(Duration::from_secs(10));

    println!(
        "slots used: {early:.3} from 1 s to 3 s, {:.3} later",
        world.busy_share()
    );
    assert!(early >= 0.9, "{early}");
    assert!(world.busy_share() >= 0.95);
}

/// Guards against callers that are told a time at which all of them return at once, or return
/// before anything can have changed.
#[test]
fn rejected_callers_return_at_different_times() {
    let mut shares = short_node();
    let now = Duration::from_secs(10);

    let delays = [0.7, 0.8, 0.9].map(|draw| shares.reject(now, class(1), draw));

    let delays = delays.map(|delay| delay.expect("the draw is above the acceptance"));
    assert!(delays.is_sorted() && delays[0] < delays[2], "{delays:?}");
    assert!(delays[0] >= Duration::from_millis(500), "{delays:?}");
    assert_eq!(shares.reject(now, class(2), 0.99), None);
}

/// Guards against plans that go on with the counts of nodes that are no longer heard.
#[test]
fn counts_of_other_nodes_are_dropped_after_three_seconds() {
    let mut shares = short_node();
    let heard_at = Duration::from_secs(10);
    let report = ShareReport {
        scope: ReportScope::Node,
        model: MODEL,
        lack_age: 0,
        accounts: vec![AccountCount {
            account: AccountTag(1),
            priority: 1,
            offered_ms: 50_000,
            served_ms: 0,
        }],
    };
    shares.take(heard_at, CountSource::Node(7), &report);

    let mut acceptance = |after: u64| {
        let now = heard_at + Duration::from_millis(after);
        shares.note_lack(now, MODEL);
        shares.tick(now);
        shares.acceptance(now, class(1)).expect("a shortage").0
    };

    assert!(acceptance(2_900) < 0.05);
    assert!(acceptance(3_100) > 0.3);
}

/// Guards against waiting requests of a large account that get free slots before those of a small
/// one whose objective ends later.
#[test]
fn free_slots_go_to_the_account_that_has_used_less() {
    let now = Duration::from_secs(1);
    let mut queue = WaitQueue::default();
    let request = |account, age| PlacementRequest {
        account: AccountTag(account),
        ..node_fixtures::request(now.saturating_sub(age))
    };
    let large = queue.add(now, request(1, Duration::from_millis(100)));
    let small = queue.add(now, request(2, Duration::ZERO));

    let even = queue.order(|_| Duration::ZERO, |_| 0);
    let shared = queue.order(
        |_| Duration::ZERO,
        |request| {
            if request.account == AccountTag(1) {
                8
            } else {
                1
            }
        },
    );

    assert_eq!(even, [large.unwrap(), small.unwrap()]);
    assert_eq!(shared, [small.unwrap(), large.unwrap()]);
}

/// Guards against reports that need more than 12 KB/s at 390 nodes: 12.5 beacons a second to 40 and
/// 10 nodes, of which one in six has a report, and the others a byte that says that there is none.
#[test]
fn reports_stay_below_twelve_kilobytes_a_second() {
    let count = AccountCount {
        account: AccountTag(u32::MAX),
        priority: 9,
        offered_ms: 2_000_000,
        served_ms: 2_000_000,
    };
    let report = Some(ShareReport {
        scope: ReportScope::FailureDomain,
        model: ModelTag(u32::MAX),
        lack_age: 254,
        accounts: vec![count; 8],
    });

    let bytes = postcard::to_allocvec(&report)
        .expect("a report has a known length")
        .len();

    println!("{bytes} bytes");
    assert!(bytes <= 112, "{bytes}");
    #[allow(clippy::cast_precision_loss)]
    let per_second = 12.5 * 50.0 * (bytes as f64 / 6.0 + 5.0 / 6.0);
    assert!(per_second < 12_000.0, "{per_second}");
}

/// Guards against reports that coincide with the turns in which beacons go to some of the nodes, so
/// that others never get one. With a multiple of six turns some get no beacon at all.
#[test]
fn every_turn_of_the_beacons_gets_reports() {
    for turns in 1..=35 {
        let mut with_beacon = vec![false; turns];
        let mut with_report = vec![false; turns];
        for sequence in 0..2_400_u64 {
            let shifted = usize::try_from(sequence + sequence / 5).expect("a small number");
            with_beacon[shifted % turns] = true;
            if report_turn(7, sequence).is_some() {
                with_report[shifted % turns] = true;
            }
        }
        assert_eq!(with_report, with_beacon, "{turns} turns");
    }
}
