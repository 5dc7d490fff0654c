//! Tests of the checks on operator texts and settings.

use {
    rstest::rstest,
    serde_json::{Value, json},
    std::{fs, path::Path},
    toucanring::conf::{
        FileKind, check_file, compare_texts, parse_operator_text, parse_settings,
        read_operator_text,
    },
};

/// Guards against an example file that the checks no longer accept.
#[rstest]
#[case("consorzio.json", FileKind::Operator)]
#[case("thirulipi.json", FileKind::Operator)]
#[case("gateway.json", FileKind::Process)]
#[case("controller.json", FileKind::Process)]
#[case("toucanctl.json", FileKind::Access)]
fn examples_are_valid(#[case] file: &str, #[case] kind: FileKind) {
    let found = check_file(&Path::new("examples").join(file));

    assert_eq!(found, Ok(kind));
}

/// Guards against example files that no longer have the size of the real deployments.
#[rstest]
#[case("consorzio.json")]
#[case("thirulipi.json")]
fn examples_have_the_size_of_the_deployments(#[case] file: &str) {
    let text = read_operator_text(&Path::new("examples").join(file)).expect("valid example");

    let model_servers = text
        .backend_servers
        .iter()
        .filter(|server| server.accelerators > 0);
    assert_eq!(
        (model_servers.count(), text.backend_servers.len()),
        (55, 58)
    );
    assert_eq!(
        (text.failure_domains.len(), text.client_accounts.len()),
        (3, 10)
    );
}

/// Guards against a fault that hides the faults after it.
#[test]
fn all_faults_of_a_text_are_listed() {
    let text = fs::read_to_string("tests/golden/configuration/faulty_text.json").expect("text");
    let expected = fs::read_to_string("tests/golden/configuration/faulty_text.txt").expect("list");

    let faults = parse_operator_text(&text).expect_err("the text is faulty");

    assert_eq!(format!("{faults}\n"), expected);
}

/// Guards against a rule that is not applied, or a broken rule reported at the wrong path.
#[rstest]
#[case("/backend_servers/3/failure_domain", json!("nowhere"), "backend_servers[3].failure_domain", "failure domain")]
#[case("/backend_servers/3/fabric_domain", json!("val-isarco-f1"), "backend_servers[3].fabric_domain", "fabric domain of failure domain")]
#[case("/backend_servers/3/instance", json!("val-venosta-m01"), "backend_servers[3].instance", "backend_servers[0].instance has the same")]
#[case("/backend_servers/3/address", json!("127.0.0.1:0"), "backend_servers[3].address", "port that can be called")]
#[case("/backend_servers/3/accelerators", json!(65), "backend_servers[3].accelerators", "from 0 to 64")]
#[case("/backend_servers/3/accelerators", json!(-1), "backend_servers[3].accelerators", "invalid value")]
#[case("/failure_domains/1/name", json!("val-venosta"), "failure_domains[1].name", "failure_domains[0].name has the same")]
#[case("/failure_domains/1/fabric_domains/0", json!("val-venosta-f1"), "failure_domains[1].fabric_domains[0]", "unique")]
#[case("/model_services/0/name", json!("ledger"), "plain_services[1].name", "model_services[0].name has the same")]
#[case("/model_services/0/span", json!(20), "model_services[0].span", "at most 19")]
#[case("/model_services/0/min_groups", json!(9), "model_services[0].min_groups", "at most max_groups")]
#[case("/model_services/0/weight", json!(0.0), "model_services[0].weight", "above 0")]
#[case("/model_services/0/weight_bytes", json!(1.5), "model_services[0].weight_bytes", "invalid type")]
#[case("/model_services/0/depends_on", json!(["leger"]), "model_services[0].depends_on[0]", "a service")]
#[case("/plain_services/1/depends_on", json!(["furnace-booking"]), "plain_services[0].depends_on", "no cycle")]
#[case("/plain_services/1/depends_on", json!(["ledger"]), "plain_services[1].depends_on", "no cycle")]
#[case("/plain_services/0/instances/0", json!("val-venosta-m01"), "plain_services[0].instances[0]", "no accelerators")]
#[case("/plain_services/0/instances/0", json!("gone"), "plain_services[0].instances[0]", "instance of backend_servers")]
#[case("/plain_services/0/non_repeatable/0/method", json!("post"), "plain_services[0].non_repeatable[0].method", "POST")]
#[case("/plain_services/0/non_repeatable/0/path", json!("bookings"), "plain_services[0].non_repeatable[0].path", "start with /")]
#[case("/request_kinds/2/deadline_ms", json!(0), "request_kinds[2].deadline_ms", "from 1")]
#[case("/request_kinds/2/priority", json!(256), "request_kinds[2].priority", "invalid value")]
#[case("/client_accounts/4/key_digest", json!("00"), "client_accounts[4].key_digest", "64 lower-case")]
#[case("/client_accounts/4/tokens_per_s", json!(0), "client_accounts[4].tokens_per_s", "above 0")]
#[case("/drains", json!(["gone"]), "drains[0]", "instance of backend_servers")]
#[case("/objective/completion", json!(1.0), "objective.completion", "below 1")]
#[case("/planner", json!({"group_downtime": 0, "stranded_accelerators": 0}), "planner", "above 0")]
#[case("/deployment", json!("a/b"), "deployment", "a-z 0-9")]
fn a_fault_names_path_and_rule(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] path: &str,
    #[case] rule: &str,
) {
    let mut document = example();
    *document
        .pointer_mut(pointer)
        .expect("the example has this part") = value;

    let faults = parse_operator_text(&document.to_string()).expect_err("text is faulty");

    let found = faults
        .0
        .iter()
        .any(|fault| fault.path == path && fault.rule.contains(rule));
    assert!(found, "{faults}");
}

