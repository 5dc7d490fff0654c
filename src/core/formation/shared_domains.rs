//! Formation in fabric domains that large and small groups share. The expected
//! load is that servers fail every few seconds, and each loss breaks a large group
//! with many survivors. A few members of small groups hold the weights of the
//! large model on their hosts, so that a small group can be preempted and its
//! members can complete a large one.

use {
    super::{
        FormationAction, FormationManager, FormationServer, FreeServer, GroupKey, GroupPhase,
        GroupPlan, ModelDemand, OrderBody, ServerKey, domain_plan::join_time, group_targets,
        plan_group,
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Members of a large group per reserve host: a model with groups of 16 gets four
/// reserve hosts in each fabric domain that serves it.
const MEMBERS_PER_RESERVE_HOST: usize = 4;

/// Share of request slots in use below which a small model gives up a group to
/// complete a large one, computed for one group less. A server of a small group
/// serves more requests, so the small model takes precedence when both are short.
pub(super) const MAX_BUSY_FOR_REPAIR: f64 = 0.85;

/// The same limit when the members only become spares for the next loss.
const MAX_BUSY_FOR_SPARES: f64 = 0.7;

/// Hosts with the weights of a large model that a small group must have to be
/// preempted for spares; free hosts beyond this number may load another model.
pub(super) const MIN_SPARES: usize = 2;

impl FormationManager {
    /// Forms the groups of all models that need no load, and preempts small groups
    /// for larger ones. False while groups of a starting deployment wait for loads.
    pub(super) fn form_in_shared_domains(
        &mut self,
        now: Duration,
        out: &mut Vec<FormationAction>,
    ) -> bool {
        if self.preparing {
            return self.form_at_startup(now, out);
        }
        while let Some(plan) = self.best_plan(now, 0, |_| true) {
            self.start_group(now, &plan, out);
        }
        self.preempt_small_groups(now, out);
        true
    }

    fn form_at_startup(&mut self, now: Duration, out: &mut Vec<FormationAction>) -> bool {
        while let Some(plan) = self.startup_plan(now) {
            if !self.admit_loads(now, plan.loads) {
                return false;
            }
            self.start_group(now, &plan, out);
        }
        true
    }

    /// The next group of a starting deployment: large ones first, each in the
    /// fabric domain with the most free servers.
    fn startup_plan(&self, now: Duration) -> Option<GroupPlan> {
        let usable = self.servers.values().filter(|record| record.is_usable());
        let targets = group_targets(usable.count(), &self.profile.models, &self.work_shares);
        let demands = self.demands();
        for index in self.models_by_size() {
            if demands[index].groups >= targets[index] {
                continue;
            }
            let mut largest_free: Vec<FreeServer> = Vec::new();
            for fabric in self.fabric_domains() {
                let free = self.free_servers(now, &fabric);
                if free.len() > largest_free.len() {
                    largest_free = free;
                }
            }
            let wanted = demand_of_model(&demands, index);
            if let Some(plan) = plan_group(&largest_free, &self.profile.models, &wanted, usize::MAX)
            {
                return Some(plan);
            }
        }
        None
    }

    /// Indices of the models, the largest first.
    fn models_by_size(&self) -> SmallVec<[usize; 4]> {
        let mut order: SmallVec<[usize; 4]> = (0..self.profile.models.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.profile.models[*index].size));
        order
    }

    /// Closes at most one small group per fabric domain, for a large group or its spares.
    fn preempt_small_groups(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for fabric in self.fabric_domains() {
            if self.has_ending_group(&fabric) {
                continue;
            }
            let Some(key) = self.find_preemptible(now, &fabric) else {
                continue;
            };
            self.close_group(now, key, ("preempted", None), out);
        }
    }

    /// True while a group of the fabric domain ends, so that its members become free soon.
    fn has_ending_group(&self, fabric: &str) -> bool {
        self.groups.values().any(|group| {
            let ends = matches!(group.phase, GroupPhase::Closing | GroupPhase::Dissolving);
            ends && self.fabric_of(&group.members) == Some(fabric)
        })
    }

    fn fabric_of(&self, members: &[ServerKey]) -> Option<&str> {
        let mut records = members.iter().filter_map(|key| self.servers.get(*key));
        records.next().map(|record| record.fabric.as_str())
    }

    /// A small group to close: its reserve hosts complete a large group of the same
    /// fabric domain, or become the spares of a large group that has none left.
    fn find_preemptible(&self, now: Duration, fabric: &str) -> Option<GroupKey> {
        let demands = self.demands();
        let free = self.free_servers(now, fabric);
        for index in self.models_by_size() {
            let model = &self.profile.models[index];
            let at_hand = |server: &&FreeServer| join_time(server, model) <= model.warm;
            let warm = free.iter().filter(at_hand).count();
            let served = self.serves_model(fabric, &model.name);
            let broken = warm >= model.size / 2 && warm < model.size;
            let (missing, max_busy_share) = if broken {
                (model.size - warm, MAX_BUSY_FOR_REPAIR)
            } else if served && warm == 0 {
                (MIN_SPARES, MAX_BUSY_FOR_SPARES)
            } else {
                continue;
            };
            for (key, group) in &self.groups {
                let fits = group.phase == GroupPhase::Open
                    && group.members.len() < model.size
                    && self.fabric_of(&group.members) == Some(fabric);
                if !fits || self.holders(&group.members, &model.name) < missing {
                    continue;
                }
                if self.busy_share_without_group(&demands, &group.model) < max_busy_share {
                    return Some(key);
                }
            }
        }
        None
    }

    /// Keeps one free host out of smaller groups: one that holds the weights of the
    /// largest model that the fabric domain serves.
    pub(super) fn reserve_spare(&self, fabric: &str, free: &mut [FreeServer]) {
        for index in self.models_by_size() {
            let model = &self.profile.models[index];
            if !self.serves_model(fabric, &model.name) {
                continue;
            }
            let mut holders = free.iter_mut();
            let spare = holders.find(|server| server.staged.contains(&model.name));
            if let Some(spare) = spare {
                spare.min_group_size = model.size;
            }
            return;
        }
    }

    /// True when the fabric domain has a group of the model, in any phase.
    fn serves_model(&self, fabric: &str, model: &str) -> bool {
        self.groups
            .values()
            .any(|group| group.model == model && self.fabric_of(&group.members) == Some(fabric))
    }

    /// Share of request slots of a model in use if it had one group less; infinite for
    /// the last group.
    fn busy_share_without_group(&self, demands: &[ModelDemand], model: &str) -> f64 {
        let mut named = self.profile.models.iter().zip(demands);
        let demand = named.find(|(profile, _)| profile.name == model);
        let Some((_, demand)) = demand.filter(|(_, demand)| demand.groups > 1) else {
            return f64::INFINITY;
        };
        #[allow(clippy::cast_precision_loss)] // few groups
        let groups = demand.groups as f64;
        demand.busy_share * groups / (groups - 1.0)
    }

    /// Number of members whose hosts hold the weights of a model.
    fn holders(&self, members: &[ServerKey], model: &str) -> usize {
        let records = members.iter().filter_map(|key| self.servers.get(*key));
        records.filter(|record| record.holds(model)).count()
    }

    /// Stages the weights of models on reserve hosts, which are free or serve smaller models
    /// in the same fabric domain.
    pub(super) fn stage_reserve_hosts(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for fabric in self.fabric_domains() {
            for index in self.models_by_size() {
                let model = &self.profile.models[index];
                let (name, size) = (model.name.clone(), model.size);
                let Some(key) = self.next_reserve_host(now, &fabric, &name, size) else {
                    continue;
                };
                if !self.admit_loads(now, 1) {
                    return;
                }
                self.servers[key].staging = Some((name.clone(), now));
                self.send_order(now, key, OrderBody::Stage { model: name }, out);
            }
        }
    }

    /// True when the host holds or loads the weights of a model with groups larger than `size`.
    fn is_reserve_of_larger(&self, record: &FormationServer, size: usize) -> bool {
        let mut larger = self.profile.models.iter().filter(|model| model.size > size);
        larger.any(|model| record.holds_or_loads(&model.name))
    }

    /// The next host to load the weights of a model as a reserve; none when the fabric
    /// domain has enough reserve hosts or does not serve the model.
    fn next_reserve_host(
        &self,
        now: Duration,
        fabric: &str,
        model: &str,
        size: usize,
    ) -> Option<ServerKey> {
        let served = self
            .groups
            .values()
            .any(|group| group.model == model && self.fabric_of(&group.members) == Some(fabric));
        let mut reserve = 0;
        let mut best: Option<(usize, ServerKey)> = None;
        for (key, record) in &self.servers {
            if record.fabric != fabric || !record.is_usable() {
                continue;
            }
            let group = record.group.and_then(|key| self.groups.get(key));
            if group.is_some_and(|group| group.model == model) {
                continue;
            }
            if record.holds_or_loads(model) {
                reserve += 1;
                continue;
            }
            // A host keeps the weights of one model.
            if self.is_reserve_of_larger(record, size) {
                continue;
            }
            let busy = record.staging.is_some() || record.pending_order.is_some();
            let settled = group.is_none_or(|group| group.phase == GroupPhase::Open);
            if busy || !settled || now < record.next_order_at || record.failures.any() {
                continue;
            }
            // Free hosts first, then those of the group with the most holders.
            let rank = group.map_or(usize::MAX, |group| self.holders(&group.members, model));
            let smaller = group.is_none_or(|group| group.members.len() < size);
            if smaller && best.is_none_or(|(other, _)| rank > other) {
                best = Some((rank, key));
            }
        }
        let wanted = size / MEMBERS_PER_RESERVE_HOST;
        let (_, key) = best.filter(|_| served && reserve < wanted)?;
        Some(key)
    }
}

/// Demands with only that of one model; the others are set to 0.
fn demand_of_model(demands: &[ModelDemand], index: usize) -> Vec<ModelDemand> {
    let mut demands = demands.to_vec();
    for (other, demand) in demands.iter_mut().enumerate() {
        if other != index {
            demand.work_share = 0.0;
        }
    }
    demands
}

impl FormationServer {
    /// True when the host holds the weights of a model.
    fn holds(&self, model: &str) -> bool {
        self.staged.iter().any(|staged| staged == model)
    }

    /// True when the host holds the weights of a model or loads them.
    fn holds_or_loads(&self, model: &str) -> bool {
        let loads = |(staging, _): &(String, Duration)| staging == model;
        self.holds(model) || self.staging.as_ref().is_some_and(loads)
    }
}
