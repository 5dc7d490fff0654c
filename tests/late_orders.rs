//! Orders that engines carry out late, after newer ones, in virtual time.

mod engine_world;
mod node_fixtures;

use {
    engine_world::{EngineWorld, FateChoice, OrderFate},
    node_fixtures::{at, model, profile},
    rstest::rstest,
    std::{cell::RefCell, rc::Rc, time::Duration},
    toucanring::core::formation::{OrderBody, OrderOutcome},
};

/// The first join of the second member of a group is carried out 6.5 s late, and four orders to
/// leave the group 3 s late, unless they go to that member.
fn late_join_of_a_member() -> FateChoice {
    let late_member = Rc::new(RefCell::new(None::<String>));
    Box::new(move |server, body, count| {
        let mut late_member = late_member.borrow_mut();
        match body {
            OrderBody::Join { members, .. } if members[1] == server && late_member.is_none() => {
                *late_member = Some(server.to_owned());
                OrderFate::Late(at(6_500))
            }
            OrderBody::Leave { .. }
                if count <= 4 && late_member.as_deref().is_some_and(|late| late != server) =>
            {
                OrderFate::Late(at(3_000))
            }
            _ => OrderFate::Answered,
        }
    })
}

/// Ends a member of the group of `head`, starts it again after `down_time` and waits until groups
/// have formed.
fn lose_member(world: &mut EngineWorld, head: &str, member: &str, down_time: Duration) {
    world.crash(member, None);
    world.suspect_group_of(head);
    world.run(down_time);
    world.restart(member);
    world.run(at(8_000));
}

/// Guards against a server that is ordered into another group while its former group may serve: it
/// carried out a join of the former one late, after it had left (review, case 6). Engines that
/// ignore fencing numbers show that the holder goes by their entries; the others refuse the join.
#[rstest]
#[case::engines_check_fences(true)]
#[case::engines_ignore_fences(false)]
fn a_server_that_returned_to_its_group_by_a_late_join_is_not_free(#[case] checks_fences: bool) {
    let models = vec![model("m-0", 3, 1.0)];
    let mut world = EngineWorld::new(4, profile(models), late_join_of_a_member());
    world.checks_fences = checks_fences;
    world.run(at(5_300));
    let head = world.whole_heads().remove(0);
    let third = world.members_of(&head)[2].clone();

    lose_member(&mut world, &head, &third, at(1_500));

    assert!(world.violations.is_empty(), "{:?}", world.violations);
    let heads = world.whole_heads();
    assert_eq!(heads.len(), 1, "a group of the four servers serves again");
    let is_join = |order: &OrderBody| matches!(order, OrderBody::Join { .. });
    let mut late = world.late_answers.iter();
    let (_, outcome) = late.find(|(order, _)| is_join(order)).unwrap();
    assert_eq!(*outcome == OrderOutcome::Outranked, checks_fences);
}

/// Guards against a server that is taken for free because it answered an order to leave with a
/// failure, such as 503: it is still a member (named by the review).
#[test]
fn a_server_that_rejects_an_order_to_leave_is_not_free() {
    let rejects = |_: &str, body: &OrderBody, count| match body {
        OrderBody::Leave { .. } if count <= 10 => OrderFate::Rejected,
        _ => OrderFate::Answered,
    };
    let models = vec![model("m-0", 3, 1.0)];
    let mut world = EngineWorld::new(4, profile(models), Box::new(rejects));
    world.run(at(4_000));
    let head = world.whole_heads().remove(0);
    let member = world.members_of(&head)[1].clone();

    lose_member(&mut world, &head, &member, at(500));

    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.whole_heads().len(), 1);
}
