//! Tests of the placement of requests at replica groups, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{at, model, open_groups, profile, routes, stream_route},
    std::time::Duration,
    toucanring::core::{
        placement::{
            AttemptKey, GroupTag, PeerLoad, PlacementDecision, PlacementRequest,
            PlacementScheduler, RefusalCause, RetryWindow,
        },
        routes::RouteTable,
    },
};

/// Creates a scheduler with `groups` open groups of two members each.
fn scheduler_with_groups(groups: usize) -> PlacementScheduler {
    let fleet = open_groups(groups);
    let table = table();
    let mut scheduler = PlacementScheduler::new("kochi", 7);
    scheduler.sync(&fleet, &table);
    scheduler
}

fn table() -> RouteTable {
    let rules = vec![stream_route("r-1", "/draft/", at(300))];
    RouteTable::new(routes(1, rules, profile(vec![model("m-0", 2, 1.0)])))
}

fn request(now: Duration, tokens: u32) -> PlacementRequest {
    PlacementRequest {
        prompt_tokens: tokens,
        ..node_fixtures::request(now)
    }
}

fn is_placed(decision: &PlacementDecision) -> bool {
    matches!(decision, PlacementDecision::Place(_))
}

/// Guards against requests that are sent to a full group, and against refusals while slots are
/// free.
#[test]
fn requests_are_placed_until_the_groups_are_full() {
    let mut scheduler = scheduler_with_groups(2);
    let mut placed = 0;

    for index in 0..80 {
        let now = at(1_000 + index * 40);
        let decision = scheduler.arrive(now, &request(now, 100));
        if let PlacementDecision::Place(placement) = decision {
            scheduler.note_event(now + at(30), placement.attempt);
            placed += 1;
        }
    }

    assert_eq!(placed, 52);
}

/// Guards against large prompts that find no slot as soon as the load is high: on scale-1 of
/// thirulipi-hq, 0.21 of the largest requests were served, but 0.53 of all.
#[test]
fn large_prompts_are_served_at_least_half_as_often_as_all() {
    let mut scheduler = scheduler_with_groups(2);
    // First events arrive later than predicted, as they did in that run.
    let first_event = at(240);
    let mut first_events: Vec<(Duration, AttemptKey)> = Vec::new();
    let mut ends: Vec<(Duration, AttemptKey)> = Vec::new();
    let mut served = [0_u32; 2];
    let mut arrived = [0_u32; 2];
    let mut waiting = std::collections::HashMap::new();

    for index in 0..4_000_u64 {
        let now = at(1_000 + index * 20);
        ends.retain(|(end, attempt)| {
            if *end <= now {
                scheduler.ended(*attempt);
            }
            *end > now
        });
        first_events.retain(|(first, attempt)| {
            if *first <= now {
                scheduler.note_event(now, *attempt);
            }
            *first > now
        });
        let large = index % 10 == 0;
        let tokens = if large { 4_000 } else { 600 };
        let kind = usize::from(large);
        arrived[kind] += 1;
        let mut placed = Vec::new();
        match scheduler.arrive(now, &request(now, tokens)) {
            PlacementDecision::Place(placement) => placed.push((kind, placement)),
            PlacementDecision::Wait(ticket) => {
                waiting.insert(ticket, kind);
            }
            PlacementDecision::Refuse { .. } => {}
        }
        for (ticket, decision) in scheduler.tick(now).queue_decisions {
            let kind = waiting.remove(&ticket).unwrap();
            if let PlacementDecision::Place(placement) = decision {
                placed.push((kind, placement));
            }
        }
        for (kind, placement) in placed {
            served[kind] += 1;
            first_events.push((now + first_event, placement.attempt));
            ends.push((now + at(1_600), placement.attempt));
        }
    }

    let share = |kind: usize| f64::from(served[kind]) / f64::from(arrived[kind]);
    let all = f64::from(served[0] + served[1]) / f64::from(arrived[0] + arrived[1]);
    assert!(all < 0.9, "the load is not high: {all}");
    assert!(share(1) >= 0.5 * all, "large {} all {all}", share(1));
}

