//! Repairs of replica groups while members fail faster than weights load, in
//! virtual time.

mod node_fixtures;

use {
    node_fixtures::{FormationWorld, at, engine, model, profile},
    rstest::rstest,
    toucanring::core::{fleet::BackendEntry, formation::OrderBody, routes::EngineProfile},
};

const LARGE: &str = "m-large";
const SMALL: &str = "m-small";

fn domain_entries(count: usize, fabric: &str) -> Vec<BackendEntry> {
    let ids = (0..count).map(|index| format!("i-{fabric}-{index:02}"));
    ids.map(|id| engine(&id, fabric)).collect()
}

fn two_sizes(large: usize, small: usize, loads_at_once: u32) -> EngineProfile {
    let mut small = model(SMALL, small, 0.43);
    small.load = at(12_000);
    small.warm = at(1_100);
    let mut profile = profile(vec![model(LARGE, large, 0.57), small]);
    profile.loads_per_s = 18.0;
    profile.loads_at_once = loads_at_once;
    profile
}

/// A world whose groups are open and whose startup is over; joins and loads take
/// their full time from now on.
fn serving_world(entries: Vec<BackendEntry>, profile: EngineProfile) -> FormationWorld {
    let mut world = FormationWorld::new(entries, profile, 1);
    world.run(at(6_000));
    world.manager.set_preparing(false);
    world.use_timed_loads();
    world.run(at(1_000));
    world
}

/// Two fabric domains of nine servers: `a` serves groups of four, `b` groups of three.
fn two_domains() -> FormationWorld {
    let mut entries = domain_entries(9, "a");
    entries.extend(domain_entries(9, "b"));
    serving_world(entries, two_sizes(4, 3, 2))
}

/// Removes a member of a group of the model for good, but not its head.
fn remove_member(world: &mut FormationWorld, model: &str) {
    let head = world.heads_of(model).remove(0);
    let members = world.members_of(&head);
    let member = members.iter().find(|id| **id != head).unwrap().clone();
    world.remove(&member);
}

/// Guards against groups of both models in the only known fabric domain while the
/// other one registers late: kottayam of thirulipi-hq began scale-2 with one group
/// of the large model in place of two.
#[rstest]
#[case::soon(1_000)]
#[case::after_two_seconds(2_200)]
fn a_late_fabric_domain_does_not_mix_models(#[case] late_ms: u64) {
    let mut entries = domain_entries(9, "a");
    entries.extend(domain_entries(9, "b"));
    let late: Vec<String> = (0..9).map(|index| format!("i-b-{index:02}")).collect();
    let mut world = FormationWorld::with_late(entries, two_sizes(4, 3, 2), &late);

    world.run(at(late_ms));
    world.show_hidden();
    world.run(at(5_000));

    assert_eq!(world.heads_of(LARGE).len(), 2);
    assert_eq!(world.heads_of(SMALL).len(), 3);
}

/// Guards against hosts with weights that wait for another member to load while
/// enough hosts with the same weights are free (SHORT in scale-2 of thirulipi-hq,
/// seed 881008: no group of the large model from 28 s to 33 s).
#[test]
fn hosts_with_weights_do_not_wait_for_a_load() {
    let mut world = two_domains();
    remove_member(&mut world, LARGE);
    world.run(at(3_000));
    assert_eq!(world.heads_of(LARGE).len(), 2);
    // No spare is left: three survivors and a fresh server.
    remove_member(&mut world, LARGE);
    world.add(engine("i-a-20", "a"));
    world.run(at(3_000));
    assert_eq!(world.heads_of(LARGE).len(), 1);

    // Six hosts hold the weights now.
    remove_member(&mut world, LARGE);
    world.run(at(3_500));

    assert_eq!(world.heads_of(LARGE).len(), 1);
}

