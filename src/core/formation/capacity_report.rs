//! What a keeper decides by, for the logs: servers, groups and work by model.

use {
    super::{FormationAction, FormationKeeper, GroupPhase},
    std::time::Duration,
};

/// Time between two reports.
const REPORT_EVERY: Duration = Duration::from_secs(1);

value_type! {
    /// Groups and work of one model in a failure domain.
    pub struct ModelCapacity {
        /// Model name.
        pub model: String,
        /// Groups that serve.
        pub open: usize,
        /// Groups that join, load or are about to open.
        pub forming: usize,
        /// Groups that finish their requests or are dissolved.
        pub ending: usize,
        /// Servers whose hosts hold its weights.
        pub holders: usize,
        /// Its share of the work, as time of a group.
        pub work_share: f64,
        /// Share of the places of its groups that is taken.
        pub busy_share: f64,
    }

    /// Servers and groups of a failure domain.
    pub struct CapacityReport {
        /// Servers that can be used.
        pub usable: usize,
        /// Servers that are in no group, by fabric domain.
        pub free: Vec<(String, usize)>,
        /// Servers that load from the weight store.
        pub loading: usize,
        /// The models, in the order of the operator.
        pub models: Vec<ModelCapacity>,
    }
}

impl FormationKeeper {
    /// Reports what the keeper decides by, once in a while.
    pub(super) fn report_capacity(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        if self.next_report > now {
            return;
        }
        self.next_report = now + REPORT_EVERY;
        let usable = self.servers.values().filter(|record| record.is_usable());
        let mut free = Vec::new();
        for fabric in self.fabrics() {
            let count = self.free_servers(now, &fabric).len();
            free.push((fabric, count));
        }
        out.push(FormationAction::Capacity(CapacityReport {
            usable: usable.count(),
            free,
            loading: self.loading(),
            models: (0..self.shape.models.len())
                .map(|index| self.model_capacity(index))
                .collect(),
        }));
    }

    fn model_capacity(&self, index: usize) -> ModelCapacity {
        let name = &self.shape.models[index].name;
        let mut capacity = ModelCapacity {
            model: name.clone(),
            open: 0,
            forming: 0,
            ending: 0,
            holders: 0,
            work_share: self.weights[index],
            busy_share: self.busy[index],
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
