//! Tests of the choice of a group, the withdrawal of groups without controllers, suspects, and the
//! gateways' shares of account limits.

// Each test file uses only some of the fixtures.
#[allow(dead_code)]
mod fixtures;

use {
    fixtures::{DispatchFixture, add_heartbeat, chat_request, entry, ms, report, view},
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        core::{
            admission::AccountLimiter,
            dispatch::{AttemptEnd, AttemptTarget, DispatchAction, DispatchEvent, RefusalReason},
            routing::{GroupRouter, PickRequest},
        },
        wire::{
            Execution, GroupEntry, LoadReport, PeerHeartbeat, ProcessRole, SuspectEntry, UsageEntry,
        },
    },
};

fn load(running: u32, step_ms: f64) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        max_running: 32,
        queued_tokens: 0,
        prefill_tokens_per_s: 10_000.0,
        step_ms,
    }
}

fn request(prefix: u64) -> PickRequest<'static> {
    PickRequest {
        service: "chat",
        tokens: 500,
        prefix,
        tried: &[],
        needs_room: true,
    }
}

fn router(groups: &[GroupEntry]) -> GroupRouter {
    let mut router = GroupRouter::new("d0");
    router.apply(ms(3_000), &view(ms(3_000), groups));
    router
}

// Guards against requests to a group that neither a controller nor a member confirms, and against
// the loss of serving groups when only the controllers are gone.
#[test]
fn members_decide_when_controllers_are_unresponsive() {
    let group = entry(0, "d0");
    let mut fixture = DispatchFixture::new(std::slice::from_ref(&group));
    fixture.advance_silently(ms(1_500));
    let requested_reports = |fixture: &DispatchFixture| {
        let actions = fixture.out.iter();
        actions
            .filter(|action| matches!(action, DispatchAction::Ask(name, _) if name == "i0"))
            .count()
    };
    assert!(
        requested_reports(&fixture) > 0,
        "no report was requested from the members within 2 s"
    );

    fixture.advance_silently(ms(600));
    assert_eq!(fixture.dispatcher.status().usable_groups, 0);

    let answer = Box::new(report(&group, load(0, 20.0)));
    let event = DispatchEvent::Asked("i0".to_owned(), fixture.now, Some(answer.clone()));
    fixture.step(event);
    fixture.advance_silently(ms(100));
    assert_eq!(fixture.dispatcher.status().usable_groups, 1);

    fixture.advance_silently(ms(2_000));
    assert_eq!(
        fixture.dispatcher.status().usable_groups,
        0,
        "the group was used on a report older than 2 s"
    );
}

// Guards against requests to a group with a member that restarted, changed its group or is leaving,
// while the controller's entry of the group still exists.
#[test]
fn member_that_contradicts_its_entry_withdraws_the_group() {
    let group = entry(0, "d0");
    let mut restarted = report(&group, load(0, 20.0));
    restarted.incarnation = 2;
    let mut moved = report(&group, load(0, 20.0));
    if let Some(membership) = &mut moved.membership {
        membership.epoch = 9;
    }
    let mut leaving = report(&group, load(0, 20.0));
    leaving.leaving = true;
    for answer in [restarted, moved, leaving] {
        let mut fixture = DispatchFixture::new(std::slice::from_ref(&group));
        assert_eq!(fixture.dispatcher.status().usable_groups, 1);
        let event = DispatchEvent::Asked("i0".to_owned(), fixture.now, Some(Box::new(answer)));
        fixture.step(event);
        fixture.advance(ms(100));
        assert_eq!(fixture.dispatcher.status().usable_groups, 0);
    }
}

// Guards against new requests to an instance that the platform lists as leaving.
#[test]
fn instance_listed_as_leaving_gets_no_new_requests() {
    let mut fixture = DispatchFixture::new(&[entry(0, "d0"), entry(1, "d0")]);
    fixture.view.leaving = vec!["i0".to_owned()];
    fixture.send_view();
    for ticket in 0..10 {
        fixture.send_request(chat_request(ticket));
    }
    let starts = fixture.take_starts();
    assert!(!starts.is_empty());
    let target = AttemptTarget::Group(entry(1, "d0").id, 1);
    assert!(starts.iter().all(|order| order.target == target));
}

// Guards against a choice that ignores the gateway's own requests sent since the last load report.
#[test]
fn own_requests_count_before_they_are_reported() {
    let groups: Vec<_> = (0..4).map(|number| entry(number, "d0")).collect();
    let mut router = router(&groups);
    let mut counts = BTreeMap::new();
    for number in 0..32 {
        let picked = router.pick(ms(3_000), &request(number)).expect("a group");
        router.record_sent(ms(3_000), picked.key, 500, number);
        *counts.entry(picked.id).or_insert(0) += 1;
    }
    assert_eq!(counts.values().copied().collect::<Vec<_>>(), [8, 8, 8, 8]);
}

// Guards against a straggler that gets as many requests as the other groups because its load
// reports look the same.
#[test]
fn group_slower_than_predicted_gets_fewer_requests() {
    let groups = [entry(0, "d0"), entry(1, "d0")];
    let mut router = router(&groups);
    for group in &groups {
        router.apply_report(ms(3_000), ms(3_000), &report(group, load(4, 20.0)));
    }
    let mut counts = BTreeMap::new();
    for number in 0..200 {
        let now = ms(3_000 + 100 * number);
        let picked = router.pick(now, &request(number)).expect("a group");
        let slowdown = if picked.id == groups[0].id { 6.0 } else { 1.0 };
        router.record_sent(now, picked.key, 500, number);
        router.record_first_token(
            picked.key,
            picked.first_token_s,
            picked.first_token_s * slowdown,
        );
        router.record_ended(now, picked.key, 1, Some(ms(1_000)));
        for group in &groups {
            router.apply_report(now, now, &report(group, load(4, 20.0)));
        }
        *counts.entry(picked.id).or_insert(0) += 1;
    }
    let slow = counts.get(&groups[0].id).copied().unwrap_or(0);
    assert!(slow < 60, "{counts:?}");
}

