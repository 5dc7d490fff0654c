use {
    super::{group_manager::GroupManager, instance_record::InstanceRecord},
    crate::conf::OperatorText,
    std::{sync::Arc, time::Duration},
};

impl GroupManager {
    /// Updates the instances of this failure domain from a newer operator text and replans soon.
    pub(super) fn configure(&mut self, now: Duration, text: Arc<OperatorText>) {
        for instance in self.instances.values_mut() {
            instance.configured = false;
        }
        let fabrics = text
            .failure_domains
            .iter()
            .find(|domain| domain.name == self.failure_domain)
            .map_or(&[][..], |domain| domain.fabric_domains.as_slice());
        for server in &text.backend_servers {
            if server.failure_domain != self.failure_domain {
                continue;
            }
            let key = self.instance_keys.get(&server.instance).copied();
            let key = key.unwrap_or_else(|| {
                let record = InstanceRecord::new(&server.instance, server.address);
                self.instances.insert(record)
            });
            self.instance_keys.insert(server.instance.clone(), key);
            let fabric = fabrics
                .iter()
                .position(|name| *name == server.fabric_domain);
            let instance = &mut self.instances[key];
            instance.configured = true;
            instance.address = server.address;
            instance.fabric = fabric
                .and_then(|index| u16::try_from(index).ok())
                .unwrap_or(0);
            instance.accelerators = server.accelerators;
            instance.checks_fencing = server.checks_fencing;
            instance.drained = text.drains.contains(&server.instance);
        }
        self.text = Some(text);
        self.forget_removed();
        self.plan_soon(now);
    }

    /// Marks the instances that the platform lists as leaving; all others lose the mark.
    pub(super) fn list_leaving(&mut self, names: &[String]) {
        for instance in self.instances.values_mut() {
            instance.listed_leaving = names.contains(&instance.name);
        }
    }

    /// Drops instances that are no longer configured, once no group and no membership row lists
    /// them.
    fn forget_removed(&mut self) {
        let unused = |instance: &InstanceRecord| {
            !instance.configured && instance.assigned.is_none() && instance.row.value.is_none()
        };
        self.instance_keys
            .retain(|_, key| !self.instances.get(*key).is_none_or(unused));
        self.instances.retain(|_, instance| !unused(instance));
    }
}
