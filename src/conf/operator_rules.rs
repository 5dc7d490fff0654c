//! Rules on single values of the operator text.

use super::{OperatorText, value_rules::FaultCollector};

/// Maximum weight of a cost, service or request kind.
const MAX_WEIGHT: f64 = 1e6;
/// Maximum number of accelerators in one instance.
const MAX_ACCELERATORS: u64 = 64;
/// Maximum number of members of a replica group.
const MAX_SPAN: u64 = 256;
/// Maximum size of a model's weights in bytes (1 PiB).
const MAX_WEIGHT_BYTES: u64 = 1 << 50;
/// Maximum number of groups of a service in a failure domain.
const MAX_GROUPS: u64 = 10_000;
/// Maximum deadline of a request kind in milliseconds (one hour).
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum number of requests in flight of one client account.
const MAX_CONCURRENCY: u64 = 1_000_000;
/// Maximum number of elements of one section. It bounds the memory of every process.
const MAX_ELEMENTS: usize = 10_000;
/// Methods that a call pattern may name.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Checks ranges, formats and the uniqueness of names; references are checked elsewhere.
pub(super) fn check_values(text: &OperatorText, faults: &mut FaultCollector) {
    faults.check_name("deployment", &text.deployment);
    check_planner(text, faults);
    check_domains(text, faults);
    check_servers(text, faults);
    check_model_services(text, faults);
    check_plain_services(text, faults);
    check_kinds(text, faults);
    check_accounts(text, faults);
    let completion = text.objective.completion;
    let holds = completion > 0.0 && completion < 1.0;
    let rule = "must be above 0 and below 1";
    faults.require(holds, "objective.completion", completion, rule);
    let drains = with_paths("drains", "", text.drains.iter().map(String::as_str));
    faults.check_unique(drains, "a drained instance");
}

fn check_planner(text: &OperatorText, faults: &mut FaultCollector) {
    let weights = &text.planner;
    let path = "planner.group_downtime";
    faults.check_range(path, weights.group_downtime, 0.0, MAX_WEIGHT, true);
    let path = "planner.stranded_accelerators";
    faults.check_range(path, weights.stranded_accelerators, 0.0, MAX_WEIGHT, true);
    let sum = weights.group_downtime + weights.stranded_accelerators;
    faults.require(
        sum != 0.0,
        "planner",
        sum,
        "one of the weights must be above 0",
    );
}

fn check_domains(text: &OperatorText, faults: &mut FaultCollector) {
    check_size(faults, "failure_domains", text.failure_domains.len(), 1);
    let mut fabrics = Vec::new();
    for (index, domain) in text.failure_domains.iter().enumerate() {
        let path = format!("failure_domains[{index}]");
        faults.check_name(&format!("{path}.name"), &domain.name);
        faults.check_name(&format!("{path}.region"), &domain.region);
        let list = format!("{path}.fabric_domains");
        check_size(faults, &list, domain.fabric_domains.len(), 1);
        for (index, fabric) in domain.fabric_domains.iter().enumerate() {
            faults.check_name(&format!("{list}[{index}]"), fabric);
            fabrics.push((format!("{list}[{index}]"), fabric.clone()));
        }
    }
    let names = text.failure_domains.iter().map(|domain| &*domain.name);
    faults.check_unique(
        with_paths("failure_domains", ".name", names),
        "a failure domain",
    );
    faults.check_unique(fabrics, "a fabric domain");
}

fn check_servers(text: &OperatorText, faults: &mut FaultCollector) {
    check_size(faults, "backend_servers", text.backend_servers.len(), 0);
    let mut addresses = Vec::new();
    for (index, server) in text.backend_servers.iter().enumerate() {
        let path = format!("backend_servers[{index}]");
        faults.check_name(&format!("{path}.instance"), &server.instance);
        let callable = server.address.port() != 0 && !server.address.ip().is_unspecified();
        let field_path = format!("{path}.address");
        let rule = "must be an IP address and a port that can be called";
        faults.require(callable, &field_path, server.address, rule);
        addresses.push((field_path, server.address.to_string()));
        let count = u64::from(server.accelerators);
        faults.check_count(&format!("{path}.accelerators"), count, 0, MAX_ACCELERATORS);
    }
    let names = text.backend_servers.iter().map(|server| &*server.instance);
    faults.check_unique(
        with_paths("backend_servers", ".instance", names),
        "an instance",
    );
    faults.check_unique(addresses, "an address");
}

