//! Tests of the rules that decide which calls of a plain service may run only once.

use {
    rstest::rstest,
    toucanring::{
        conf::{CallPattern, PlainService},
        core::dispatch::{RepeatRule, is_normal_path, repeat_rule},
    },
};

fn ledger() -> PlainService {
    PlainService {
        name: "ledger".to_owned(),
        instances: vec!["p0".to_owned()],
        non_repeatable: vec![CallPattern {
            method: "POST".to_owned(),
            path: "/bookings".to_owned(),
        }],
        depends_on: Vec::new(),
    }
}

// Guards against a non-repeatable call that is retried because its path is not in normal form and
// matches no rule.
#[rstest]
#[case("/services/ledger//bookings")]
#[case("/services/ledger/./bookings")]
#[case("/services/ledger/x/../bookings")]
#[case("/services/ledger/%62ookings")]
#[case("/services/ledger%2Fbookings")]
#[case("/services/%6cedger/bookings")]
#[case("/services/ledger/%6")]
#[case("/services/ledger\\bookings")]
fn path_not_in_normal_form_is_refused(#[case] path: &str) {
    let normal = is_normal_path(path);

    assert!(!normal, "{path} was accepted");
}

// Guards against a non-repeatable call that is retried because its method is in lower case, or its
// path has a query or a trailing slash.
#[rstest]
#[case("POST", "/services/ledger/bookings")]
#[case("post", "/services/ledger/bookings")]
#[case("POST", "/services/ledger/bookings/")]
#[case("POST", "/services/ledger/bookings?day=17")]
fn listed_call_runs_once(#[case] method: &str, #[case] path: &str) {
    let service = ledger();

    let rule = repeat_rule(&service, method, path, None);

    assert_eq!(rule, RepeatRule::Once(None));
}

// Guards against a second run of a call whose caller sent an idempotency key.
#[rstest]
#[case("POST", RepeatRule::Once(Some("k1".to_owned())))]
#[case("GET", RepeatRule::Repeatable)]
fn idempotency_key_makes_a_writing_call_run_once(
    #[case] method: &str,
    #[case] expected: RepeatRule,
) {
    let service = ledger();

    let rule = repeat_rule(&service, method, "/services/ledger/notes", Some("k1"));

    assert_eq!(rule, expected);
}
