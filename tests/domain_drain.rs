//! Drained failure domains, in virtual time: which marks win, and what the schedulers and the
//! formation of groups do meanwhile.

mod node_fixtures;

use {
    node_fixtures::{
        FormationWorld, GatewayWorld, at, engine, head, model, plain_server, profile, request,
    },
    rstest::rstest,
    toucanring::core::{
        drain::{DomainDrains, DrainFreshness, DrainMark, MAX_NAME_BYTES, MAX_UNLISTED_DOMAINS},
        fleet::BackendEntry,
        placement::{GroupExclusion, PlacementClass, PlacementDecision, RefusalCause},
        store::StoreVersion,
    },
};

/// A mark of a failure domain as of a version, given by era and number.
fn mark(name: &str, (era, number): (u64, u64), drained: bool) -> DrainMark {
    DrainMark {
        failure_domain: name.to_owned(),
        version: StoreVersion::new(era, number),
        drained,
    }
}

fn listed() -> DomainDrains {
    DomainDrains::new(&["kochi".to_owned(), "thrissur".to_owned()])
}

fn in_domain(mut entry: BackendEntry, failure_domain: &str) -> BackendEntry {
    failure_domain.clone_into(&mut entry.failure_domain);
    entry
}

/// Drains failure domains for the schedulers of a gateway, and no others.
fn drain(world: &mut GatewayWorld, names: &[&str]) {
    let mut drains = listed();
    drains.merge(names.iter().map(|name| mark(name, (1, 9), true)));
    world.scheduler.apply_drains(&drains);
    world.balancer.apply_drains(&drains);
}

/// Guards against a result that depends on the order in which marks arrive over different ways, and
/// against a mark of the lost history that outlives the restoration of the store.
#[rstest]
#[case::written((1, 5), true, (1, 4), false, true)]
#[case::removed((1, 5), true, (1, 6), false, false)]
#[case::written_again((1, 7), true, (1, 6), false, true)]
#[case::same_version((1, 5), true, (1, 5), false, true)]
#[case::restored_without((1, 90), true, (2, 3), false, false)]
#[case::restored_with((1, 90), false, (2, 3), true, true)]
fn the_newest_mark_wins(
    #[case] first: (u64, u64),
    #[case] first_drained: bool,
    #[case] second: (u64, u64),
    #[case] second_drained: bool,
    #[case] expected: bool,
) {
    let first = mark("kochi", first, first_drained);
    let second = mark("kochi", second, second_drained);
    let (mut forward, mut backward) = (listed(), listed());

    forward.merge([first.clone(), second.clone()]);
    backward.merge([second, first]);

    assert_eq!(forward.is_drained("kochi"), expected);
    assert_eq!(backward.is_drained("kochi"), expected);
    assert!(!forward.is_drained("thrissur"));
}

/// Guards against a drain that goes on after its row is gone, also when the removal was in changes
/// that the store no longer has, and against the end of one that a later row has begun.
#[test]
fn a_read_of_the_whole_table_ends_the_drains_without_a_row() {
    let mut drains = listed();
    drains.merge([
        mark("kochi", (1, 5), true),
        mark("thrissur", (1, 12), true),
        mark("wayanad", (1, 6), true),
    ]);

    let read = StoreVersion::new(1, 9);
    let update = drains.apply_table(vec![mark("wayanad", (1, 6), true)], read);

    assert_eq!(update.changes.to_vec(), [mark("kochi", (1, 9), false)]);
    let drained: Vec<&str> = drains.drained().collect();
    assert_eq!(drained, ["thrissur", "wayanad"]);
}

/// Guards against a drain that a node which was cut off during a restoration brings back for good.
#[test]
fn a_mark_from_before_the_read_does_not_come_back() {
    let mut reader = listed();
    reader.apply_table(Vec::new(), StoreVersion::new(2, 3));
    let mut cut_off = listed();
    cut_off.apply_table(vec![mark("kochi", (1, 90), true)], StoreVersion::new(1, 95));

    reader.merge_known(cut_off.to_announce(0, 8, 160).unwrap());
    cut_off.merge_known(reader.to_announce(0, 8, 160).unwrap());

    assert!(!reader.is_drained("kochi"));
    assert!(!cut_off.is_drained("kochi"));
}

/// Guards against a node that counts as ready before it knows what is drained, and against an old
/// mark that no other node contradicts.
#[test]
fn a_starting_node_learns_all_marks_from_one_beacon() {
    let mut reader = listed();
    let rows = vec![mark("kochi", (1, 5), true), mark("thrissur", (1, 6), true)];
    reader.apply_table(rows, StoreVersion::new(1, 6));
    reader.merge([mark("kochi", (1, 8), false)]);
    let mut starting = listed();
    assert_eq!(starting.to_announce(1, 8, 160), None);
    assert!(!starting.is_known());

    starting.merge_known(reader.to_announce(7, 8, 160).unwrap());

    assert!(starting.is_known());
    assert!(starting.is_drained("thrissur") && !starting.is_drained("kochi"));
    let late = starting.merge([mark("kochi", (1, 5), true)]);
    assert!(late.changes.is_empty());
}