/// Guards against a group that is dissolved during its loads, so that one loss
/// discards the loads of all members (three of eight groups in the same run).
#[test]
fn a_loss_during_loading_costs_one_load() {
    let mut world = two_domains();
    for _ in 0..3 {
        remove_member(&mut world, LARGE);
        world.run(at(3_000));
    }
    for index in 20..24 {
        world.add(engine(&format!("i-a-{index}"), "a"));
    }
    world.run(at(8_000));
    world.remove("i-a-20");

    // One load of 16 s, and the time to join the group.
    world.run(at(20_000));

    assert_eq!(world.heads_of(LARGE).len(), 2);
}

/// Guards against spares of a model with enough groups that load before the
/// members of a group that another model lacks.
#[test]
fn spares_load_after_the_groups_of_a_model_that_is_short() {
    let mut world = two_domains();
    remove_member(&mut world, SMALL);
    remove_member(&mut world, SMALL);
    for _ in 0..3 {
        remove_member(&mut world, LARGE);
        world.run(at(3_000));
    }
    world.add(engine("i-b-20", "b"));
    world.add(engine("i-b-21", "b"));
    world.add(engine("i-a-20", "a"));
    world.add(engine("i-a-21", "a"));
    let from = world.now;

    while world.heads_of(LARGE).len() < 2 {
        world.run(at(500));
        assert!(
            world.now < from + at(16_000 + 4_000),
            "not repaired in time"
        );
    }
}

/// Fabric domains of 37 servers each, with groups of sixteen and four.
fn shared_world(fabrics: &[&str]) -> FormationWorld {
    let mut entries = Vec::new();
    for fabric in fabrics {
        entries.extend(domain_entries(37, fabric));
    }
    let mut profile = two_sizes(16, 4, 9);
    profile.models[0].share = 0.5;
    profile.models[1].share = 0.5;
    serving_world(entries, profile)
}

/// Guards against small groups that use the hosts of the large group, one after the
/// other, while a fabric domain restarts after a power loss (val-venosta in trouble-2
/// of campanari-rete-grown, seed 880001: 18 hosts held the weights of the large model,
/// and it had no group).
#[test]
fn a_fabric_domain_that_restarts_serves_its_large_model_again() {
    let mut world = shared_world(&["f", "g"]);
    let ids: Vec<String> = (0..37).map(|index| format!("i-f-{index:02}")).collect();
    for id in &ids {
        world.remove(id);
    }
    world.run(at(4_000));

    for id in &ids {
        world.restart(id);
        world.run(at(50));
    }
    world.run(at(6_000));

    assert_eq!(world.heads_of(LARGE).len(), 2);
}

/// Guards against large groups that are never formed again once their hosts serve
/// the small model (val-isarco in the same run: 7 of 71 hosts held the weights of the
/// large model, 17 small groups used a quarter of their request slots, and no large
/// group was formed until the end).
#[test]
fn a_lost_large_group_is_formed_again_from_small_ones() {
    let mut world = shared_world(&["f"]);
    world
        .manager
        .set_work_shares(|model| Some(if model == LARGE { 0.25 } else { 0.75 }));
    // Seven members of the large group are lost at once, more than its four reserve hosts.
    let head = world.heads_of(LARGE).remove(0);
    let members = world.members_of(&head);
    for id in members.iter().take(7) {
        world.remove(id);
    }
    world.run(at(2_000));
    assert!(world.heads_of(LARGE).is_empty());
    for index in 50..57 {
        world.add(engine(&format!("i-f-{index}"), "f"));
    }

    world
        .manager
        .set_busy_shares(|model| (model == SMALL).then_some(0.3));
    world.run(at(40_000));

    assert_eq!(world.heads_of(LARGE).len(), 1);
    assert!(world.heads_of(SMALL).len() >= 4);
}

