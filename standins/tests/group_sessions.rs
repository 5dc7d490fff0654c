//! Golden sessions of the group manager: each file holds all orders, commits and publications of
//! one failure history. `UPDATE_GOLDEN=1` rewrites the files.

use {
    standins::fakes::groups::{FakeWorld, WorldFault, WorldSetup},
    std::{fs, path::PathBuf, time::Duration},
    toucanring::wire::GroupState,
};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Number of groups that take new requests and can run them.
fn serving_groups(world: &FakeWorld) -> usize {
    let groups = world.check.groups.values();
    groups.filter(|group| group.can_serve()).count()
}

/// World with one serving group; its log starts with the first event.
fn started_world(setup: &WorldSetup) -> FakeWorld {
    let mut world = setup.build();
    world.log = Some(Vec::new());
    assert!(world.run_until_true(seconds(60), |world| serving_groups(world) == 1));
    world
}

/// Compares the logged session with its golden file and asserts that no invariant was broken.
fn assert_matches_golden(name: &str, world: &FakeWorld) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    let session = world
        .log
        .as_ref()
        .map(|log| log.join("\n") + "\n")
        .unwrap_or_default();
    if std::env::var_os("UPDATE_GOLDEN").is_some() {
        fs::write(&path, &session).expect("golden file is writable");
    }
    let golden = fs::read_to_string(&path).expect("golden file exists");
    assert_eq!(
        session, golden,
        "session {name} differs from its golden file"
    );
    assert_eq!(world.check.violations, Vec::<String>::new());
}

// Guards against a repair that loads more than the shard of the member that died.
#[test]
fn a_dead_member_is_replaced_by_a_spare() {
    let mut world = started_world(&WorldSetup::small(&[6]));
    let lost = member_at_rank(&world, 2);
    world.fault(seconds(20), WorldFault::Die(lost, seconds(100)));
    world.run_until(seconds(40));
    assert_matches_golden("death_with_spare", &world);
    assert_eq!(serving_groups(&world), 1);
}

// Guards against a group that stays down although its dead member is running again.
#[test]
fn a_dead_member_without_spare_is_awaited() {
    let mut world = started_world(&WorldSetup::small(&[4]));
    world.fault(seconds(20), WorldFault::Die(1, seconds(30)));
    world.run_until(seconds(70));
    assert_matches_golden("death_without_spare", &world);
    assert_eq!(serving_groups(&world), 1);
}

// Guards against a service that stays down when its fabric domain fails and another one has enough
// free instances.
#[test]
fn a_fabric_domain_down_moves_the_group() {
    let mut world = started_world(&WorldSetup::small(&[4, 5]));
    let fabric = world.instances[member_at_rank(&world, 0)]
        .fabric_domain
        .clone();
    world.fault(seconds(20), WorldFault::FabricDown(fabric, seconds(120)));
    world.run_until(seconds(60));
    assert_matches_golden("fabric_domain_down", &world);
    assert_eq!(serving_groups(&world), 1);
}

// Guards against a repair that waits for the end of a platform outage, and against rows that are
// not corrected after it.
#[test]
fn a_death_during_a_platform_outage_is_repaired_and_reconciled() {
    let mut world = started_world(&WorldSetup::small(&[6]));
    let lost = member_at_rank(&world, 1);
    world.fault(seconds(20), WorldFault::PlatformOut(seconds(60)));
    world.fault(seconds(30), WorldFault::Die(lost, seconds(200)));
    world.run_until(seconds(70));
    assert_eq!(
        serving_groups(&world),
        1,
        "repaired while the platform is out"
    );
    world.run_until(seconds(100));
    assert_matches_golden("outage_with_death", &world);
}

// Guards against orders of a holder that was paused, lost its lease meanwhile and resumes.
#[test]
fn a_paused_holder_that_resumes_gives_no_order() {
    let mut world = started_world(&WorldSetup::small(&[6]));
    let lost = member_at_rank(&world, 1);
    let holder = holder_index(&world);
    world.fault(seconds(20), WorldFault::PauseNode(holder, seconds(20)));
    world.fault(seconds(30), WorldFault::Die(lost, seconds(200)));
    world.run_until(seconds(60));
    assert_matches_golden("paused_holder", &world);
    assert_eq!(serving_groups(&world), 1);
}

// Guards against a repair that is done twice or not at all when the answer to its commit is lost,
// so that the holder does not know whether the commit took effect.
#[test]
fn a_lost_write_answer_is_settled_by_reading_back() {
    let mut world = started_world(&WorldSetup::small(&[6]));
    let lost = member_at_rank(&world, 3);
    world.fault(seconds(21), WorldFault::Die(lost, seconds(200)));
    world.fault(seconds(21), WorldFault::LoseAnswers(seconds(3)));
    world.run_until(seconds(40));
    assert_matches_golden("lost_answer", &world);
    assert_eq!(serving_groups(&world), 1);
}

/// Index of the instance at this rank of the serving group.
fn member_at_rank(world: &FakeWorld, rank: usize) -> usize {
    let group = world
        .check
        .groups
        .values()
        .find(|group| group.entry.state == GroupState::Serving);
    group.expect("a group serves").members[rank]
}

/// Index of the controller that holds the lease.
fn holder_index(world: &FakeWorld) -> usize {
    let mut nodes = world.nodes.iter();
    let holds = nodes.position(|node| node.manager.rights(world.now).term().is_some());
    holds.expect("a controller holds the lease")
}

// Guards against a holder that forgets its rows: its commits are slow, so its lease is in doubt
// when another controller withdraws a group.
#[test]
fn a_withdrawal_while_the_lease_is_in_doubt_leaves_no_row_behind() {
    for death in (22_000..25_000).step_by(100) {
        let mut world = started_world(&WorldSetup::small(&[6]));
        let lost = member_at_rank(&world, 1);
        world.fault(seconds(20), WorldFault::SlowCommits(seconds(5)));
        let death = Duration::from_millis(death);
        world.fault(death, WorldFault::Die(lost, seconds(300)));
        world.run_until(seconds(60));

        assert_eq!(world.check.violations, Vec::<String>::new());
        assert_eq!(world.table.scan("group/").len(), 1);
        assert_eq!(serving_groups(&world), 1);
    }
}