/// Guards against memory and datagrams that grow with rows of failure domains that do not exist, and
/// against such rows that keep a real one out.
#[test]
fn odd_rows_are_bounded_and_do_not_displace_real_ones() {
    let mut drains = listed();
    let odd = |number: u64| mark(&format!("odd-{number}"), (1, number + 1), true);
    let mut ignored = 0;
    for number in 0..1_000 {
        ignored += drains.merge([odd(number)]).ignored.len();
    }
    let long = drains.merge([mark(&"x".repeat(MAX_NAME_BYTES + 1), (1, 2_000), true)]);
    let update = drains.merge([mark("kochi", (1, 2_001), true)]);

    assert_eq!(ignored, 1_000 - MAX_UNLISTED_DOMAINS);
    assert_eq!((long.ignored.len(), long.changes.len()), (1, 0));
    assert_eq!(update.changes.len(), 1);
    assert_eq!(drains.drained().count(), MAX_UNLISTED_DOMAINS + 1);
    drains.apply_table(Vec::new(), StoreVersion::new(1 << 34, 1 << 34));
    for round in 0..50 {
        let marks = drains.to_announce(round, 8, 40).unwrap();
        let bytes: usize = marks.iter().map(|mark| mark.failure_domain.len()).sum();
        assert!(marks.len() <= 8 && bytes <= 40, "{marks:?}");
        for mark in marks {
            let size = postcard::experimental::serialized_size(&mark).unwrap();
            assert!(size <= mark.beacon_bytes(), "{mark:?}");
        }
    }
    // Ended drains make room.
    let later = mark("odd-later", (1 << 34, (1 << 34) + 1), true);
    assert!(drains.merge([later]).ignored.is_empty());
}

/// Guards against requests to groups of a drained failure domain, against groups that count as
/// suspect for it, and against a group that stays unused after the drain.
#[test]
fn a_drained_failure_domain_gets_no_requests_until_the_drain_ends() {
    let far = in_domain(head("i-2"), "thrissur");
    let mut world = GatewayWorld::new(vec![head("i-1"), far]);
    drain(&mut world, &["thrissur"]);

    for step in 0..50 {
        let now = at(1_000 + step * 20);
        assert_eq!(world.heads_used(now, 8), ["i-1"]);
        assert!(world.scheduler.tick(now).suspects.is_empty());
    }
    let request = request(at(2_000));
    let target = world.scheduler.open_targets().find(|one| one.head == "i-2");
    let exclusion = world
        .scheduler
        .exclusion(at(2_000), &request, target.unwrap());
    assert_eq!(exclusion, Some(GroupExclusion::Drained));
    let capacity = world.scheduler.capacity_for(at(2_000), &request);
    assert_eq!((capacity.groups, capacity.drained), (1, 1));

    drain(&mut world, &[]);
    assert_eq!(world.heads_used(at(3_000), 80), ["i-1", "i-2"]);
}

/// Guards against callers that are held, or told to return at the same moment, while no other
/// failure domain serves the model.
#[rstest]
#[case::new(PlacementClass::InTime)]
#[case::resumed(PlacementClass::Resumed)]
fn requests_are_refused_at_once_when_all_groups_are_drained(#[case] class: PlacementClass) {
    let far = in_domain(head("i-2"), "thrissur");
    let mut world = GatewayWorld::new(vec![head("i-1"), far]);
    drain(&mut world, &["kochi", "thrissur"]);

    let mut returns = Vec::new();
    for _ in 0..20 {
        let mut request = request(at(1_000));
        request.placement_class = class;
        let decision = world.scheduler.arrive(at(1_000), &request);
        let PlacementDecision::Refuse { cause, retry_after } = decision else {
            panic!("not refused: {decision:?}");
        };
        assert_eq!(cause, RefusalCause::Drained);
        returns.push(retry_after);
    }

    returns.sort();
    assert!(returns[19] > returns[0] + at(100), "{returns:?}");
}

/// Guards against a request that waits for a drained group until it is too late, instead of going
/// to another one.
#[rstest]
#[case::another_serves(true)]
#[case::none_serves(false)]
fn a_waiting_request_is_decided_when_the_drain_begins(#[case] has_other: bool) {
    let mut world = GatewayWorld::new(vec![head("i-1")]);
    loop {
        let decision = world.scheduler.arrive(at(1_000), &request(at(1_000)));
        if matches!(decision, PlacementDecision::Wait(_)) {
            break;
        }
        assert!(matches!(decision, PlacementDecision::Place(_)));
    }
    if has_other {
        world.put(7, in_domain(head("i-2"), "thrissur"));
    }
    drain(&mut world, &["kochi"]);

    let tick = world.scheduler.tick(at(1_020));

    match &tick.queue_decisions[0].1 {
        PlacementDecision::Place(placement) => assert!(has_other && placement.head == "i-2"),
        PlacementDecision::Refuse { cause, .. } => {
            assert!(!has_other && *cause == RefusalCause::Drained);
        }
        PlacementDecision::Wait(_) => panic!("still waits"),
    }
}