fn check_model_services(text: &OperatorText, faults: &mut FaultCollector) {
    check_size(faults, "model_services", text.model_services.len(), 0);
    let mut names = Vec::new();
    for (index, service) in text.model_services.iter().enumerate() {
        let path = format!("model_services[{index}]");
        faults.check_name(&format!("{path}.name"), &service.name);
        names.push((format!("{path}.name"), service.name.clone()));
        let printable = service
            .model
            .chars()
            .all(|character| character.is_ascii_graphic());
        let holds = printable && !service.model.is_empty() && service.model.len() <= 128;
        let rule = "must be 1 to 128 printable ASCII characters";
        faults.require(holds, &format!("{path}.model"), &service.model, rule);
        faults.check_count(&format!("{path}.span"), service.span.into(), 1, MAX_SPAN);
        let field_path = format!("{path}.weight_bytes");
        faults.check_count(&field_path, service.weight_bytes, 1, MAX_WEIGHT_BYTES);
        let (low, high) = (u64::from(service.min_groups), u64::from(service.max_groups));
        faults.check_count(&format!("{path}.max_groups"), high, 1, MAX_GROUPS);
        let field_path = format!("{path}.min_groups");
        faults.require(low <= high, &field_path, low, "must be at most max_groups");
        faults.check_range(
            &format!("{path}.weight"),
            service.weight,
            0.0,
            MAX_WEIGHT,
            false,
        );
        let depends = service.depends_on.iter().map(String::as_str);
        let depends = with_paths(&format!("{path}.depends_on"), "", depends);
        faults.check_unique(depends, "a dependency");
    }
    for (index, service) in text.plain_services.iter().enumerate() {
        names.push((
            format!("plain_services[{index}].name"),
            service.name.clone(),
        ));
    }
    faults.check_unique(names, "a service");
}

fn check_plain_services(text: &OperatorText, faults: &mut FaultCollector) {
    check_size(faults, "plain_services", text.plain_services.len(), 0);
    for (index, service) in text.plain_services.iter().enumerate() {
        let path = format!("plain_services[{index}]");
        faults.check_name(&format!("{path}.name"), &service.name);
        check_size(
            faults,
            &format!("{path}.instances"),
            service.instances.len(),
            1,
        );
        let instances = service.instances.iter().map(String::as_str);
        let instances = with_paths(&format!("{path}.instances"), "", instances);
        faults.check_unique(instances, "an instance of a service");
        let depends = service.depends_on.iter().map(String::as_str);
        let depends = with_paths(&format!("{path}.depends_on"), "", depends);
        faults.check_unique(depends, "a dependency");
        let mut calls = Vec::new();
        for (index, call) in service.non_repeatable.iter().enumerate() {
            let path = format!("{path}.non_repeatable[{index}]");
            let known_method = METHODS.contains(&&*call.method);
            let rule = "must be GET, HEAD, POST, PUT, PATCH or DELETE";
            faults.require(known_method, &format!("{path}.method"), &call.method, rule);
            let has_no_query = !call.path.contains(['?', '#', ' ']);
            let holds = call.path.starts_with('/') && has_no_query;
            let rule = "must start with / and have no query";
            faults.require(holds, &format!("{path}.path"), &call.path, rule);
            calls.push((path, format!("{} {}", call.method, call.path)));
        }
        faults.check_unique(calls, "a call");
    }
}

fn check_kinds(text: &OperatorText, faults: &mut FaultCollector) {
    check_size(faults, "request_kinds", text.request_kinds.len(), 1);
    for (index, kind) in text.request_kinds.iter().enumerate() {
        let path = format!("request_kinds[{index}]");
        faults.check_name(&format!("{path}.name"), &kind.name);
        faults.check_range(
            &format!("{path}.weight"),
            kind.weight,
            0.0,
            MAX_WEIGHT,
            false,
        );
        let field_path = format!("{path}.deadline_ms");
        faults.check_count(&field_path, kind.deadline_ms, 1, MAX_DEADLINE_MS);
    }
    let names = text.request_kinds.iter().map(|kind| &*kind.name);
    faults.check_unique(
        with_paths("request_kinds", ".name", names),
        "a request kind",
    );
}

fn check_accounts(text: &OperatorText, faults: &mut FaultCollector) {
    check_size(faults, "client_accounts", text.client_accounts.len(), 0);
    for (index, account) in text.client_accounts.iter().enumerate() {
        let path = format!("client_accounts[{index}]");
        faults.check_name(&format!("{path}.name"), &account.name);
        faults.check_hex_digest(&format!("{path}.key_digest"), &account.key_digest);
        let field_path = format!("{path}.requests_per_s");
        faults.check_range(&field_path, account.requests_per_s, 0.0, 1e6, false);
        let field_path = format!("{path}.tokens_per_s");
        faults.check_range(&field_path, account.tokens_per_s, 0.0, 1e9, false);
        let field_path = format!("{path}.concurrency");
        faults.check_count(&field_path, account.concurrency.into(), 1, MAX_CONCURRENCY);
    }
    let names = text.client_accounts.iter().map(|account| &*account.name);
    faults.check_unique(
        with_paths("client_accounts", ".name", names),
        "a client account",
    );
    let digests = text
        .client_accounts
        .iter()
        .map(|account| &*account.key_digest);
    faults.check_unique(
        with_paths("client_accounts", ".key_digest", digests),
        "a key digest",
    );
}

/// Checks the number of elements of a section.
fn check_size(faults: &mut FaultCollector, path: &str, count: usize, min: usize) {
    let rule = format!("must have {min} to {MAX_ELEMENTS} elements");
    let holds = (min..=MAX_ELEMENTS).contains(&count);
    faults.require(holds, path, format_args!("{count} elements"), &rule);
}

/// Pairs the values of a section with their JSON paths. `field` is the field that holds the value,
/// with its dot, or empty if the elements themselves are the values.
fn with_paths<'a>(
    section: &str,
    field: &str,
    values: impl Iterator<Item = &'a str>,
) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    for (index, value) in values.enumerate() {
        pairs.push((format!("{section}[{index}]{field}"), value.to_owned()));
    }
    pairs
}
