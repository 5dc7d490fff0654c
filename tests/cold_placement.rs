//! Requests, heads of groups and entries while servers are cold, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{
        FormationWorld, GatewayWorld, at, engine, head, model, plain_server, profile, request,
        row_version,
    },
    rstest::rstest,
    std::time::Duration,
    toucanring::core::{
        cold::{ColdBound, ColdGate, ColdLimiter, ColdPermit, ColdRule, EntryFacts, NodeSighting},
        fleet::BackendEntry,
        placement::{PlacementClass, PlacementDecision, RefusalCause},
    },
};

/// Time at which the servers become cold; the gateway has run for a while.
const COLD_AT: Duration = at(5_000);

/// Time between two permits of a gateway that is alone in its failure domain.
const INTERVAL: Duration = at(100);

fn facts(entry: &BackendEntry, cold_left: Option<Duration>, age: Duration) -> EntryFacts {
    EntryFacts {
        server: entry.id.clone(),
        service: entry.service.clone(),
        failure_domain: entry.failure_domain.clone(),
        born_ms: entry.born_ms,
        cold_left,
        age: Some(age),
    }
}

/// The only gateway of its failure domain. Servers of both services tolerate 10 requests per second.
fn limiter(failure_domain: &str) -> ColdLimiter {
    let own = "10.0.0.1:7000".parse().unwrap();
    let bound = ColdBound {
        overage: 2.0,
        tolerance: 0.0,
    };
    let mut limiter = ColdLimiter::new(own, failure_domain, bound, at(0));
    let rule = ColdRule {
        start: at(3_000),
        per_s: 10.0,
    };
    limiter.set_rules([("model".to_owned(), rule), ("desk".to_owned(), rule)]);
    limiter.update_nodes(COLD_AT, []);
    limiter.update_nodes(COLD_AT + at(2_000), []);
    limiter
}

/// A world in which the servers `cold` of all `entries` stay cold for three seconds.
fn cold_world(failure_domain: &str, entries: &[BackendEntry], cold: &[&str]) -> GatewayWorld {
    let mut limiter = limiter(failure_domain);
    for entry in entries {
        let is_cold = cold.contains(&entry.id.as_str());
        let left = if is_cold { at(3_000) } else { at(0) };
        let facts = facts(entry, Some(left), at(60_000));
        limiter.note_entry(COLD_AT + at(2_000), &facts);
    }
    let mut world = GatewayWorld::new(entries.to_vec());
    let gate = ColdGate::new(limiter);
    world.scheduler.cold = gate.clone();
    world.balancer.cold = gate;
    world
}

/// Time of the tests' first request; the gateway has updated its list of nodes just before.
const NOW: Duration = at(7_010);

/// Guards against a request that is sent without a permit while it waits, against a permit that is
/// used only at the next tick of 30 ms, and against retries and resumed streams that need none.
#[rstest]
#[case::first_attempt(PlacementClass::InTime, false)]
#[case::resumed(PlacementClass::Resumed, false)]
#[case::after_an_attempt_that_was_not_sent(PlacementClass::InTime, true)]
fn a_request_waits_for_the_next_permit(
    #[case] placement_class: PlacementClass,
    #[case] not_sent: bool,
) {
    let mut world = cold_world("kochi", &[head("i-1")], &["i-1"]);
    let mut second = request(NOW);
    second.placement_class = placement_class;

    let first = world.scheduler.arrive(NOW, &request(NOW));
    if let (PlacementDecision::Place(placement), true) = (&first, not_sent) {
        world.scheduler.ended(placement.attempt);
    }
    let decision = world.scheduler.arrive(NOW + at(1), &second);

    assert!(matches!(first, PlacementDecision::Place(_)), "{first:?}");
    assert!(
        matches!(decision, PlacementDecision::Wait(_)),
        "{decision:?}"
    );
    let due = world.scheduler.next_permit(NOW + at(1)).unwrap();
    assert!(due <= NOW + INTERVAL + at(10), "{due:?}");
    let early = world.scheduler.tick(NOW + at(2));
    assert!(early.queue_decisions.is_empty());
    let tick = world.scheduler.tick(due);
    let (_, placed) = &tick.queue_decisions[0];
    assert!(matches!(placed, PlacementDecision::Place(_)), "{placed:?}");
}