/// Guards against spares that load before the groups of a starting deployment: in
/// trouble-2 of campanari-rete-grown all hosts loaded the weights of the small model
/// first, and the large groups opened 4 s late.
#[test]
fn a_deployment_that_starts_loads_groups_before_spares() {
    let mut entries = domain_entries(37, "f");
    entries.extend(domain_entries(37, "g"));
    let mut profile = two_sizes(16, 4, 9);
    profile.models[0].load = at(1_600);
    profile.models[1].load = at(1_200);
    let late: Vec<String> = (0..37).map(|index| format!("i-g-{index:02}")).collect();
    let mut world = FormationWorld::with_late(entries, profile, &late);
    world.use_timed_loads();

    world.run(at(1_000));
    world.show_hidden();
    world.run(at(14_000));

    let is_stage = |body: &OrderBody| matches!(body, OrderBody::Stage { .. });
    let is_join = |body: &OrderBody| matches!(body, OrderBody::Join { .. });
    let first_stage = world.orders.iter().position(|(_, body)| is_stage(body));
    let last_join = world.orders.iter().rposition(|(_, body)| is_join(body));
    assert!(first_stage.expect("spares") > last_join.expect("groups"));
    assert_eq!(world.heads_of(LARGE).len(), 2);
}

/// Guards against hosts that stay spares of a large model with free request slots
/// while the small model has too few (31 free hosts in the same run from 36 s to 40 s).
#[test]
fn surplus_spares_load_a_model_that_is_short() {
    let mut world = shared_world(&["f"]);
    let small = world.heads_of(SMALL).len();
    for index in 50..55 {
        let mut spare = engine(&format!("i-f-{index}"), "f");
        spare.staged = vec![LARGE.to_owned()];
        world.add(spare);
    }
    let busy_share = |model: &str| Some(if model == SMALL { 0.95 } else { 0.4 });
    world.manager.set_busy_shares(busy_share);

    world.run(at(16_000));

    assert_eq!(world.heads_of(SMALL).len(), small + 1);
    assert_eq!(world.heads_of(LARGE).len(), 1);
}

/// Guards against survivors of a broken group that are told to load the weights of the small model
/// (scale-1 of campanari-rete-grown, seed 776004): while no group of the large one was open, it
/// counted as idle (val-isarco, 7 of 15 within 0.3 s), and while another one was open with free slots,
/// they counted as surplus spares (val-venosta, 12 of 14).
#[rstest]
#[case::no_group_is_open(None)]
#[case::another_group_has_free_slots(Some(0.8))]
fn hosts_of_a_broken_group_keep_its_weights(#[case] large_busy: Option<f64>) {
    let mut world = shared_world(&["f", "g"]);
    world.use_timed_loads();
    let heads = world.heads_of(LARGE);
    let survivors: Vec<String> = world.members_of(&heads[0])[7..].to_vec();
    let lost = world.members_of(&heads[0])[..7].to_vec();
    let lost_elsewhere = world.members_of(&heads[1])[15].clone();
    let busy_share = |model: &str| {
        if model == SMALL {
            Some(0.95)
        } else {
            large_busy
        }
    };
    world.orders.clear();

    for id in lost.iter().chain([&lost_elsewhere]) {
        world.remove(id);
    }
    for _ in 0..40 {
        world.manager.set_busy_shares(busy_share);
        world.run(at(50));
    }

    let loads_small =
        |body: &OrderBody| matches!(body, OrderBody::Stage { model } if model == SMALL);
    let mut reloaded = Vec::new();
    for (id, body) in &world.orders {
        if loads_small(body) && survivors.contains(id) {
            reloaded.push(id.clone());
        }
    }
    assert_eq!(reloaded, Vec::<String>::new());
}

/// Guards against a reserve that the first loss of a fabric domain uses up, so that a group that
/// breaks again is out of service for the time of a load (val-isarco in the same run: no large group
/// in a fabric domain with 19 free servers from 28 s to the end).
#[test]
fn a_large_group_that_breaks_twice_within_a_load_is_back() {
    let mut profile = two_sizes(16, 4, 9);
    profile.models[0].load = at(60_000);
    let mut world = serving_world(domain_entries(37, "f"), profile);
    let mut open_after = Vec::new();

    for _ in 0..2 {
        let head = world.heads_of(LARGE).remove(0);
        for id in world.members_of(&head).iter().rev().take(3) {
            world.remove(id);
        }
        world.run(at(14_000));
        open_after.push(world.heads_of(LARGE).len());
    }

    assert_eq!(open_after, [1, 1]);
}
