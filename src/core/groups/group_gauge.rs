use {
    super::group_manager::GroupManager,
    crate::{core::burn::GroupGauge, wire::GroupState},
    std::time::Duration,
};

impl GroupManager {
    /// Missing groups and stranded accelerators at `now`. `None` without the lease, so that only
    /// one process of a failure domain counts them, and before the first operator text.
    ///
    /// ```
    /// use std::time::Duration;
    /// use toucanring::core::groups::{GroupManager, GroupOptions};
    ///
    /// let manager = GroupManager::new("kochi", "controller-1", GroupOptions::default());
    /// assert_eq!(manager.gauge(Duration::ZERO), None);
    /// ```
    #[must_use]
    pub fn gauge(&self, now: Duration) -> Option<GroupGauge> {
        self.rights(now).term()?;
        let text = self.text.as_ref()?;
        let mut gauge = GroupGauge::default();
        for service in &text.model_services {
            let missing = service
                .min_groups
                .saturating_sub(self.serving_count(&service.name));
            if missing > 0 {
                gauge.missing_groups.insert(service.name.clone(), missing);
            }
        }
        for instance in self.instances.values() {
            if !instance.configured || !instance.is_fresh(now, self.resumed_at, &self.timing) {
                continue;
            }
            let group = instance
                .assigned
                .and_then(|assignment| self.groups.get(assignment.group));
            if group.is_some_and(|group| group.state == GroupState::Serving) {
                continue;
            }
            gauge.stranded_accelerators += instance.accelerators;
        }
        Some(gauge)
    }

    /// Number of serving groups of a model service; draining ones count.
    pub(super) fn serving_count(&self, service: &str) -> u32 {
        let groups = self.groups.values();
        let serving =
            groups.filter(|group| group.service == service && group.state == GroupState::Serving);
        u32::try_from(serving.count()).unwrap_or(u32::MAX)
    }
}
