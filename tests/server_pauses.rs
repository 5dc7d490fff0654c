//! Servers that reject requests and ask for a pause, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{
        FormationWorld, GatewayWorld, at, engine, head, model, plain_server, profile, request,
        restarted, row_version,
    },
    rstest::rstest,
    std::time::Duration,
    toucanring::core::{
        fleet::FleetView,
        formation::FormationAction,
        placement::{PlacementClass, PlacementDecision, RefusalCause, failed_server},
    },
};

fn pause(world: &mut GatewayWorld, server: &str, until: Duration) {
    assert!(world.fleet.note_pause(server, 1, until));
    world.apply_pauses();
}

fn refused(decision: &PlacementDecision) -> (RefusalCause, Duration) {
    let PlacementDecision::Refuse { cause, retry_after } = decision else {
        panic!("not refused: {decision:?}");
    };
    (*cause, *retry_after)
}

/// Guards against requests that reach a server during its pause when many callers press, against a
/// group that counts as failed because its head pauses, and against a row of the store or a shorter
/// pause that ends it.
#[test]
fn a_paused_head_gets_nothing_during_a_burst() {
    let mut world = GatewayWorld::new(vec![head("i-1"), head("i-2")]);
    pause(&mut world, "i-1", at(3_000));

    for step in 0..100 {
        let now = at(1_000 + step * 20);
        if step == 50 {
            world.put(6, head("i-1"));
            assert!(!world.fleet.note_pause("i-1", 1, at(2_500)));
        }
        assert_eq!(world.heads_used(now, 4), ["i-2"]);
        let tick = world.scheduler.tick(now);
        assert!(tick.suspects.is_empty() && tick.moves.is_empty());
        assert!(world.scheduler.suspects(now).is_empty());
    }

    assert_eq!(world.heads_used(at(3_000), 40), ["i-1", "i-2"]);
}

/// Guards against requests to a plain server during its pause, and against a refusal while another
/// server takes requests.
#[test]
fn a_paused_plain_server_gets_nothing() {
    let mut world = GatewayWorld::new(vec![plain_server("p-1"), plain_server("p-2")]);
    pause(&mut world, "p-1", at(3_000));

    assert_eq!(world.plain_used(at(2_999), 8), ["p-2"]);
    assert_eq!(world.balancer.paused_until(at(2_999), "desk"), None);
    pause(&mut world, "p-2", at(2_500));
    assert!(world.plain_used(at(2_000), 8).is_empty());
    let first = world.balancer.paused_until(at(2_000), "desk");
    assert_eq!(first, Some(at(2_500)));
    assert_eq!(world.plain_used(at(2_500), 8), ["p-2"]);
    assert_eq!(world.plain_used(at(3_000), 8), ["p-1", "p-2"]);
}

/// Guards against a group that is marked as suspect, and probed, because its head asks for a pause
/// and names itself, and against a lost member that is overlooked because the head pauses as well.
#[rstest]
#[case::pauses("i-1", true, None)]
#[case::fails("i-1", false, Some("i-1"))]
#[case::lost_member("i-2", true, Some("i-2"))]
fn a_pause_is_no_failure(
    #[case] culprit: &str,
    #[case] is_paused: bool,
    #[case] expected: Option<&str>,
) {
    let failed = failed_server("i-1", Some(culprit.to_owned()), is_paused);

    assert_eq!(failed.as_deref(), expected);
}

/// Guards against callers that are held while all groups pause, that are told to return before one
/// is back, or that all return in the same moment.
#[test]
fn requests_are_refused_at_once_while_all_groups_pause() {
    let mut world = GatewayWorld::new(vec![head("i-1"), head("i-2")]);
    pause(&mut world, "i-1", at(4_000));
    pause(&mut world, "i-2", at(3_000));

    let mut returns = Vec::new();
    for _ in 0..50 {
        let decision = world.scheduler.arrive(at(1_000), &request(at(1_000)));
        let (cause, retry_after) = refused(&decision);
        assert_eq!(cause, RefusalCause::Paused);
        returns.push(at(1_000) + retry_after);
    }

    returns.sort();
    assert!(returns[0] >= at(3_000));
    assert!(returns[49] <= at(3_500));
    assert!(returns[49] > returns[0] + at(250), "{returns:?}");
    assert!(returns.windows(2).all(|pair| pair[1] < pair[0] + at(100)));
}

/// Guards against a request that waits until it is too late when the last group that it waits for
/// asks for a pause.
#[test]
fn a_queued_request_is_refused_when_the_last_group_pauses() {
    let mut world = GatewayWorld::new(vec![head("i-1")]);
    let mut placed = 0;
    let ticket = loop {
        match world.scheduler.arrive(at(1_000), &request(at(1_000))) {
            PlacementDecision::Place(_) => placed += 1,
            PlacementDecision::Wait(ticket) => break ticket,
            PlacementDecision::Refuse { .. } => panic!("refused after {placed} requests"),
        }
    };

    pause(&mut world, "i-1", at(9_000));
    let tick = world.scheduler.tick(at(1_020));

    let (decided, decision) = &tick.queue_decisions[0];
    assert_eq!(*decided, ticket);
    assert_eq!(refused(decision).0, RefusalCause::Paused);
}

