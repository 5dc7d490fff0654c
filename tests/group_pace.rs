//! Tests of the pace of one group, and of requests for which only paced groups are left.

mod node_fixtures;

use {
    node_fixtures::{GatewayWorld, at, head, request},
    std::time::Duration,
    toucanring::core::{
        pace::{FirstEventSample, GroupPace, PaceLoad, PacePhase},
        placement::{PlacementDecision, PlacementRequest},
    },
};

const SLOTS: u32 = 26;

fn load(running: f64) -> PaceLoad {
    PaceLoad {
        running,
        reported_share: 1.0,
        waiting: 0.0,
        largest_prompt: 1.0,
        first_event: at(100),
        answer_time: at(1_200),
        demand_per_s: 100.0,
        gateways: 3,
        report_age: at(50),
    }
}

/// The state of a group that uses its whole limit, after two seconds of first events that took
/// `ratio` times their prediction.
fn pace_after_events(predicted: Duration, ratio: f64) -> GroupPace {
    let mut pace = GroupPace::begin(at(1_000), SLOTS, &load(0.0), 0.0, 0.5);
    for step in 1..50 {
        let now = at(1_000 + 40 * step);
        let sample = FirstEventSample {
            sent_at: now.saturating_sub(at(20)),
            observed: predicted.mul_f64(ratio),
            predicted,
            correction: 1.0,
        };
        pace.note_first_event(now, &sample);
        pace.update(now, &load(pace.permitted()));
    }
    pace
}

/// Guards against long prompts that count as a slow server.
#[test]
fn first_event_of_a_long_prompt_in_its_predicted_time_raises_the_limit() {
    let short = pace_after_events(at(80), 1.2);
    let long = pace_after_events(at(900), 1.2);
    let late = pace_after_events(at(900), 2.0);

    assert!(short.is_steady() || short.permitted() > 20.0);
    assert!(long.is_steady() || long.permitted() > 20.0);
    assert!(late.permitted() < 3.0, "{}", late.permitted());
}

/// Guards against a server that fails at once and therefore seems to respond fast.
#[test]
fn failures_lower_the_limit() {
    let mut pace = GroupPace::begin(at(1_000), SLOTS, &load(0.0), 0.0, 0.5);
    let first = pace.permitted();
    for step in 1..50 {
        let now = at(1_000 + 40 * step);
        pace.note_failure(now, now.saturating_sub(at(2)));
        pace.update(now, &load(1.0));
    }

    assert!(pace.permitted() < first, "{}", pace.permitted());
    assert_ne!(pace.phase(), PacePhase::Steady);
}

/// Guards against a group that begins with as many requests at its third return as at the first.
#[test]
fn returns_lower_the_first_limit() {
    let first = |returns| GroupPace::begin(at(1_000), SLOTS, &load(0.0), returns, 0.5).permitted();

    assert!(first(1.0) < first(0.0));
    assert!(first(2.0) < first(1.0));
}

/// A node whose only group, known for long, returns after a pause at 20 s.
fn returning_group() -> GatewayWorld {
    let mut world = GatewayWorld::new(vec![head("i-0")]);
    world.scheduler.enable_pace(7);
    world.scheduler.tick(at(1_000));
    world.scheduler.suspect(at(19_000), "g-i-0", 1);
    world.scheduler.tick(at(19_100));
    world.scheduler.tick(at(21_500));
    world
}

/// Guards against requests that are refused although the next send of this node comes in time, and
/// against ones that are held although it does not.
#[test]
fn request_waits_for_the_next_send_only_within_its_objective() {
    for (gateways, waits) in [(1, true), (390, false)] {
        let mut world = returning_group();
        world.scheduler.set_gateways(gateways);
        let now = at(21_500);
        let mut refused = 0;
        let mut waiting = 0;
        for _ in 0..8 {
            let patient = PlacementRequest {
                objective: at(600),
                in_time_until: now + at(600),
                ..request(now)
            };
            match world.scheduler.arrive(now, &patient) {
                PlacementDecision::Place(_) => {}
                PlacementDecision::Wait(_) => waiting += 1,
                PlacementDecision::Refuse { .. } => refused += 1,
            }
        }

        assert_eq!(waiting > 0, waits, "{waiting} wait with {gateways} nodes");
        assert_eq!(
            refused > 0,
            !waits,
            "{refused} refused with {gateways} nodes"
        );
    }
}

/// Guards against any effect in a deployment that does not enable the pace.
#[test]
fn nothing_is_bounded_unless_it_is_enabled() {
    let mut world = GatewayWorld::new(vec![head("i-0")]);
    world.scheduler.tick(at(1_000));
    world.scheduler.suspect(at(19_000), "g-i-0", 1);
    let is_suspect = !world.scheduler.suspects(at(20_900)).is_empty();
    world.scheduler.tick(at(21_500));

    assert!(is_suspect, "the suspicion lasts less than 2 s");
    assert_eq!(world.scheduler.groups_in_phase(PacePhase::Steady), 1);
}
