//! Rules on references between parts of the operator text.

use {
    super::{OperatorText, value_rules::FaultCollector},
    std::collections::{BTreeMap, BTreeSet},
};

/// Checks that every name refers to an element of the text, that spans can be satisfied, and that
/// dependencies have no cycle.
pub(super) fn check_references(text: &OperatorText, faults: &mut FaultCollector) {
    check_locations(text, faults);
    check_spans(text, faults);
    check_instances(text, faults);
    check_dependencies(text, faults);
}

/// Checks that the failure domain and fabric domain of each backend server exist.
fn check_locations(text: &OperatorText, faults: &mut FaultCollector) {
    for (index, server) in text.backend_servers.iter().enumerate() {
        let path = format!("backend_servers[{index}]");
        let mut domains = text.failure_domains.iter();
        let Some(domain) = domains.find(|domain| domain.name == server.failure_domain) else {
            let names = text.failure_domains.iter().map(|domain| &*domain.name);
            let field_path = format!("{path}.failure_domain");
            faults.check_known(
                &field_path,
                &server.failure_domain,
                names,
                "a failure domain",
            );
            continue;
        };
        let fabrics = domain.fabric_domains.iter().map(String::as_str);
        let noun = format!("a fabric domain of failure domain {:?}", domain.name);
        let field_path = format!("{path}.fabric_domain");
        faults.check_known(&field_path, &server.fabric_domain, fabrics, &noun);
    }
}

/// Checks the spans of model services. A group never spans failure domains, so at least one of them
/// must have enough instances for a group.
fn check_spans(text: &OperatorText, faults: &mut FaultCollector) {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for server in &text.backend_servers {
        if server.accelerators > 0 {
            *counts.entry(&server.failure_domain).or_default() += 1;
        }
    }
    let largest = counts.values().copied().max().unwrap_or(0);
    for (index, service) in text.model_services.iter().enumerate() {
        let path = format!("model_services[{index}].span");
        let rule = format!(
            "must be at most {largest}, the most instances with accelerators in one failure domain"
        );
        faults.require(service.span <= largest, &path, service.span, &rule);
    }
}

/// Checks the instances that drains and plain services name.
fn check_instances(text: &OperatorText, faults: &mut FaultCollector) {
    let mut accelerators: BTreeMap<&str, u32> = BTreeMap::new();
    for server in &text.backend_servers {
        accelerators.insert(&server.instance, server.accelerators);
    }
    for (index, instance) in text.drains.iter().enumerate() {
        let path = format!("drains[{index}]");
        let known = accelerators.keys().copied();
        faults.check_known(&path, instance, known, "an instance of backend_servers");
    }
    for (index, service) in text.plain_services.iter().enumerate() {
        for (position, instance) in service.instances.iter().enumerate() {
            let path = format!("plain_services[{index}].instances[{position}]");
            let known = accelerators.keys().copied();
            faults.check_known(&path, instance, known, "an instance of backend_servers");
            let count = accelerators.get(&**instance).copied().unwrap_or(0);
            let rule = "must have no accelerators, since replica groups use those that have";
            let value = format!("{instance:?} has {count} accelerators");
            faults.require(count == 0, &path, value, rule);
        }
    }
}

/// Checks that dependencies name services and form no cycle. A cycle is reported once.
fn check_dependencies(text: &OperatorText, faults: &mut FaultCollector) {
    let mut depends: BTreeMap<&str, &[String]> = BTreeMap::new();
    // Path of `depends_on` and name of each service.
    let mut services: Vec<(String, &str)> = Vec::new();
    for (index, service) in text.model_services.iter().enumerate() {
        depends.insert(&service.name, &service.depends_on);
        services.push((format!("model_services[{index}].depends_on"), &service.name));
    }
    for (index, service) in text.plain_services.iter().enumerate() {
        depends.insert(&service.name, &service.depends_on);
        services.push((format!("plain_services[{index}].depends_on"), &service.name));
    }
    let mut in_cycle: BTreeSet<&str> = BTreeSet::new();
    for (path, name) in services {
        for (index, dependency) in depends[name].iter().enumerate() {
            let field_path = format!("{path}[{index}]");
            faults.check_known(
                &field_path,
                dependency,
                depends.keys().copied(),
                "a service",
            );
        }
        if in_cycle.contains(name) {
            continue;
        }
        if let Some(cycle) = find_cycle(name, &depends) {
            let cycle_text = cycle.join(" -> ");
            faults.require(false, &path, cycle_text, "dependencies must have no cycle");
            in_cycle.extend(cycle);
        }
    }
}

/// Follows the dependencies of `start`, and returns the services on the way if it leads back to
/// `start`.
fn find_cycle<'a>(
    start: &'a str,
    depends: &BTreeMap<&'a str, &'a [String]>,
) -> Option<Vec<&'a str>> {
    let mut seen: BTreeSet<&str> = BTreeSet::new();
    let mut pending: Vec<Vec<&'a str>> = vec![vec![start]];
    while let Some(path) = pending.pop() {
        let last = path[path.len() - 1];
        for next in depends.get(last).copied().unwrap_or_default() {
            let mut longer = path.clone();
            longer.push(next);
            if next == start {
                return Some(longer);
            }
            if seen.insert(next) {
                pending.push(longer);
            }
        }
    }
    None
}
