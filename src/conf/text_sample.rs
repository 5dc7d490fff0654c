use serde_json::{Value, json};

/// Operator text with a valid value for each field. Its parts replace faulty ones, so that the rest
/// can be decoded.
pub(super) fn operator_sample() -> Value {
    json!({
        "deployment": "sample",
        "planner": {"group_downtime": 1.0, "stranded_accelerators": 1.0},
        "failure_domains": [
            {"name": "sample", "region": "sample", "fabric_domains": ["sample"]}
        ],
        "backend_servers": [{
            "instance": "sample", "address": "192.0.2.1:1", "failure_domain": "sample",
            "fabric_domain": "sample", "accelerators": 1, "checks_fencing": false
        }],
        "model_services": [{
            "name": "sample", "model": "sample", "span": 1, "weight_bytes": 1,
            "min_groups": 1, "max_groups": 1, "weight": 1.0, "depends_on": ["sample"]
        }],
        "plain_services": [{
            "name": "sample", "instances": ["sample"], "depends_on": ["sample"],
            "non_repeatable": [{"method": "POST", "path": "/"}]
        }],
        "request_kinds": [{"name": "sample", "weight": 1.0, "priority": 1, "deadline_ms": 1}],
        "client_accounts": [{
            "name": "sample", "key_digest": "0".repeat(64), "requests_per_s": 1.0,
            "tokens_per_s": 1.0, "concurrency": 1
        }],
        "drains": ["sample"],
        "objective": {"completion": 0.99}
    })
}

/// Process settings with a valid value for each field.
pub(super) fn settings_sample() -> Value {
    json!({
        "name": "sample", "failure_domain": "sample", "listen": "192.0.2.1:1",
        "peer_listen": "192.0.2.1:2", "peers": ["192.0.2.1:3"], "platform": "192.0.2.1:4",
        "exchange_key": "0".repeat(64), "metrics": "192.0.2.1:5", "drain_ms": 1
    })
}