// Guards against requests of one prefix that are spread over all groups, and against a preferred
// group that is kept although it is far busier than the others.
#[test]
fn prefix_keeps_its_preferred_group_until_that_is_overloaded() {
    let groups: Vec<_> = (0..6).map(|number| entry(number, "d0")).collect();
    let mut router = router(&groups);
    for group in &groups {
        router.apply_report(ms(3_000), ms(3_000), &report(group, load(0, 20.0)));
    }
    let preferred = router.pick(ms(3_000), &request(7)).expect("a group");
    let again = router.pick(ms(3_000), &request(7)).expect("a group");
    assert_eq!(preferred.id, again.id);

    for number in 0..5 {
        router.record_sent(ms(3_000), preferred.key, 500, 100 + number);
    }
    let other = router.pick(ms(3_000), &request(7)).expect("a group");
    assert_ne!(
        preferred.id, other.id,
        "chosen again with 2,500 tokens waiting there"
    );
}

// Guards against unnecessary traffic between failure domains, and against requests that wait in
// their own failure domain while another one has free capacity.
#[test]
fn other_failure_domain_is_used_only_when_needed() {
    let groups = [entry(0, "d0"), entry(1, "d1")];
    let mut router = router(&groups);
    for group in &groups {
        router.apply_report(ms(3_000), ms(3_000), &report(group, load(2, 20.0)));
    }
    for prefix in 0..20 {
        let picked = router.pick(ms(3_000), &request(prefix)).expect("a group");
        assert_eq!(picked.id, groups[0].id);
    }
    router.apply_report(ms(3_100), ms(3_100), &report(&groups[0], load(32, 20.0)));
    let picked = router.pick(ms(3_100), &request(1)).expect("a group");
    assert_eq!(picked.id, groups[1].id);
}

// Guards against a request that crashes more than two groups because its caller resends it through
// another gateway, and against a refusal that does not say that the request ran.
#[test]
fn suspect_of_two_crashes_is_refused_by_every_gateway() {
    let groups: Vec<_> = (0..4).map(|number| entry(number, "d0")).collect();
    let mut first = DispatchFixture::new(&groups);
    first.send_request(chat_request(1));
    let mut published: Vec<SuspectEntry> = Vec::new();
    for _ in 0..2 {
        first.advance(ms(500));
        assert_eq!(first.take_starts().len(), 1);
        first.end_attempt(1, AttemptEnd::Crashed, 0);
    }
    first.advance(ms(500));
    for action in &first.out {
        if let DispatchAction::PublishSuspects(entries) = action {
            published.extend(entries.clone());
        }
    }
    let refusals = first.take_refusals();
    assert_eq!(refusals.len(), 1);
    assert_eq!(refusals[0].reason, RefusalReason::CrashesEngines);
    assert_eq!(refusals[0].execution, Execution::Ran);
    assert!(first.take_starts().is_empty());

    let mut second = DispatchFixture::new(&groups);
    for entry in published {
        second.view.merge_suspect(entry);
    }
    second.send_view();
    let mut resent = chat_request(9);
    resent.fingerprint = chat_request(1).fingerprint;
    second.send_request(resent);
    second.advance(ms(500));

    assert!(second.take_starts().is_empty());
    assert_eq!(second.take_refusals()[0].execution, Execution::Ran);
}

// Guards against shares of an account limit that grow while a peer is unreachable: both sides of a
// network partition would then use the whole limit.
#[test]
fn limit_shares_are_frozen_while_a_peer_is_unreachable() {
    let mut cluster = view(ms(0), &[]);
    let heartbeat = PeerHeartbeat {
        process: "gateway1".to_owned(),
        role: ProcessRole::Gateway,
        failure_domain: "d1".to_owned(),
        boot: 1,
        started_ms: 0,
        sequence: 1,
        address: fixtures::address(9_000),
        config_version: 1,
        ready: true,
    };
    cluster.merge_heartbeat(heartbeat, ms(1_000));
    add_heartbeat(&mut cluster, ms(1_000), "d0");
    let usage = UsageEntry {
        account: "caster".to_owned(),
        round: 1,
        requests_per_s: 900.0,
        tokens_per_s: 900.0,
        in_flight: 1,
    };
    cluster.merge_usage("gateway1", usage, ms(1_000));
    let mut limiter = AccountLimiter::new("gateway0");
    limiter.configure(ms(0), &fixtures::operator_text().client_accounts);
    limiter.exchange(ms(1_000), &cluster);
    let admitted = |limiter: &mut AccountLimiter, from: u64| {
        // Uses up the saved allowance, then counts the admitted requests of one second.
        let mut admit = |at: u64| {
            let admitted = limiter.admit(ms(at), "caster", 1.0).is_ok();
            if admitted {
                limiter.finish("caster", 0.0);
            }
            admitted
        };
        for _ in 0..10_000 {
            admit(from);
        }
        (1..=1_000).filter(|step| admit(from + step)).count()
    };
    let before = admitted(&mut limiter, 2_000);

    cluster.usage.clear();
    limiter.exchange(Duration::from_secs(10), &cluster);
    let after = admitted(&mut limiter, 20_000);

    assert!((90..=110).contains(&before), "{before} admitted");
    assert!(after <= before + 5, "{after} admitted after {before}");
}