/// Guards against requests that are held back though no permit comes in time for them, and against
/// callers that are told the same time or a time without bounds.
#[test]
fn a_request_without_a_permit_in_time_is_refused_at_once() {
    let mut world = cold_world("kollam", &[head("i-1")], &["i-1"]);
    let mut delays = Vec::new();

    for _ in 0..20 {
        let decision = world.scheduler.arrive(NOW, &request(NOW));
        let PlacementDecision::Refuse { cause, retry_after } = decision else {
            panic!("not refused: {decision:?}");
        };
        assert_eq!(cause, RefusalCause::Cold);
        delays.push(retry_after);
    }

    assert!(
        delays
            .iter()
            .all(|delay| (at(1_500)..=at(2_000)).contains(delay))
    );
    delays.dedup();
    assert!(delays.len() > 10);
}

/// Guards against a queue that grows while its requests can only become late, and against one from
/// which a request is refused after it has waited.
#[test]
fn as_many_requests_wait_as_there_are_permits() {
    let mut world = cold_world("kochi", &[head("i-1")], &["i-1"]);

    let decisions: Vec<_> = (0..10)
        .map(|_| world.scheduler.arrive(NOW, &request(NOW)))
        .collect();
    let mut placed = 0;
    for step in 0..40 {
        let tick = world.scheduler.tick(NOW + at(step * 10));
        for (_, decision) in tick.queue_decisions {
            assert!(
                matches!(decision, PlacementDecision::Place(_)),
                "{decision:?}"
            );
            placed += 1;
        }
    }

    let waiting = decisions
        .iter()
        .filter(|decision| matches!(decision, PlacementDecision::Wait(_)));
    assert_eq!(waiting.count(), placed);
    assert_eq!(placed, 2, "permits of 300 ms, less the time of the request");
}

/// Guards against requests that are refused or wait because of a cold head while another head is
/// warm, and against any request of another failure domain to a cold head.
#[test]
fn warm_groups_take_the_requests() {
    let entries = [head("i-1"), head("i-2")];
    let mut world = cold_world("kollam", &entries, &["i-1"]);

    assert_eq!(world.heads_used(NOW, 20), ["i-2"]);
}

/// Guards against requests to a cold server of a plain service without a permit.
#[test]
fn a_plain_server_gets_a_request_for_each_permit() {
    let mut world = cold_world("kochi", &[plain_server("p-1")], &["p-1"]);

    let first = world.balancer.pick(NOW, "desk", "kochi", &[]);
    let second = world.balancer.pick(NOW, "desk", "kochi", &[]);

    assert!(first.is_some() && second.is_none());
    let (due, permits) = world
        .balancer
        .next_permit(NOW, "desk", NOW + at(350))
        .unwrap();
    assert_eq!(permits, 3);
    assert!(world.balancer.pick(due, "desk", "kochi", &[]).is_some());
}

/// Guards against a cold head while another member is warm, also after a loss, and against a cold
/// member that leaves the group for it.
#[test]
fn a_group_gets_a_warm_head() {
    let entries = (0..5).map(|index| engine(&format!("i-{index}"), "f"));
    let profile = profile(vec![model("m-0", 4, 1.0)]);
    let mut world = FormationWorld::new(entries.collect(), profile, 1);
    let cold = ["i-0", "i-1", "i-4"].map(|id| (id.to_owned(), at(60_000)));
    world.manager.set_cold_ends(cold.into());

    world.run(at(3_000));
    let first = world.open_heads();
    world.remove(&first[0]);
    world.run(at(5_000));

    assert_eq!(first, ["i-2"]);
    assert_eq!(world.heads_of("m-0"), ["i-3"]);
    assert_eq!(world.members_of("i-3").len(), 4);
}

/// Guards against nodes that send a row to each other at each heartbeat of a cold server, and against
/// a server that becomes cold again without the others hearing of it.
#[test]
fn a_time_that_counts_down_is_no_change() {
    let mut world = GatewayWorld::new(vec![head("i-1")]);
    let mut is_change = Vec::new();

    for (version, left) in [
        (6, 0),
        (7, 3_000),
        (8, 1_800),
        (9, 600),
        (10, 0),
        (11, 3_000),
    ] {
        let mut entry = head("i-1");
        entry.write_count = version;
        entry.cold_left_ms = Some(left);
        world.fleet.take_heard();
        is_change.push(world.fleet.put(row_version(version), entry).is_some());
        assert!(world.fleet.take_heard().contains("i-1"));
    }

    assert_eq!(is_change, [false, true, false, false, false, true]);
}

