//! Rules on single values of the operator text.

use super::{OperatorText, value_rules::FaultCollector};

/// Largest weight of a cost, service or request kind.
const MAX_WEIGHT: f64 = 1e6;
/// Most accelerators in one instance.
const MAX_ACCELERATORS: u64 = 64;
/// Most instances in a replica.
const MAX_SPAN: u64 = 256;
/// Largest model in bytes (1 PiB).
const MAX_WEIGHT_BYTES: u64 = 1 << 50;
/// Most groups of a service in a failure domain.
const MAX_GROUPS: u64 = 10_000;
/// Longest deadline of a request kind in milliseconds (one hour).
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Most requests in flight of one client account.
const MAX_CONCURRENCY: u64 = 1_000_000;
/// Most elements of one section; bounds the memory of every process.
const MAX_ELEMENTS: usize = 10_000;
/// Methods that a plain call may name.
const METHODS: [&str; 6] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"];

/// Checks bounds, forms and uniqueness of names.
pub(super) fn check_values(text: &OperatorText, faults: &mut FaultCollector) {
    faults.name("deployment", &text.deployment);
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
    faults.expect(holds, "objective.completion", completion, rule);
    let drains = named("drains", "", text.drains.iter().map(String::as_str));
    faults.unique(drains, "a drained instance");
}

fn check_planner(text: &OperatorText, faults: &mut FaultCollector) {
    let weights = &text.planner;
    let path = "planner.group_downtime";
    faults.range(path, weights.group_downtime, 0.0, MAX_WEIGHT, true);
    let path = "planner.stranded_accelerators";
    faults.range(path, weights.stranded_accelerators, 0.0, MAX_WEIGHT, true);
    let sum = weights.group_downtime + weights.stranded_accelerators;
    faults.expect(
        sum != 0.0,
        "planner",
        sum,
        "one of the weights must be above 0",
    );
}

fn check_domains(text: &OperatorText, faults: &mut FaultCollector) {
    section(faults, "failure_domains", text.failure_domains.len(), 1);
    let mut fabrics = Vec::new();
    for (index, domain) in text.failure_domains.iter().enumerate() {
        let path = format!("failure_domains[{index}]");
        faults.name(&format!("{path}.name"), &domain.name);
        faults.name(&format!("{path}.region"), &domain.region);
        let list = format!("{path}.fabric_domains");
        section(faults, &list, domain.fabric_domains.len(), 1);
        for (index, fabric) in domain.fabric_domains.iter().enumerate() {
            faults.name(&format!("{list}[{index}]"), fabric);
            fabrics.push((format!("{list}[{index}]"), fabric.clone()));
        }
    }
    let names = text.failure_domains.iter().map(|domain| &*domain.name);
    faults.unique(named("failure_domains", ".name", names), "a failure domain");
    faults.unique(fabrics, "a fabric domain");
}

fn check_servers(text: &OperatorText, faults: &mut FaultCollector) {
    section(faults, "backend_servers", text.backend_servers.len(), 0);
    let mut addresses = Vec::new();
    for (index, server) in text.backend_servers.iter().enumerate() {
        let path = format!("backend_servers[{index}]");
        faults.name(&format!("{path}.instance"), &server.instance);
        let usable = server.address.port() != 0 && !server.address.ip().is_unspecified();
        let place = format!("{path}.address");
        let rule = "must be an IP address and a port that can be called";
        faults.expect(usable, &place, server.address, rule);
        addresses.push((place, server.address.to_string()));
        let count = u64::from(server.accelerators);
        faults.count(&format!("{path}.accelerators"), count, 0, MAX_ACCELERATORS);
    }
    let names = text.backend_servers.iter().map(|server| &*server.instance);
    faults.unique(named("backend_servers", ".instance", names), "an instance");
    faults.unique(addresses, "an address");
}

