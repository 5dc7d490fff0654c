//! Safety mechanisms of the group manager, one test each: a history that breaks an invariant with
//! the mechanism switched off must break none with all of them on.

use {
    standins::fakes::groups::{FakeWorld, WorldFault, WorldSetup},
    std::{sync::Arc, time::Duration},
    toucanring::core::groups::GroupOptions,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn small(options: GroupOptions, fabrics: &[u32], unchecked_interval: usize) -> WorldSetup {
    WorldSetup {
        options,
        unchecked_interval,
        ..WorldSetup::small(fabrics)
    }
}

/// Index of the controller that takes the lease first.
fn first_holder(setup: &WorldSetup) -> usize {
    let mut world = setup.build();
    world.run_until(millis(1_000));
    let mut nodes = world.nodes.iter();
    let holds = nodes.position(|node| node.manager.rights(world.now).term().is_some());
    holds.expect("a controller takes the lease at once")
}

/// Asserts that `history` has a violation that contains `expected` with the options `unprotected`,
/// and no violation with all protections on.
fn assert_protects(
    unprotected: GroupOptions,
    history: impl Fn(GroupOptions) -> Vec<String>,
    expected: &str,
) {
    let unprotected_violations = history(unprotected);
    let protected_violations = history(GroupOptions::default());
    println!(
        "without the protection: {:?}",
        unprotected_violations.first()
    );

    assert!(
        unprotected_violations
            .iter()
            .any(|violation| violation.contains(expected)),
        "without the protection: {unprotected_violations:?}"
    );
    assert_eq!(protected_violations, Vec::<String>::new());
}

// Guards against an instance in two groups: two failure domains have different operator texts and
// each counts the same instances as its own.
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
    let unprotected = GroupOptions {
        conditional_rows: false,
        ..GroupOptions::default()
    };
    assert_protects(unprotected, history, "is in row");
}

/// World in which a member misses its join order while it is paused, and the lease holder is then
/// paused past the end of its lease. Every server ignores fencing numbers.
fn paused_holder(options: GroupOptions) -> FakeWorld {
    let setup = small(options, &[4], 1);
    let holder = first_holder(&setup);
    let mut world = setup.build();
    world.fault(millis(1_000), WorldFault::Pause(3, millis(14_000)));
    world.fault(millis(2_300), WorldFault::PauseNode(holder, millis(20_000)));
    world
}

// Guards against orders of a former holder: it was paused, its lease expired meanwhile, and it goes
// on ordering when it resumes.
#[test]
fn the_lease_ends_on_the_holders_own_clock() {
    let history = |options| {
        let mut world = paused_holder(options);
        world.run_until(millis(40_000));
        world.check.violations
    };
    let unprotected = GroupOptions {
        monotonic_lease: false,
        ..GroupOptions::default()
    };
    assert_protects(unprotected, history, "takes join");
}

// Guards against an order that waits in a paused backend server and takes effect when the server
// resumes, after the next holder has taken over.
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
    let unprotected = GroupOptions {
        order_deadline: false,
        ..GroupOptions::default()
    };
    assert_protects(unprotected, history, "takes join");
}

// Guards against a former holder that is cut off from the platform and still forms groups, while
// the new holder acts on the same instances.
#[test]
fn a_new_holder_fences_before_it_acts() {
    let history = |options| {
        let mut violations = Vec::new();
        // The controller that detects the death first acts first, so the time of death is varied.
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
    let unprotected = GroupOptions {
        fencing_sweep: false,
        ..GroupOptions::default()
    };
    assert_protects(unprotected, history, "after term 2 acted");
}

// Guards against a delayed order of the former holder that arrives after the first order of the new
// holder, at a server that ignores fencing numbers.
#[test]
fn a_new_holder_waits_for_the_last_order_to_arrive() {
    let history = |options| {
        let setup = small(options, &[4], 1);
        let holder = first_holder(&setup);
        let mut world = setup.build();
        // The member resumes just before the lease ends, so the holder sends its last order then.
        world.fault(millis(300), WorldFault::Pause(3, millis(8_000)));
        world.fault(millis(5_000), WorldFault::CutNode(holder, millis(30_000)));
        let slow = WorldFault::SlowOrders(holder, millis(1_900), millis(30_000));
        world.fault(millis(5_000), slow);
        world.run_until(millis(25_000));
        world.check.violations
    };
    let unprotected = GroupOptions {
        settling_time: false,
        ..GroupOptions::default()
    };
    assert_protects(unprotected, history, "takes join");
}

// Guards against a group that serves with a member that restarted between two polls and still
// reports its old membership and shard.
#[test]
fn a_member_that_restarted_unnoticed_is_missing() {
    let history = |options| {
        let mut world = small(options, &[4], 0).build();
        world.fault(millis(20_000), WorldFault::Impersonate(2));
        world.run_until(millis(40_000));
        world.check.violations
    };
    let unprotected = GroupOptions {
        incarnation_check: false,
        ..GroupOptions::default()
    };
    assert_protects(unprotected, history, "after a member went missing");
}