/// Guards against a cold server that is taken as warm, or a warm one as cold, by each source.
#[test]
fn a_server_is_cold_as_its_latest_statement_says() {
    let mut limiter = limiter("kochi");
    let started = head("i-1");
    let is_cold = |limiter: &ColdLimiter, now| limiter.cold_until(now, "i-1").is_some();

    limiter.note_entry(at(10_000), &facts(&started, None, at(60_000)));
    assert!(!is_cold(&limiter, at(10_000)), "started a minute ago");
    let restarted = node_fixtures::restarted(started);
    let notice = limiter.note_entry(at(11_000), &facts(&restarted, None, at(500)));
    assert_eq!(notice.unwrap().left, at(3_000));
    assert!(is_cold(&limiter, at(13_999)) && !is_cold(&limiter, at(14_000)));

    limiter.note_response(at(15_000), "i-1", 1, at(2_000));
    assert!(
        !is_cold(&limiter, at(15_000)),
        "a response of the start before"
    );
    limiter.note_response(at(15_000), "i-1", 2, at(2_000));
    limiter.note_response(at(15_100), "i-1", 2, at(0));
    assert!(
        is_cold(&limiter, at(15_100)),
        "a response that was on its way"
    );
    assert_eq!(limiter.to_announce(at(15_500)).len(), 1);
    limiter.note_entry(at(15_600), &facts(&restarted, Some(at(0)), at(60_000)));
    assert!(!is_cold(&limiter, at(15_600)));

    assert_eq!(limiter.drain_ended(at(20_000), "kochi").len(), 1);
    limiter.note_entry(at(20_100), &facts(&restarted, None, at(60_000)));
    assert!(is_cold(&limiter, at(22_999)) && !is_cold(&limiter, at(23_000)));
    limiter.drain_ended(at(30_000), "kochi");
    limiter.note_entry(at(30_100), &facts(&restarted, Some(at(0)), at(60_000)));
    assert!(!is_cold(&limiter, at(30_100)));
}

/// Guards against nodes that take themselves for the larger part: of two equal halves, or when they
/// have not heard the others for so long that their beacons are forgotten; against a node that
/// was suspended and uses its old list, and against one that starts in the smaller part.
#[rstest]
#[case::half_without_the_first("10.0.0.9:1", 4, &["10.0.0.2:1", "10.0.0.3:1"], false)]
#[case::half_with_the_first("10.0.0.1:1", 4, &["10.0.0.2:1", "10.0.0.3:1"], true)]
#[case::more_than_half("10.0.0.9:1", 3, &["10.0.0.3:1"], true)]
#[case::started_beside_one_that_knows_more("10.0.0.9:1", 4, &[], false)]
fn a_cut_off_part_sends_nothing(
    #[case] heard: &str,
    #[case] known_nodes: u16,
    #[case] lost: &[&str],
    #[case] sends: bool,
) {
    let sighting = |address: &str, heard_at| NodeSighting {
        address: address.parse().unwrap(),
        heard_at,
        stopping: false,
        known_nodes,
    };
    let own = "10.0.0.5:1".parse().unwrap();
    let bound = ColdBound {
        overage: 2.0,
        tolerance: 0.0,
    };
    let mut limiter = ColdLimiter::new(own, "kochi", bound, at(0));
    let rule = ColdRule {
        start: at(3_000),
        per_s: 100.0,
    };
    limiter.set_rules([("model".to_owned(), rule)]);
    let entry = head("i-1");
    limiter.update_nodes(at(0), lost.iter().map(|address| sighting(address, at(0))));

    for now in (100..=60_000).step_by(100).map(at) {
        limiter.update_nodes(now, [sighting(heard, now)]);
    }

    limiter.note_entry(at(59_000), &facts(&entry, Some(at(20_000)), at(60_000)));
    let is_due = |permit| permit == ColdPermit::Due;
    assert_eq!(is_due(limiter.permit(at(60_050), "i-1")), sends);
    assert!(!is_due(limiter.permit(at(64_000), "i-1")), "an old list");
    limiter.update_nodes(at(64_000), [sighting(heard, at(64_000))]);
    assert!(
        !is_due(limiter.permit(at(64_000), "i-1")),
        "right after a pause"
    );
}