/// Guards against streams that stay at a group which makes no progress, and against a healthy group
/// that is mistaken for a stalled one.
#[test]
fn attempts_move_away_from_a_stalled_group() {
    let mut scheduler = scheduler_with_groups(2);
    let now = at(1_000);
    let mut attempts = Vec::new();
    for _ in 0..8 {
        let PlacementDecision::Place(placement) = scheduler.arrive(now, &request(now, 100)) else {
            panic!("not placed although slots are free");
        };
        scheduler.note_event(now, placement.attempt);
        attempts.push(placement);
    }
    let stalled = attempts[0].group.clone();

    let mut moved = Vec::new();
    for step in 1..=20 {
        let now = at(1_000 + step * 50);
        for placement in &attempts {
            if placement.group != stalled {
                scheduler.note_event(now, placement.attempt);
            }
        }
        moved.extend(scheduler.tick(now).moves);
    }

    let expected = attempts
        .iter()
        .filter(|placement| placement.group == stalled);
    let expected: Vec<_> = expected.map(|placement| placement.attempt).collect();
    moved.sort();
    assert_eq!(moved, expected);
    let now = at(2_050);
    let PlacementDecision::Place(next) = scheduler.arrive(now, &request(now, 100)) else {
        panic!("not placed although the other group has free slots");
    };
    assert_ne!(next.group, stalled);
}

/// Guards against a gateway that takes its own pause for the silence of all groups: while it applies
/// a large configuration, or has used up its share of the processor, events wait in its sockets.
#[test]
fn a_pause_of_the_gateway_is_no_stall() {
    let mut scheduler = scheduler_with_groups(2);
    let mut attempts = Vec::new();
    for _ in 0..8 {
        let now = at(1_000);
        let PlacementDecision::Place(placement) = scheduler.arrive(now, &request(now, 100)) else {
            panic!("not placed although slots are free");
        };
        scheduler.note_event(now, placement.attempt);
        attempts.push(placement.attempt);
    }
    scheduler.tick(at(1_030));

    let first = scheduler.tick(at(1_730));
    for attempt in &attempts {
        scheduler.note_event(at(1_731), *attempt);
    }
    let second = scheduler.tick(at(1_760));

    assert_eq!(first.moves, []);
    assert_eq!(second.moves, []);
}

/// Guards against a stalled group that is not found since the gateway pauses at every check, as an
/// instance does that has used up its share of the processor.
#[test]
fn a_stall_is_found_between_pauses_of_the_gateway() {
    let mut scheduler = scheduler_with_groups(1);
    let now = at(1_000);
    let PlacementDecision::Place(placement) = scheduler.arrive(now, &request(now, 100)) else {
        panic!("not placed although slots are free");
    };
    scheduler.note_event(now, placement.attempt);

    let moves = (1..=12).flat_map(|step| scheduler.tick(at(1_000 + step * 150)).moves);

    assert_eq!(moves.collect::<Vec<_>>(), [placement.attempt]);
}

/// Guards against gateways that overfill a group because they do not count each other's requests.
#[test]
fn the_load_of_other_gateways_counts() {
    let mut scheduler = scheduler_with_groups(1);
    let loads = vec![PeerLoad {
        group: GroupTag::of("g-0", 1),
        running: 26,
        backlog_tokens: 0,
    }];
    scheduler.peers.take(at(1_000), 5, loads);

    let decision = scheduler.arrive(at(1_010), &request(at(1_010), 100));
    assert!(matches!(decision, PlacementDecision::Wait(_)));

    scheduler.peers.take(at(1_020), 5, Vec::new());
    let tick = scheduler.tick(at(1_020));
    assert!(is_placed(&tick.queue_decisions[0].1));
}

/// Guards against requests that are queued until their deadline although no group can serve them.
#[test]
fn a_request_without_a_group_is_refused_at_once() {
    let mut scheduler = scheduler_with_groups(0);

    let decision = scheduler.arrive(at(1_000), &request(at(1_000), 100));

    let PlacementDecision::Refuse { cause, retry_after } = decision else {
        panic!("not refused although no group serves the model");
    };
    assert_eq!(cause, RefusalCause::NoGroup);
    assert!(retry_after > Duration::ZERO);
}

/// Guards against retries that exceed the budget which all gateways share.
#[test]
fn retries_stay_within_the_budget() {
    let mut window = RetryWindow::new(at(10_000), 0.2, 130.0);
    let mut spent = Vec::new();

    for step in 0..3_000_u64 {
        let now = at(step * 10);
        if step % 4 == 0 {
            window.earn(now);
        }
        if window.spend(now, 6) {
            spent.push(now);
        }
    }

    for start in (0..20_000).step_by(500) {
        let inside = |time: &&Duration| **time >= at(start) && **time < at(start + 10_000);
        let used = spent.iter().filter(inside).count();
        // Each window holds 250 original requests, of which 0.2 may be retried. The extra 130
        // retries are shared by six gateways.
        assert!(used <= 50 + 130 / 6, "{used} retries from {start} ms");
    }
}

