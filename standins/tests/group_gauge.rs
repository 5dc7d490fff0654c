//! What the lease holder counts as missing groups and stranded accelerators.

use {
    standins::fakes::groups::{FakeWorld, WorldFault, WorldSetup},
    std::time::Duration,
    toucanring::core::burn::GroupGauge,
};

/// Gauges of the processes that hold the lease; the others have none.
fn gauges(world: &FakeWorld) -> Vec<GroupGauge> {
    let nodes = world.nodes.iter();
    nodes
        .filter_map(|node| node.manager.gauge(world.now))
        .collect()
}

// Guards against a report without downtime and stranded accelerators while a group is down, and
// against a standby that reports them a second time.
#[test]
fn a_broken_group_is_missing_and_strands_its_survivors() {
    let mut world = WorldSetup::small(&[4]).build();
    let accelerators = 4 * world.text.backend_servers[0].accelerators;
    world.run_until(Duration::from_secs(20));
    let serving = gauges(&world);
    world.fault(
        Duration::from_secs(20),
        WorldFault::Die(1, Duration::from_secs(100)),
    );

    world.run_until(Duration::from_secs(30));

    let broken = gauges(&world);
    assert_eq!(serving, vec![GroupGauge::default()]);
    assert_eq!(broken.len(), 1, "only the lease holder has a gauge");
    assert_eq!(broken[0].missing_groups.values().sum::<u32>(), 1);
    assert_eq!(broken[0].stranded_accelerators, accelerators / 4 * 3);
}
