//! Updates of the schedulers from the changes of the list of servers, in virtual time.

mod node_fixtures;

use {
    node_fixtures::{
        GatewayWorld, at, engine, model, plain_server, profile, request, routes, row_version,
        stream_route,
    },
    rand::{RngExt, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    rstest::rstest,
    std::collections::BTreeSet,
    toucanring::core::{
        fleet::{BackendEntry, EngineMembership, FleetView, MemberState},
        placement::{PlacementDecision, PlacementScheduler, PlainBalancer},
        routes::RouteTable,
    },
};

/// Members of each group.
const GROUP_SIZE: usize = 2;

fn table(version: u64) -> RouteTable {
    let rules = vec![stream_route("r-1", "/draft/", at(300))];
    let models = vec![model("m-0", GROUP_SIZE, 1.0)];
    RouteTable::new(routes(version, rules, profile(models)))
}

fn member(id: &str, group: &str, epoch: u64, rank: u32, state: MemberState) -> BackendEntry {
    let mut entry = engine(id, "f");
    entry.model = Some("m-0".to_owned());
    entry.membership = Some(EngineMembership {
        group: group.to_owned(),
        epoch,
        rank,
        state,
    });
    entry
}

/// A list of `groups` open groups of [`GROUP_SIZE`] members and two plain servers.
fn fleet_of(groups: usize) -> FleetView {
    let mut fleet = FleetView::new();
    for group in 0..groups {
        let name = format!("g-{group}");
        let open = member(&format!("h-{group}"), &name, 1, 0, MemberState::Open);
        let ready = member(&format!("r-{group}"), &name, 1, 1, MemberState::Ready);
        fleet.put(row_version(1), open);
        fleet.put(row_version(1), ready);
    }
    fleet.put(row_version(1), plain_server("p-1"));
    fleet.put(row_version(1), plain_server("p-2"));
    fleet
}

/// An entry as a server may write it at any time: free, a member or a head of some group, a plain
/// server, draining, or of a later incarnation.
fn random_entry(rng: &mut ChaCha8Rng) -> BackendEntry {
    let id = format!("i-{}", rng.random_range(0..12));
    let states = [MemberState::Open, MemberState::Ready, MemberState::Broken];
    let mut entry = match rng.random_range(0..5) {
        0 => plain_server(&id),
        1 => engine(&id, "f"),
        _ => {
            let group = format!("g-{}", rng.random_range(0..4));
            let state = *states.choose(rng).unwrap();
            let rank = rng.random_range(0..2);
            member(&id, &group, rng.random_range(1..3), rank, state)
        }
    };
    entry.born_ms = rng.random_range(1..3);
    entry.leaving = rng.random_bool(0.15);
    entry
}

/// Groups that accept requests, with their heads and members.
fn open_groups(scheduler: &PlacementScheduler) -> BTreeSet<String> {
    let targets = scheduler.open_targets();
    let names = targets.map(|target| {
        format!(
            "{} {} {} {} {:?}",
            target.group, target.epoch, target.head, target.head_born_ms, target.members
        )
    });
    names.collect()
}

/// Servers of a service that the balancer picks.
fn picked(balancer: &PlainBalancer, service: &str) -> BTreeSet<String> {
    let mut balancer = balancer.clone();
    let mut servers = BTreeSet::new();
    for _ in 0..100 {
        if let Some((_, server, _)) = balancer.pick(at(0), service, "kochi", &[]) {
            servers.insert(server);
        }
    }
    servers
}

/// Guards against groups and plain servers that differ from the list of servers, because a change
/// was left out or applied to another group.
#[rstest]
#[case::few_changes_a_sync(3)]
#[case::more_changes_than_are_kept(900)]
fn schedulers_that_apply_changes_agree_with_new_ones(#[case] most_changes: u64) {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = FleetView::new();
        let mut scheduler = PlacementScheduler::new("kochi", 7);
        let mut balancer = PlainBalancer::default();
        let mut version = 1;

        for round in 0..60 {
            for _ in 0..rng.random_range(0..=most_changes) {
                version += 1;
                let entry = random_entry(&mut rng);
                if rng.random_bool(0.2) {
                    fleet.remove(at(0), row_version(version), &entry.id);
                } else {
                    fleet.put(row_version(version), entry);
                }
            }
            let table = table(1 + round / 20);
            scheduler.sync(&fleet, &table);
            balancer.sync(&fleet);

            let mut new_scheduler = PlacementScheduler::new("kochi", 7);
            new_scheduler.sync(&fleet, &table);
            let mut new_balancer = PlainBalancer::default();
            new_balancer.sync(&fleet);
            assert_eq!(open_groups(&scheduler), open_groups(&new_scheduler));
            for service in ["model", "desk"] {
                let servers = picked(&balancer, service);
                assert_eq!(servers, picked(&new_balancer, service), "seed {seed}");
            }
        }
    }
}