/// Returns the predicted time to the first event at a group with twelve running requests, after
/// answers of `events` events each.
fn predicted_after_answers_of(events: u32) -> Duration {
    let mut scheduler = scheduler_with_groups(1);
    let mut now = at(1_000);
    for _ in 0..40 {
        let PlacementDecision::Place(placement) = scheduler.arrive(now, &request(now, 1_900))
        else {
            panic!("not placed although the group is idle");
        };
        scheduler.note_events(now + at(60), placement.attempt, events);
        scheduler.ended(placement.attempt);
        now += at(100);
    }
    let mut predicted = Duration::ZERO;
    for _ in 0..13 {
        let mut tolerant = request(now, 1_900);
        tolerant.in_time_until = now + at(5_000);
        let PlacementDecision::Place(placement) = scheduler.arrive(now, &tolerant) else {
            panic!("not placed although the group has free slots");
        };
        predicted = placement.predicted;
        scheduler.note_event(now, placement.attempt);
        now += at(1);
    }
    predicted
}

/// Guards against predictions that ignore the prefill of the requests that replace finished ones:
/// where answers are short, prefill takes most of each pass (on scale-1 of campanari-rete-grown,
/// first events took 2.9 times the predicted time).
#[test]
fn short_answers_raise_the_predicted_time() {
    let long = predicted_after_answers_of(25);
    let short = predicted_after_answers_of(3);

    assert!(short > long + at(50), "{short:?} against {long:?}");
}

/// Guards against refusals that cannot be explained from the log afterwards.
#[test]
fn a_refusal_reports_the_remaining_capacity() {
    let mut scheduler = scheduler_with_groups(2);
    for index in 0..60 {
        let now = at(1_000 + index);
        let decision = scheduler.arrive(now, &request(now, 900));
        if let PlacementDecision::Place(placement) = decision {
            scheduler.note_event(now, placement.attempt);
        }
    }
    let now = at(1_100);

    let capacity = scheduler.capacity_for(now, &request(now, 900));

    assert_eq!((capacity.groups, capacity.places), (2, 52));
    assert_eq!(capacity.running, 52);
    assert!(capacity.fastest_idle < capacity.fastest_now);
    assert_eq!(capacity.time_left, at(285));
}

/// Guards against a group that was slow once and never gets another request, since only a first
/// event shows that it is fast again. On scale-2 of thirulipi-hq (881008) requests were refused
/// beside free slots, with predictions of twice the time that the engine's figures give.
#[test]
fn a_group_that_was_slow_is_used_again() {
    let mut scheduler = scheduler_with_groups(1);
    let mut now = at(1_000);
    for _ in 0..60 {
        if let PlacementDecision::Place(placement) = scheduler.arrive(now, &request(now, 900)) {
            scheduler.note_event(now + at(900), placement.attempt);
            scheduler.ended(placement.attempt);
        }
        now += at(20);
    }
    assert!(!expects_event_in_time(&mut scheduler, now));

    let end = now + at(4_000);
    while now < end {
        now += at(20);
        scheduler.tick(now);
    }

    assert!(expects_event_in_time(&mut scheduler, now));
}

/// True when a request is placed where its first event is predicted within the objective; it ends
/// at once.
fn expects_event_in_time(scheduler: &mut PlacementScheduler, now: Duration) -> bool {
    let arrived = request(now, 900);
    let PlacementDecision::Place(placement) = scheduler.arrive(now, &arrived) else {
        return false;
    };
    scheduler.ended(placement.attempt);
    placement.predicted <= arrived.objective
}

/// Guards against a restricted request that is placed at a further server, and against one that is
/// cut off because the only group left to it is suspect.
#[test]
fn a_restricted_request_is_placed_at_its_group_though_that_is_suspect() {
    let mut scheduler = scheduler_with_groups(3);
    let now = at(1_000);
    let mut heads = Vec::new();

    scheduler.suspect(now, "g-1", 1);
    for _ in 0..8 {
        let restricted = PlacementRequest {
            only_heads: smallvec::smallvec!["i-1-0".to_owned()],
            ..request(now, 100)
        };
        let decision = scheduler.arrive(now, &restricted);
        let PlacementDecision::Place(placement) = decision else {
            panic!("not placed: {decision:?}");
        };
        heads.push(placement.head);
    }

    assert_eq!(heads, ["i-1-0"; 8]);
}

/// Guards against a restricted request that waits though its only group is gone.
#[test]
fn a_restricted_request_without_its_group_is_refused() {
    let mut scheduler = scheduler_with_groups(3);
    let now = at(1_000);
    let restricted = PlacementRequest {
        only_heads: smallvec::smallvec!["i-gone".to_owned()],
        ..request(now, 100)
    };

    let decision = scheduler.arrive(now, &restricted);

    let PlacementDecision::Refuse { cause, .. } = decision else {
        panic!("not refused: {decision:?}");
    };
    assert_eq!(cause, RefusalCause::NoGroup);
}
