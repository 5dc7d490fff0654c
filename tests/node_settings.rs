//! Tests of the settings of a node.

use {
    rstest::rstest,
    std::time::Duration,
    toucanring::{
        conf::{NodeSettings, parse_node_settings},
        core::cold::ColdBound,
    },
};

fn settings(change: impl FnOnce(&mut serde_json::Value)) -> String {
    let mut settings = serde_json::json!({
        "name": "front-kochi-1", "failure_domain": "kochi", "failure_domains": ["kochi"],
        "listen": "10.0.0.1:8000", "ready_listen": "10.0.0.1:8001",
        "peer_listen": "10.0.0.1:8002", "metrics_listen": "10.0.0.1:9464",
        "peers": ["10.0.0.2:8002"], "store": "10.0.9.1:8000", "first_start": true,
        "cpu_share": 0.25, "memory_mb": 260, "descriptors": 4200, "link_mbps": 20.0,
        "bounds": {"stop_grace_s": 8, "retry_ratio": 0.2, "retry_extra": 130,
            "retry_window_s": 10},
    });
    change(&mut settings);
    settings.to_string()
}

fn parse(change: impl FnOnce(&mut serde_json::Value)) -> NodeSettings {
    parse_node_settings(&settings(change)).expect("the settings are valid")
}

/// Guards against a node that does not start because its deployment leaves bounds out or sets
/// fields that this release does not know.
#[test]
fn missing_bounds_and_unknown_fields_are_accepted() {
    let settings = parse(|settings| {
        settings["bounds"] = serde_json::json!({"retry_ratio": null, "of_a_later_release": 3});
        settings["first_start"] = serde_json::Value::Null;
        settings["descriptors"] = serde_json::Value::Null;
        settings["link_mbps"] = serde_json::Value::Null;
        settings["colour"] = serde_json::json!("red");
    });

    assert_eq!(settings.stop_grace(), Duration::from_secs(8));
    assert_eq!(
        settings.retry_bounds(),
        (0.1, 10.0, Duration::from_secs(10))
    );
    assert_eq!(settings.drain_bound(), None);
    assert_eq!(settings.descriptor_limit(), 4_096);
    assert!((settings.link_mbps() - 100.0).abs() < f64::EPSILON);
    assert_eq!(settings.bounds.cold_bound(), ColdBound::default());
    assert_eq!(settings.recovery_pace, None);
    assert_eq!(settings.slot_division, None);
    assert!(!settings.account_shares());
}

/// Guards against a setting that is read under another name.
#[test]
fn account_shares_are_used_where_the_settings_ask_for_them() {
    let settings = parse(|settings| settings["account_shares"] = serde_json::json!(true));

    assert!(settings.account_shares());
}

/// Guards against wrong settings that are accepted, or refused without the path of the field and
/// the rule it breaks.
#[rstest]
#[case::kind("listen", serde_json::json!(7), "listen")]
#[case::range("bounds", serde_json::json!({"stop_grace_s": -1}), "bounds.stop_grace_s")]
#[case::overage("bounds", serde_json::json!({"cold_overage": -0.5}), "bounds.cold_overage")]
#[case::tolerance("bounds", serde_json::json!({"cold_tolerance": 1e9}), "bounds.cold_tolerance")]
#[case::drain("bounds", serde_json::json!({"drain_ms": 100}), "bounds.drain_ms")]
#[case::link("link_mbps", serde_json::json!(0), "link_mbps")]
#[case::request_memory("request_memory_mb", serde_json::json!(131), "request_memory_mb")]
#[case::body_idle("body_idle_s", serde_json::json!(0), "body_idle_s")]
#[case::domain("failure_domain", serde_json::json!("thrissur"), "failure_domain")]
#[case::name("name", serde_json::json!(""), "name")]
fn a_wrong_field_is_named(
    #[case] field: &str,
    #[case] value: serde_json::Value,
    #[case] path: &str,
) {
    let text = settings(|settings| settings[field] = value);

    let faults = parse_node_settings(&text).unwrap_err();

    assert_eq!(faults.0[0].path, path);
    assert!(!faults.0[0].rule.is_empty());
}

/// Guards against a default that cuts off clients which the configuration permits to be idle, and
/// against a setting without effect.
#[test]
fn the_limits_of_requests_follow_the_settings() {
    let unset = parse(|_| {});
    let set = parse(|settings| {
        settings["request_memory_mb"] = serde_json::json!(20);
        settings["body_idle_s"] = serde_json::json!(2.5);
    });
    let idle = Duration::from_secs(40);

    assert_eq!(unset.body_idle(idle), idle * 2);
    assert_eq!(
        unset.body_idle(Duration::from_secs(1)),
        Duration::from_secs(30)
    );
    assert_eq!(set.body_idle(idle), Duration::from_millis(2_500));
    assert_eq!(unset.intake_limits().large_bytes, 260 * 1024 * 1024 / 8);
    assert_eq!(set.intake_limits().large_bytes, 20 * 1024 * 1024);
    assert_eq!(set.connection_limits().connections, 3_000);
}