fn check_model_services(text: &OperatorText, faults: &mut FaultCollector) {
    section(faults, "model_services", text.model_services.len(), 0);
    let mut names = Vec::new();
    for (index, service) in text.model_services.iter().enumerate() {
        let path = format!("model_services[{index}]");
        faults.name(&format!("{path}.name"), &service.name);
        names.push((format!("{path}.name"), service.name.clone()));
        let printable = service
            .model
            .chars()
            .all(|letter| letter.is_ascii_graphic());
        let holds = printable && !service.model.is_empty() && service.model.len() <= 128;
        let rule = "must be 1 to 128 printable ASCII characters";
        faults.expect(holds, &format!("{path}.model"), &service.model, rule);
        faults.count(&format!("{path}.span"), service.span.into(), 1, MAX_SPAN);
        let place = format!("{path}.weight_bytes");
        faults.count(&place, service.weight_bytes, 1, MAX_WEIGHT_BYTES);
        let (low, high) = (u64::from(service.min_groups), u64::from(service.max_groups));
        faults.count(&format!("{path}.max_groups"), high, 1, MAX_GROUPS);
        let place = format!("{path}.min_groups");
        faults.expect(low <= high, &place, low, "must be at most max_groups");
        faults.range(
            &format!("{path}.weight"),
            service.weight,
            0.0,
            MAX_WEIGHT,
            false,
        );
        let depends = service.depends_on.iter().map(String::as_str);
        let depends = named(&format!("{path}.depends_on"), "", depends);
        faults.unique(depends, "a dependency");
    }
    for (index, service) in text.plain_services.iter().enumerate() {
        names.push((
            format!("plain_services[{index}].name"),
            service.name.clone(),
        ));
    }
    faults.unique(names, "a service");
}

fn check_plain_services(text: &OperatorText, faults: &mut FaultCollector) {
    section(faults, "plain_services", text.plain_services.len(), 0);
    for (index, service) in text.plain_services.iter().enumerate() {
        let path = format!("plain_services[{index}]");
        faults.name(&format!("{path}.name"), &service.name);
        section(
            faults,
            &format!("{path}.instances"),
            service.instances.len(),
            1,
        );
        let instances = service.instances.iter().map(String::as_str);
        let instances = named(&format!("{path}.instances"), "", instances);
        faults.unique(instances, "an instance of a service");
        let depends = service.depends_on.iter().map(String::as_str);
        let depends = named(&format!("{path}.depends_on"), "", depends);
        faults.unique(depends, "a dependency");
        let mut calls = Vec::new();
        for (index, call) in service.non_repeatable.iter().enumerate() {
            let path = format!("{path}.non_repeatable[{index}]");
            let known = METHODS.contains(&&*call.method);
            let rule = "must be GET, HEAD, POST, PUT, PATCH or DELETE";
            faults.expect(known, &format!("{path}.method"), &call.method, rule);
            let plain = !call.path.contains(['?', '#', ' ']);
            let holds = call.path.starts_with('/') && plain;
            let rule = "must start with / and have no query";
            faults.expect(holds, &format!("{path}.path"), &call.path, rule);
            calls.push((path, format!("{} {}", call.method, call.path)));
        }
        faults.unique(calls, "a call");
    }
}

fn check_kinds(text: &OperatorText, faults: &mut FaultCollector) {
    section(faults, "request_kinds", text.request_kinds.len(), 1);
    for (index, kind) in text.request_kinds.iter().enumerate() {
        let path = format!("request_kinds[{index}]");
        faults.name(&format!("{path}.name"), &kind.name);
        faults.range(
            &format!("{path}.weight"),
            kind.weight,
            0.0,
            MAX_WEIGHT,
            false,
        );
        let place = format!("{path}.deadline_ms");
        faults.count(&place, kind.deadline_ms, 1, MAX_DEADLINE_MS);
    }
    let names = text.request_kinds.iter().map(|kind| &*kind.name);
    faults.unique(named("request_kinds", ".name", names), "a request kind");
}

fn check_accounts(text: &OperatorText, faults: &mut FaultCollector) {
    section(faults, "client_accounts", text.client_accounts.len(), 0);
    for (index, account) in text.client_accounts.iter().enumerate() {
        let path = format!("client_accounts[{index}]");
        faults.name(&format!("{path}.name"), &account.name);
        faults.hex_digest(&format!("{path}.key_digest"), &account.key_digest);
        let place = format!("{path}.requests_per_s");
        faults.range(&place, account.requests_per_s, 0.0, 1e6, false);
        let place = format!("{path}.tokens_per_s");
        faults.range(&place, account.tokens_per_s, 0.0, 1e9, false);
        let place = format!("{path}.concurrency");
        faults.count(&place, account.concurrency.into(), 1, MAX_CONCURRENCY);
    }
    let names = text.client_accounts.iter().map(|account| &*account.name);
    faults.unique(named("client_accounts", ".name", names), "a client account");
    let digests = text
        .client_accounts
        .iter()
        .map(|account| &*account.key_digest);
    faults.unique(
        named("client_accounts", ".key_digest", digests),
        "a key digest",
    );
}

fn section(faults: &mut FaultCollector, path: &str, count: usize, least: usize) {
    let rule = format!("must have {least} to {MAX_ELEMENTS} elements");
    let holds = (least..=MAX_ELEMENTS).contains(&count);
    faults.expect(holds, path, format_args!("{count} elements"), &rule);
}

/// Pairs the values of a section with their paths.
fn named<'a>(
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