/// Guards against a stream that is resumed at a paused group, against one that is given up though
/// the pause is short, and against one that is held though it is long.
#[rstest]
#[case::short(at(2_000), false)]
#[case::long(at(4_000), true)]
fn a_broken_stream_waits_only_for_a_short_pause(#[case] until: Duration, #[case] is_refused: bool) {
    let mut world = GatewayWorld::new(vec![head("i-1"), head("i-2")]);
    pause(&mut world, "i-1", until);
    let mut request = request(at(1_000));
    request.placement_class = PlacementClass::Resumed;
    // The stream broke off at the other group.
    request.avoid = Some(("g-i-2".to_owned(), 1));

    let decision = world.scheduler.arrive(at(1_000), &request);

    if is_refused {
        assert_eq!(refused(&decision).0, RefusalCause::Paused);
        return;
    }
    assert!(matches!(decision, PlacementDecision::Wait(_)));
    assert!(world.scheduler.tick(at(1_990)).queue_decisions.is_empty());
    let tick = world.scheduler.tick(at(2_000));
    let (_, PlacementDecision::Place(placement)) = &tick.queue_decisions[0] else {
        panic!("not placed after the pause");
    };
    assert_eq!(placement.head, "i-1");
}

/// Guards against slots of a paused group that count as free, in the capacity figures of a refusal
/// and in those by which groups are formed.
#[test]
fn slots_of_a_paused_group_are_not_free() {
    let mut world = GatewayWorld::new(vec![head("i-1"), head("i-2")]);
    let share = world.scheduler.busy_share(at(1_000), "m-0").unwrap();
    assert!(share < 0.01, "{share}");

    pause(&mut world, "i-1", at(3_000));

    let request = request(at(1_000));
    let capacity = world.scheduler.capacity_for(at(1_000), &request);
    assert_eq!(
        (capacity.groups, capacity.paused, capacity.places),
        (1, 1, 26)
    );
    let share = world.scheduler.busy_share(at(1_000), "m-0").unwrap();
    assert!((share - 0.5).abs() < 0.01, "{share}");
}

/// Guards against a restarted server, or a new one at a reused identifier, that gets nothing
/// because an earlier incarnation asked for a pause, and against a late answer of that one.
#[test]
fn a_pause_ends_with_the_incarnation() {
    let mut world = GatewayWorld::new(vec![head("i-1"), plain_server("p-1")]);
    pause(&mut world, "i-1", at(9_000));
    pause(&mut world, "p-1", at(9_000));

    world.put(6, restarted(head("i-1")));
    world.put(6, restarted(plain_server("p-1")));
    let is_noted = world.fleet.note_pause("i-1", 1, at(12_000));
    world.apply_pauses();

    assert!(!is_noted);
    assert_eq!(world.heads_used(at(2_000), 4), ["i-1"]);
    assert_eq!(world.plain_used(at(2_000), 4), ["p-1"]);
}

/// Guards against a pause that other nodes hear of: it concerns the node that was asked.
#[test]
fn a_pause_is_not_announced() {
    let mut fleet = FleetView::new();
    fleet.put(row_version(5), head("i-1"));

    fleet.note_pause("i-1", 1, at(9_000));

    assert!(fleet.leaving_to_announce(0, 8, 256).is_empty());
    assert!(!fleet.get("i-1").unwrap().leaving);
}

/// Guards against a group that is dissolved because a member answered orders or state queries by
/// asking for a pause, and against further calls during it.
#[test]
fn a_member_that_defers_calls_keeps_its_group() {
    let ids = (0..4).map(|index| engine(&format!("i-{index}"), "f"));
    let mut world = FormationWorld::new(ids.collect(), profile(vec![model("m-0", 4, 1.0)]), 1);
    world.run(at(1_000));
    let head = world.open_heads().remove(0);
    let group = world.entry(&head).membership.clone().unwrap();
    let mut probes = 0;

    for _ in 0..10 {
        let mut out = Vec::new();
        let now = world.now;
        world
            .manager
            .probe_group(now, &group.group, group.epoch, &mut out);
        for action in out {
            let FormationAction::Probe { server, .. } = action else {
                continue;
            };
            if server == head {
                probes += 1;
                world.manager.defer_calls(now, &server, at(2_000));
            } else {
                let report = world.probe_report(&server);
                world.manager.reported(now, &server, &report);
            }
        }
        world.run(at(100));
    }

    assert_eq!(probes, 1);
    assert_eq!(world.open_heads(), [head]);
}
