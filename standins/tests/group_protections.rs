//! Each protection of the group keeper: the history breaks an invariant when
//! the protection is switched off, and none when it is on.

use {
    standins::fakes::groups::{FakeWorld, WorldFault, WorldSetup},
    std::{sync::Arc, time::Duration},
    toucanring::core::groups::GroupOptions,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn small(options: GroupOptions, fabrics: &[u32], unchecked_every: usize) -> WorldSetup {
    WorldSetup {
        options,
        unchecked_every,
        ..WorldSetup::small(fabrics)
    }
}

fn first_holder(setup: &WorldSetup) -> usize {
    let mut world = setup.build();
    world.run_until(millis(1_000));
    let mut nodes = world.nodes.iter();
    let holds = nodes.position(|node| node.keeper.rights(world.now).term().is_some());
    holds.expect("a controller takes the lease at once")
}

fn assert_protects(
    off: GroupOptions,
    history: impl Fn(GroupOptions) -> Vec<String>,
    expected: &str,
) {
    let without = history(off);
    let with = history(GroupOptions::default());
    println!("without the protection: {:?}", without.first());

    assert!(
        without.iter().any(|breach| breach.contains(expected)),
        "without the protection: {without:?}"
    );
    assert_eq!(with, Vec::<String>::new());
}

// Guards against an instance in two groups when two failure domains hold different operator texts.
#[test]
fn conditional_rows_keep_an_instance_in_one_group() {
    let history = |options| {
        let mut setup = small(options, &[4], 0);
        setup.domains.push(("thrissur".to_owned(), vec![4]));
        let mut world = setup.build();
        let mut text = setup.text();
        for server in &mut text.backend_servers {
            match server.instance.as_str() {
                "kochi-0-2" | "kochi-0-3" => {
                    server.failure_domain = "thrissur".to_owned();
                    server.fabric_domain = "thrissur-fabric-0".to_owned();
                }
                "thrissur-0-2" | "thrissur-0-3" => server.failure_domain = "kochi".to_owned(),
                _ => {}
            }
        }
        let text = Arc::new(text);
        for node in 0..world.nodes.len() {
            if world.nodes[node].failure_domain == "thrissur" {
                world.configure(Duration::ZERO, node, text.clone());
            }
        }
        world.run_until(millis(20_000));
        world.check.violations
    };
    let off = GroupOptions {
        conditional_rows: false,
        ..GroupOptions::default()
    };
    assert_protects(off, history, "is in row");
}

/// A member misses its join while paused; then the holder pauses past its lease.
fn paused_holder(options: GroupOptions) -> FakeWorld {
    let setup = small(options, &[4], 1);
    let holder = first_holder(&setup);
    let mut world = setup.build();
    world.fault(millis(1_000), WorldFault::Pause(3, millis(14_000)));
    world.fault(millis(2_300), WorldFault::PauseNode(holder, millis(20_000)));
    world
}

// Guards against a holder that resumes after its lease has run out and goes on ordering.
#[test]
fn the_lease_ends_on_the_holders_own_clock() {
    let history = |options| {
        let mut world = paused_holder(options);
        world.run_until(millis(40_000));
        world.check.violations
    };
    let off = GroupOptions {
        monotonic_lease: false,
        ..GroupOptions::default()
    };
    assert_protects(off, history, "takes join");
}

// Guards against an order that waits in a paused server and takes effect under the next holder.
#[test]
fn an_order_that_waited_too_long_is_dropped() {
    let history = |options| {
        let setup = small(options, &[4], 1);
        let holder = first_holder(&setup);
        let mut world = setup.build();
        world.fault(millis(1_500), WorldFault::Pause(3, millis(14_000)));
        world.fault(millis(2_600), WorldFault::KillNode(holder));
        world.run_until(millis(40_000));
        world.check.violations
    };
    let off = GroupOptions {
        order_deadline: false,
        ..GroupOptions::default()
    };
    assert_protects(off, history, "takes join");
}

// Guards against a former holder, cut off from the platform, that still forms groups.
#[test]
fn a_new_holder_fences_before_it_acts() {
    let history = |options| {
        let mut violations = Vec::new();
        // Whichever controller detects the death first acts first.
        for death in (40_000..41_000).step_by(50) {
            let setup = small(options, &[6], 0);
            let holder = first_holder(&setup);
            let mut world = setup.build();
            world.fault(millis(20_000), WorldFault::CutNode(holder, millis(60_000)));
            world.fault(millis(death), WorldFault::Die(1, millis(100_000)));
            world.run_until(millis(60_000));
            violations.extend(world.check.violations);
        }
        violations
    };
    let off = GroupOptions {
        fencing_sweep: false,
        ..GroupOptions::default()
    };
    assert_protects(off, history, "after term 2 acted");
}

// Guards against an order of the former holder that arrives after the first one of the new holder.
#[test]
fn a_new_holder_waits_for_the_last_order_to_arrive() {
    let history = |options| {
        let setup = small(options, &[4], 1);
        let holder = first_holder(&setup);
        let mut world = setup.build();
        // The member resumes just before the lease ends, so the last order is sent then.
        world.fault(millis(300), WorldFault::Pause(3, millis(8_000)));
        world.fault(millis(5_000), WorldFault::CutNode(holder, millis(30_000)));
        let slow = WorldFault::SlowOrders(holder, millis(1_900), millis(30_000));
        world.fault(millis(5_000), slow);
        world.run_until(millis(25_000));
        world.check.violations
    };
    let off = GroupOptions {
        settling_time: false,
        ..GroupOptions::default()
    };
    assert_protects(off, history, "takes join");
}

// Guards against a group that serves with a member that restarted and claims to be what it was.
#[test]
fn a_member_that_restarted_unnoticed_is_missing() {
    let history = |options| {
        let mut world = small(options, &[4], 0).build();
        world.fault(millis(20_000), WorldFault::Impersonate(2));
        world.run_until(millis(40_000));
        world.check.violations
    };
    let off = GroupOptions {
        incarnation_check: false,
        ..GroupOptions::default()
    };
    assert_protects(off, history, "after a member went missing");
}
