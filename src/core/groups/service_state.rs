use {
    super::{GroupStatus, ManagerStatus, ServiceStatus, group_manager::GroupManager},
    crate::conf::OperatorText,
    std::{collections::BTreeSet, time::Duration},
};

impl GroupManager {
    /// State of groups and services at `now`, as this process knows it, with or without the lease.
    #[must_use]
    pub fn status(&self, now: Duration) -> ManagerStatus {
        let groups = self.groups.values().map(|group| GroupStatus {
            id: group.id.0.clone(),
            service: group.service.clone(),
            state: group.state,
            epoch: group.epoch,
            members: self.group_row(group).members,
            draining: group.draining_since.is_some(),
        });
        ManagerStatus {
            failure_domain: self.failure_domain.clone(),
            term: self.rights(now).term(),
            platform_out: self.lease.platform_is_out(),
            groups: groups.collect(),
            services: self
                .text
                .as_ref()
                .map_or_else(Vec::new, |text| self.service_states(now, text)),
        }
    }

    fn service_states(&self, now: Duration, text: &OperatorText) -> Vec<ServiceStatus> {
        let mut states = Vec::new();
        for service in &text.model_services {
            states.push(ServiceStatus {
                name: service.name.clone(),
                serving: self.serving_count(&service.name),
                wanted: service.min_groups,
                missing_dependencies: Vec::new(),
            });
        }
        for service in &text.plain_services {
            let keys = service
                .instances
                .iter()
                .filter_map(|name| self.instance_keys.get(name));
            let instances: Vec<_> = keys.filter_map(|key| self.instances.get(*key)).collect();
            let fresh = instances
                .iter()
                .filter(|instance| instance.is_fresh(now, self.resumed_at, &self.timing));
            states.push(ServiceStatus {
                name: service.name.clone(),
                serving: u32::try_from(fresh.count()).unwrap_or(u32::MAX),
                // 0 when the service has no instance in this failure domain.
                wanted: u32::from(!instances.is_empty()),
                missing_dependencies: Vec::new(),
            });
        }
        fill_missing_dependencies(text, &mut states);
        states
    }
}

/// Lists for each service its direct and indirect dependencies that are wanted but do not serve.
fn fill_missing_dependencies(text: &OperatorText, states: &mut [ServiceStatus]) {
    let is_unavailable = |state: &ServiceStatus| state.wanted > 0 && state.serving == 0;
    let unavailable: BTreeSet<String> = states
        .iter()
        .filter(|state| is_unavailable(state))
        .map(|state| state.name.clone())
        .collect();
    for state in states {
        let mut missing = BTreeSet::new();
        let mut visited = BTreeSet::new();
        let mut pending: Vec<&String> = dependencies(text, &state.name).iter().collect();
        while let Some(name) = pending.pop() {
            if !visited.insert(name.clone()) {
                continue;
            }
            if unavailable.contains(name) {
                missing.insert(name.clone());
            }
            pending.extend(dependencies(text, name));
        }
        state.missing_dependencies = missing.into_iter().collect();
    }
}

fn dependencies<'a>(text: &'a OperatorText, name: &str) -> &'a [String] {
    let mut models = text.model_services.iter();
    if let Some(service) = models.find(|service| service.name == name) {
        return &service.depends_on;
    }
    let mut plain = text.plain_services.iter();
    plain
        .find(|service| service.name == name)
        .map_or(&[], |service| service.depends_on.as_slice())
}
