//! Tests of the execution that refusals state, and of the release of queue positions, slots and
//! limits.

// Each test file uses its own part of the fixtures.
#[allow(dead_code)]
mod fixtures;

use {
    fixtures::{DispatchFixture, chat_request, entry, ms, plain_request},
    rstest::rstest,
    std::time::Duration,
    toucanring::{
        core::dispatch::{AttemptEnd, DispatchAction, DispatchEvent, RefusalReason, RepeatRule},
        wire::{Execution, GroupState},
    },
};

fn two_groups() -> DispatchFixture {
    DispatchFixture::new(&[entry(0, "d0"), entry(1, "d0")])
}

// Guards against a refusal that states a wrong execution when an attempt has failed and no group is
// left for another one.
#[rstest]
#[case::connect_refused(AttemptEnd::ConnectFailed, 0, Execution::NotRun)]
#[case::not_started(AttemptEnd::NotStarted, 0, Execution::NotRun)]
#[case::reset_before_first_byte(AttemptEnd::ConnectionLost, 0, Execution::Unknown)]
#[case::reset_after_first_byte(AttemptEnd::ConnectionLost, 3, Execution::Ran)]
#[case::crash_in_the_middle(AttemptEnd::Crashed, 3, Execution::Ran)]
#[case::hanging_engine(AttemptEnd::Unresponsive, 0, Execution::Unknown)]
#[case::deadline_passed(AttemptEnd::DeadlinePassed, 0, Execution::Unknown)]
fn execution_after_a_failed_attempt(
    #[case] end: AttemptEnd,
    #[case] delivered: u64,
    #[case] execution: Execution,
) {
    let mut fixture = DispatchFixture::new(&[entry(0, "d0")]);
    fixture.send_request(chat_request(1));
    assert_eq!(fixture.take_starts().len(), 1);
    fixture.view.groups.values_mut().for_each(|group| {
        group.state = GroupState::Suspended;
    });
    fixture.send_view();

    fixture.end_attempt(1, end, delivered);
    fixture.advance(Duration::from_secs(25));

    let refusals = fixture.take_refusals();
    assert_eq!(refusals.len(), 1, "{refusals:?}");
    assert_eq!(refusals[0].execution, execution);
    assert!(fixture.take_starts().is_empty());
    assert_eq!(fixture.dispatcher.status().open, 0);
}

// Guards against a request that stays queued after its deadline, or whose refusal says that it ran.
#[test]
fn request_that_expires_in_the_queue_is_not_run() {
    let mut fixture = DispatchFixture::new(&[entry(0, "d0")]);
    for ticket in 0..30 {
        fixture.send_request(chat_request(ticket));
    }
    let started = fixture.take_starts().len();

    fixture.advance(Duration::from_secs(11));

    let refusals = fixture.take_refusals();
    assert_eq!(started + refusals.len(), 30);
    assert!(!refusals.is_empty());
    for refusal in refusals {
        assert_eq!(refusal.execution, Execution::NotRun, "{refusal:?}");
    }
    assert_eq!(fixture.dispatcher.status().queued, 0);
}

// Guards against account limits that are not enforced, give no retry delay, or leave requests open.
#[test]
fn account_limit_refuses_as_not_run() {
    let mut fixture = two_groups();
    for ticket in 0..20 {
        let mut intake = chat_request(ticket);
        intake.account = "small".to_owned();
        fixture.send_request(intake);
    }

    let refusals = fixture.take_refusals();

    assert_eq!(
        refusals.len(),
        12,
        "the burst is 8 requests at 2 requests/s"
    );
    for refusal in &refusals {
        assert_eq!(refusal.reason, RefusalReason::AccountLimit);
        assert_eq!(refusal.execution, Execution::NotRun);
        assert!(refusal.retry_after.is_some_and(|wait| wait > ms(100)));
    }
    for order in fixture.take_starts() {
        fixture.step(DispatchEvent::Completed(order.ticket, 50, None));
    }
    assert_eq!(fixture.dispatcher.status().open, 0);
}

// Guards against a gateway that accepts new requests while it shuts down, or drops the open ones.
#[test]
fn stopping_gateway_refuses_new_requests_only() {
    let mut fixture = two_groups();
    fixture.send_request(chat_request(1));
    fixture.step(DispatchEvent::Stop);
    fixture.send_request(chat_request(2));

    assert_eq!(fixture.take_starts().len(), 1);
    let refusals = fixture.take_refusals();
    assert_eq!(refusals[0].reason, RefusalReason::Stopping);
    assert_eq!(refusals[0].execution, Execution::NotRun);
    assert_eq!(fixture.dispatcher.status().open, 1);
}