/// Guards against work for each change that grows with the list: every node compared all servers
/// with each other, which took half of the processor time of a deployment of 1,101 servers.
#[test]
fn one_changed_entry_is_one_change_however_long_the_list_is() {
    let mut fleet = fleet_of(1_500);
    let before = fleet.revision();

    fleet.put(
        row_version(2),
        member("r-7", "g-7", 2, 1, MemberState::Joining),
    );

    let changes = fleet.changes_since(before).expect("the change is kept");
    let changes: Vec<_> = changes.collect();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].server, "r-7");
    let epochs = changes[0].groups.iter().map(|group| group.epoch);
    assert_eq!(epochs.collect::<Vec<_>>(), [1, 2]);
    assert!(fleet.changes_since(0).is_none());
}

/// Guards against a group that keeps its former members when it opens again between two updates.
#[test]
fn a_group_that_opens_again_has_its_present_members() {
    let mut fleet = fleet_of(1);
    let mut scheduler = PlacementScheduler::new("kochi", 7);
    scheduler.sync(&fleet, &table(1));

    fleet.put(row_version(2), engine("r-0", "f"));
    fleet.put(
        row_version(3),
        member("r-9", "g-0", 1, 1, MemberState::Ready),
    );
    scheduler.sync(&fleet, &table(1));

    let target = scheduler.open_targets().next().expect("an open group");
    assert_eq!(target.members[..], ["h-0", "r-9"]);
}

/// Guards against a group that loses its running requests, or is used again, when it closes while
/// they run, and against one that stays known after the last has ended.
#[test]
fn a_closed_group_is_kept_until_its_requests_have_ended() {
    let mut fleet = fleet_of(1);
    let mut scheduler = PlacementScheduler::new("kochi", 7);
    scheduler.sync(&fleet, &table(1));
    let decision = scheduler.arrive(at(0), &request(at(0)));
    let PlacementDecision::Place(placement) = decision else {
        panic!("not placed: {decision:?}");
    };

    fleet.put(
        row_version(2),
        member("h-0", "g-0", 1, 0, MemberState::Broken),
    );
    scheduler.sync(&fleet, &table(1));

    assert_eq!(scheduler.open_targets().count(), 0);
    assert_eq!(scheduler.own_loads().len(), 1);
    let first_event = scheduler.note_event(at(40), placement.attempt);
    assert!(first_event.is_some());
    scheduler.ended(placement.attempt);
    assert!(scheduler.own_loads().is_empty());
}

/// Guards against a plain server that is forgotten while its request runs, so that its end counts
/// for another one, and against one that is not used again after its entry has come back.
#[test]
fn a_plain_server_that_comes_back_is_used_again() {
    let mut world = GatewayWorld::new(vec![plain_server("p-1")]);
    let (key, ..) = world.balancer.pick(at(0), "desk", "kochi", &[]).unwrap();

    world.fleet.remove(at(0), row_version(6), "p-1");
    world.sync();
    assert!(world.plain_used(at(0), 2).is_empty());
    world.put(7, plain_server("p-1"));
    world.balancer.ended(at(10), key, Some(at(10)));

    assert_eq!(world.plain_used(at(20), 2), ["p-1"]);
}
