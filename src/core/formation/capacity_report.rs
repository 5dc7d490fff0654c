//! Log report of the state that formation decisions are based on: servers,
//! groups and work of each model.

use {
    super::{FormationAction, FormationManager, GroupPhase},
    std::time::Duration,
};

const REPORT_INTERVAL: Duration = Duration::from_secs(1);

value_type! {
    /// Groups and work of one model in a failure domain, for one log line.
    pub struct ModelCapacity {
        /// Name of the model in the operator's configuration.
        pub model: String,
        /// Groups whose head accepts requests.
        pub open: usize,
        /// Groups whose members join or load, or whose head was told to open.
        pub forming: usize,
        /// Groups that finish their requests or whose members are told to leave.
        pub ending: usize,
        /// Usable servers whose hosts hold the weights of the model, in a group or free.
        pub holders: usize,
        /// Share of the total group time that requests to this model take, from 0 to 1.
        pub work_share: f64,
        /// Share of the request slots of its open groups that are in use; 0 when it has none.
        pub busy_share: f64,
    }

    /// Servers and groups of one service in a failure domain.
    pub struct CapacityReport {
        /// Servers that are listed, reachable and not about to leave.
        pub usable: usize,
        /// Fabric domains, each with the number of its servers that can join a group now.
        pub free: Vec<(String, usize)>,
        /// Servers that load from the weight store, for a group or as spares.
        pub loading: usize,
        /// Time since the order of the oldest of these loads that was staged; none without one.
        pub oldest_load: Option<Duration>,
        /// One entry per model, in the order of the operator's configuration.
        pub models: Vec<ModelCapacity>,
    }
}

impl FormationManager {
    /// Emits a capacity report every `REPORT_INTERVAL`.
    pub(super) fn report_capacity(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        if self.next_report_at > now {
            return;
        }
        self.next_report_at = now + REPORT_INTERVAL;
        let usable = self.servers.values().filter(|record| record.is_usable());
        let mut free = Vec::new();
        for fabric in self.fabric_domains() {
            let count = self.free_servers(now, &fabric).len();
            free.push((fabric, count));
        }
        out.push(FormationAction::Capacity(CapacityReport {
            usable: usable.count(),
            free,
            loading: self.loading_servers(),
            oldest_load: self.oldest_load(now),
            models: (0..self.profile.models.len())
                .map(|index| self.model_capacity(index))
                .collect(),
        }));
    }

    fn oldest_load(&self, now: Duration) -> Option<Duration> {
        let stagings = self
            .servers
            .values()
            .filter_map(|record| record.staging.as_ref());
        let first = stagings.map(|(_, ordered_at)| *ordered_at).min()?;
        Some(now.saturating_sub(first))
    }

    fn model_capacity(&self, index: usize) -> ModelCapacity {
        let name = &self.profile.models[index].name;
        let mut capacity = ModelCapacity {
            model: name.clone(),
            open: 0,
            forming: 0,
            ending: 0,
            holders: 0,
            work_share: self.work_shares[index],
            busy_share: self.busy_shares[index],
        };
        for group in self.groups.values() {
            if group.model != *name {
                continue;
            }
            match group.phase {
                GroupPhase::Open => capacity.open += 1,
                GroupPhase::Joining | GroupPhase::Opening => capacity.forming += 1,
                GroupPhase::Closing | GroupPhase::Dissolving => capacity.ending += 1,
            }
        }
        let holders = self.servers.values().filter(|record| record.is_usable());
        capacity.holders = holders
            .filter(|record| record.staged.contains(name))
            .count();
        capacity
    }
}