/// Guards against a field given twice whose second value silently replaces the first.
#[test]
fn a_repeated_field_is_a_fault() {
    let text = example()
        .to_string()
        .replacen('{', r#"{"deployment":"other","#, 1);

    let faults = parse_operator_text(&text).expect_err("text is faulty");

    assert!(
        faults.0[0].rule.contains("duplicate field `deployment`"),
        "{faults}"
    );
}

/// Guards against a process that starts with settings with which it can't work.
#[rstest]
#[case("peer_listen", json!("0.0.0.0:7101"), "peers can reach")]
#[case("peer_listen", json!("127.0.0.1:7001"), "differ from listen")]
#[case("platform", json!("127.0.0.1:0"), "can be called")]
#[case("exchange_key", json!("abc"), "64 lower-case")]
#[case("drain_ms", json!(600_001), "from 0 to 600000")]
#[case("peers", json!(["127.0.0.1:1", "127.0.0.1:1"]), "must be unique")]
#[case("failure_domain", json!(""), "a-z 0-9")]
#[case("metric", json!("127.0.0.1:1"), "unknown field")]
fn unusable_settings_are_refused(#[case] field: &str, #[case] value: Value, #[case] rule: &str) {
    let text = fs::read_to_string("examples/gateway.json").expect("example");
    let mut document: Value = serde_json::from_str(&text).expect("example is JSON");
    document[field] = value;

    let faults = parse_settings(&document.to_string()).expect_err("settings are faulty");

    assert!(faults.to_string().contains(rule), "{faults}");
}

/// Guards against a `toucanctl diff` that lists elements which only moved.
#[test]
fn moving_an_element_is_no_difference() {
    let before = example();
    let mut after = example();
    after["backend_servers"]
        .as_array_mut()
        .expect("section")
        .reverse();

    assert_eq!(compare_texts(&before, &after), Vec::new());
}

fn example() -> Value {
    let text = fs::read_to_string("examples/consorzio.json").expect("example");
    serde_json::from_str(&text).expect("example is JSON")
}

/// Guards against an exit code with which a supervisor would restart a program again and again
/// although its command line is wrong.
#[rstest]
#[case(env!("CARGO_BIN_EXE_toucanring-gateway"))]
#[case(env!("CARGO_BIN_EXE_toucanring-controller"))]
#[case(env!("CARGO_BIN_EXE_toucanring-report"))]
#[case(env!("CARGO_BIN_EXE_toucanctl"))]
fn wrong_arguments_and_help_have_their_exit_codes(#[case] program: &str) {
    let run = |argument: &str| {
        let output = std::process::Command::new(program).arg(argument).output();
        output.expect("program runs").status.code()
    };

    assert_eq!(run("--no-such-option"), Some(2));
    assert_eq!(run("--help"), Some(0));
}