/// Guards against requests of plain services to a drained failure domain, and against callers that
/// are told of a pause which does not concern the servers in use.
#[test]
fn plain_servers_of_a_drained_failure_domain_get_nothing() {
    let far = in_domain(plain_server("p-2"), "thrissur");
    let mut world = GatewayWorld::new(vec![plain_server("p-1"), far]);

    drain(&mut world, &["kochi"]);
    assert_eq!(world.plain_used(at(1_000), 8), ["p-2"]);
    assert!(world.fleet.note_pause("p-2", 1, at(3_000)));
    world.apply_pauses();
    assert!(world.plain_used(at(1_000), 8).is_empty());
    let until = world.balancer.paused_until(at(1_000), "desk");
    assert_eq!(until, Some(at(3_000)));
    assert!(!world.balancer.is_fully_drained("desk"));
    drain(&mut world, &["kochi", "thrissur"]);
    assert!(world.balancer.is_fully_drained("desk"));

    drain(&mut world, &[]);
    assert_eq!(world.plain_used(at(4_000), 8), ["p-1", "p-2"]);
}

fn formation() -> FormationWorld {
    let engines = (0..7).map(|index| engine(&format!("i-{index}"), "f"));
    let profile = profile(vec![model("m-0", 3, 1.0)]);
    FormationWorld::new(engines.collect(), profile, 1)
}

/// Guards against orders and probes in a drained failure domain, and against groups that are
/// dissolved because of the drain.
#[test]
fn groups_of_a_drained_failure_domain_are_left_alone() {
    let mut world = formation();
    world.run(at(3_000));
    assert_eq!(world.open_heads().len(), 2);
    let heads = world.open_heads();
    let sent = world.orders.len();
    let group = world.entry(&heads[0]).membership.clone().unwrap();
    // A probe would count as a failure of the head, and its group would be dissolved.
    world.silent = vec![heads[0].clone()];

    world.manager.set_drained(true);
    for _ in 0..20 {
        world.suspect(&group.group, group.epoch);
        world.run(at(1_000));
    }
    world.hide("i-6");
    world.run(at(1_000));

    assert_eq!(world.orders.len(), sent);
    world.silent.clear();
    world.manager.set_drained(false);
    world.run(at(3_000));
    assert_eq!(world.open_heads(), heads);
    assert_eq!(world.orders.len(), sent, "{:?}", &world.orders[sent..]);
}

/// Guards against a manager that goes on from the state before the drain: a head that was lost
/// meanwhile must be replaced.
#[test]
fn formation_goes_on_from_the_present_state_after_the_drain() {
    let mut world = formation();
    world.run(at(3_000));
    let lost = world.open_heads()[0].clone();

    world.manager.set_drained(true);
    world.run(at(5_000));
    world.remove(&lost);
    world.run(at(5_000));
    let sent = world.orders.len();
    world.manager.set_drained(false);
    world.run(at(6_000));

    assert!(world.orders.len() > sent);
    assert_eq!(world.heads_of("m-0").len(), 2);
    assert!(!world.heads_of("m-0").contains(&lost));
}

/// Guards against a node that trusts beacons from before its suspension, that holds requests of
/// deployments without a bound, or that holds them for ever without contact.
#[test]
fn only_a_beacon_from_after_the_suspension_is_news() {
    let mut freshness = DrainFreshness::new(Some(at(5_000)), at(0));
    assert!(!freshness.send_own_beacon(at(10), 1));
    freshness.check(at(1_200));
    assert!(!freshness.is_outdated(at(1_200)));
    freshness.check(at(4_000));
    assert!(freshness.send_own_beacon(at(4_000), 7));

    // The node is suspended again before its own beacon is read.
    freshness.check(at(9_000));
    freshness.note_own_beacon(7);
    assert!(!freshness.note_peer_beacon());
    assert!(freshness.send_own_beacon(at(9_050), 8));
    assert!(!freshness.note_peer_beacon());
    assert!(freshness.is_outdated(at(9_100)));
    freshness.note_own_beacon(8);
    assert!(freshness.note_peer_beacon());
    assert!(!freshness.is_outdated(at(9_100)));

    freshness.check(at(20_000));
    assert_eq!(freshness.held_until(at(20_900)), Some(at(21_000)));
    assert_eq!(freshness.held_until(at(21_000)), None);
    let mut short = DrainFreshness::new(Some(at(1_000)), at(0));
    assert_eq!(short.check(at(400)), None);
    let mut unbounded = DrainFreshness::new(None, at(0));
    assert_eq!(unbounded.check(at(60_000)), None);
    assert!(!unbounded.is_outdated(at(60_000)));
}