// Guards against slots and queue positions that stay occupied after the caller has disconnected, in
// any stage of the request.
#[test]
fn disconnected_caller_frees_slots_and_queue() {
    let mut fixture = DispatchFixture::new(&[entry(0, "d0")]);
    for ticket in 0..30 {
        fixture.send_request(chat_request(ticket));
    }
    fixture.send_request(plain_request(30, RepeatRule::Once(Some("k".to_owned()))));

    for ticket in 0..31 {
        fixture.step(DispatchEvent::CallerLeft(ticket));
    }
    fixture.advance(ms(100));
    fixture.take_starts();
    fixture.send_request(chat_request(40));

    assert_eq!(
        fixture.take_starts().len(),
        1,
        "the group has a free slot again"
    );
    assert_eq!(fixture.dispatcher.status().open, 1);
    assert_eq!(fixture.dispatcher.status().queued, 0);
}

// Guards against a second run of a non-repeatable call whose answer was lost, and against a refusal
// of one that no server has started.
#[rstest]
#[case::answer_lost(AttemptEnd::ConnectionLost, 0, Some(Execution::Unknown))]
#[case::never_connected(AttemptEnd::ConnectFailed, 1, None)]
#[case::not_started(AttemptEnd::NotStarted, 1, None)]
fn call_that_may_run_once_is_sent_once(
    #[case] end: AttemptEnd,
    #[case] retries: usize,
    #[case] execution: Option<Execution>,
) {
    let mut fixture = two_groups();
    fixture.send_request(plain_request(1, RepeatRule::Once(None)));
    let first = fixture.take_starts();
    assert_eq!(first.len(), 1);

    fixture.end_attempt(1, end, 0);
    fixture.advance(ms(500));

    let retried = fixture.take_starts();
    assert_eq!(retried.len(), retries);
    for order in retried {
        assert_ne!(order.address, first[0].address);
    }
    let refused = fixture.take_refusals();
    let refused = refused.first().map(|refusal| refusal.execution);
    assert_eq!(refused, execution);
}

// Guards against an attempt that starts before the claim row is written.
#[test]
fn no_attempt_starts_before_the_claim() {
    let mut fixture = two_groups();
    fixture.send_request(plain_request(
        1,
        RepeatRule::Once(Some("day-12".to_owned())),
    ));
    fixture.advance(ms(100));

    assert!(fixture.take_starts().is_empty());
    let commits = fixture.out.iter();
    let commits = commits.filter(|action| matches!(action, DispatchAction::Commit(..)));
    assert_eq!(commits.count(), 1);
    fixture.advance(Duration::from_secs(3));
    let refusals = fixture.take_refusals();
    assert_eq!(refusals[0].reason, RefusalReason::ClaimNotWritten);
    // An earlier arrival with the key may have run through another gateway.
    assert_eq!(refusals[0].execution, Execution::Unknown);
    assert!(fixture.take_starts().is_empty());
}

// Guards against retries that amplify an overload: they must stay within the budget of 128 plus one
// for ten new requests.
#[test]
fn retries_stay_within_their_budget() {
    let groups: Vec<_> = (0..20).map(|number| entry(number, "d0")).collect();
    let mut fixture = DispatchFixture::new(&groups);
    let (mut new_requests, mut retries) = (0, 0);
    for ticket in 0..1_000 {
        fixture.send_request(chat_request(ticket));
        fixture.advance(ms(10));
        for order in fixture.take_starts() {
            if order.attempt.ends_with("-1") {
                new_requests += 1;
            } else {
                retries += 1;
            }
            fixture.end_attempt(order.ticket, AttemptEnd::ConnectionLost, 0);
        }
    }

    assert!(new_requests > 900, "{new_requests} new requests were sent");
    assert!(
        retries <= 128 + new_requests / 10,
        "{retries} retries for {new_requests} new requests"
    );
}

// Guards against a refusal that says not_run for a request with an idempotency key before its claim
// is checked: an earlier request with the same key may have run.
#[rstest]
#[case::keyed(RepeatRule::Once(Some("day-13".to_owned())), Execution::Unknown)]
#[case::without_key(RepeatRule::Once(None), Execution::NotRun)]
#[case::repeatable(RepeatRule::Repeatable, Execution::NotRun)]
fn only_refusals_before_a_claim_state_unknown_execution(
    #[case] repeat: RepeatRule,
    #[case] expected: Execution,
) {
    let mut fixture = two_groups();
    fixture.step(DispatchEvent::Stop);

    fixture.send_request(plain_request(1, repeat));

    let refusals = fixture.take_refusals();
    assert_eq!(refusals[0].reason, RefusalReason::Stopping);
    assert_eq!(refusals[0].execution, expected);
}
