//! Fabric domains that large and small groups share. Load pattern: servers die
//! every few seconds, and each loss breaks a large group with many survivors.
//! A few members of small groups hold the weights of the large model on their
//! hosts, so that a small group can give up its members for a large one.

use {
    super::{
        FormationAction, FormationKeeper, FormationServer, FreeServer, GroupKey, GroupPhase,
        GroupPlan, ModelNeed, OrderBody, ServerKey, domain_plan::join_time, group_targets,
        plan_group,
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Members of a group for each reserve host.
const MEMBERS_PER_RESERVE: usize = 4;

/// Share of the taken places of a small model up to which one of its groups is
/// given up to complete a large group; a server of a small group serves more
/// requests, so the small model goes first when both are short.
pub(super) const BUSY_FOR_REPAIR: f64 = 0.85;

/// The same for spares that wait for the next loss.
const BUSY_FOR_SPARES: f64 = 0.7;

/// Hosts with the weights of the large model in a group that becomes its spares.
pub(super) const LEAST_SPARES: usize = 2;

impl FormationKeeper {
    /// Forms groups of all models in every fabric domain that need no load, and
    /// lets other groups give up their members for larger ones.
    /// False while groups of a deployment that starts wait for loads.
    pub(super) fn form_in_shared_domains(
        &mut self,
        now: Duration,
        out: &mut Vec<FormationAction>,
    ) -> bool {
        if self.preparing {
            return self.form_at_start(now, out);
        }
        while let Some(plan) = self.best_plan(now, 0, |_| true) {
            self.start_group(now, &plan, out);
        }
        self.release_donor(now, out);
        true
    }

    fn form_at_start(&mut self, now: Duration, out: &mut Vec<FormationAction>) -> bool {
        while let Some(plan) = self.opening_plan(now) {
            if !self.may_load(now, plan.loads) {
                return false;
            }
            self.start_group(now, &plan, out);
        }
        true
    }

    /// The next group of a deployment that starts: large ones first, each in
    /// the fabric domain with the most free servers.
    fn opening_plan(&self, now: Duration) -> Option<GroupPlan> {
        let usable = self.servers.values().filter(|record| record.is_usable());
        let targets = group_targets(usable.count(), &self.shape.models, &self.weights);
        let needs = self.needs();
        for index in self.models_by_size() {
            if needs[index].groups >= targets[index] {
                continue;
            }
            let mut widest: Vec<FreeServer> = Vec::new();
            for fabric in self.fabrics() {
                let free = self.free_servers(now, &fabric);
                if free.len() > widest.len() {
                    widest = free;
                }
            }
            let wanted = only(&needs, index);
            if let Some(plan) = plan_group(&widest, &self.shape.models, &wanted, usize::MAX) {
                return Some(plan);
            }
        }
        None
    }

    /// Indices of the models, the largest first.
    fn models_by_size(&self) -> SmallVec<[usize; 4]> {
        let mut order: SmallVec<[usize; 4]> = (0..self.shape.models.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.shape.models[*index].size));
        order
    }

    /// Closes a small group whose members complete a large one that is worth more.
    fn release_donor(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for fabric in self.fabrics() {
            if self.is_settling(&fabric) {
                continue;
            }
            let Some(donor) = self.find_donor(now, &fabric) else {
                continue;
            };
            self.close_group(now, donor, ("gives its members", None), out);
        }
    }

    /// True while members of a fabric domain are about to become free.
    fn is_settling(&self, fabric: &str) -> bool {
        self.groups.values().any(|group| {
            let ends = matches!(group.phase, GroupPhase::Closing | GroupPhase::Dissolving);
            ends && self.fabric_of(&group.members) == Some(fabric)
        })
    }

    fn fabric_of(&self, members: &[ServerKey]) -> Option<&str> {
        let mut records = members.iter().filter_map(|key| self.servers.get(*key));
        records.next().map(|record| record.fabric.as_str())
    }

    /// A small group to give up: one that completes a large group of its
    /// fabric domain, or becomes its spares when none is left.
    fn find_donor(&self, now: Duration, fabric: &str) -> Option<GroupKey> {
        let needs = self.needs();
        let free = self.free_servers(now, fabric);
        for index in self.models_by_size() {
            let model = &self.shape.models[index];
            let at_hand = |server: &&FreeServer| join_time(server, model) <= model.warm;
            let warm = free.iter().filter(at_hand).count();
            let served = self.serves(fabric, &model.name);
            let broken = warm >= model.size / 2 && warm < model.size;
            let (missing, most_busy) = if broken {
                (model.size - warm, BUSY_FOR_REPAIR)
            } else if served && warm == 0 {
                (LEAST_SPARES, BUSY_FOR_SPARES)
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
                if self.busy_without(&needs, &group.model) < most_busy {
                    return Some(key);
                }
            }
        }
        None
    }

    /// Keeps one free host with the weights of the largest model of the fabric
    /// domain from small groups.
    pub(super) fn keep_spare(&self, fabric: &str, free: &mut [FreeServer]) {
        for index in self.models_by_size() {
            let model = &self.shape.models[index];
            if !self.serves(fabric, &model.name) {
                continue;
            }
            let mut holders = free.iter_mut();
            let spare = holders.find(|server| server.staged.contains(&model.name));
            if let Some(spare) = spare {
                spare.least_members = model.size;
            }
            return;
        }
    }

    /// True when a group of the fabric domain serves the model.
    fn serves(&self, fabric: &str, model: &str) -> bool {
        self.groups
            .values()
            .any(|group| group.model == model && self.fabric_of(&group.members) == Some(fabric))
    }

    /// Share of the places of a model that is taken when it has one group less.
    fn busy_without(&self, needs: &[ModelNeed], model: &str) -> f64 {
        let mut named = self.shape.models.iter().zip(needs);
        let need = named.find(|(shape, _)| shape.name == model);
        let Some((_, need)) = need.filter(|(_, need)| need.groups > 1) else {
            return f64::INFINITY;
        };
        #[allow(clippy::cast_precision_loss)] // few groups
        let groups = need.groups as f64;
        need.busy * groups / (groups - 1.0)
    }

    /// Members whose hosts hold the weights of a model.
    fn holders(&self, members: &[ServerKey], model: &str) -> usize {
        let records = members.iter().filter_map(|key| self.servers.get(*key));
        records.filter(|record| record.holds(model)).count()
    }

    /// Stages large models on hosts of their fabric domains that serve others.
    pub(super) fn stage_reserve(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for fabric in self.fabrics() {
            for index in self.models_by_size() {
                let model = &self.shape.models[index];
                let (name, size) = (model.name.clone(), model.size);
                let Some(key) = self.next_reserve(now, &fabric, &name, size) else {
                    continue;
                };
                if !self.may_load(now, 1) {
                    return;
                }
                self.servers[key].staging = Some((name.clone(), now));
                self.give(now, key, OrderBody::Stage { model: name }, out);
            }
        }
    }

    /// True when the host holds the weights of a model of larger groups, or loads them.
    fn is_reserve_of_larger(&self, record: &FormationServer, size: usize) -> bool {
        let mut larger = self.shape.models.iter().filter(|model| model.size > size);
        larger.any(|model| record.is_or_will_be_holder(&model.name))
    }

    /// The host that is to hold the weights of a model next, while too few of
    /// its fabric domain do.
    fn next_reserve(
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
            if record.is_or_will_be_holder(model) {
                reserve += 1;
                continue;
            }
            // A host keeps the weights of one model.
            if self.is_reserve_of_larger(record, size) {
                continue;
            }
            let busy = record.staging.is_some() || record.order.is_some();
            let settled = group.is_none_or(|group| group.phase == GroupPhase::Open);
            if busy || !settled || now < record.next_order || record.failures > 0 {
                continue;
            }
            // Free hosts first, then those of the group that holds most already.
            let rank = group.map_or(usize::MAX, |group| self.holders(&group.members, model));
            let smaller = group.is_none_or(|group| group.members.len() < size);
            if smaller && best.is_none_or(|(other, _)| rank > other) {
                best = Some((rank, key));
            }
        }
        let wanted = size / MEMBERS_PER_RESERVE;
        let (_, key) = best.filter(|_| served && reserve < wanted)?;
        Some(key)
    }
}

/// The need of one model only.
fn only(needs: &[ModelNeed], index: usize) -> Vec<ModelNeed> {
    let mut needs = needs.to_vec();
    for (other, need) in needs.iter_mut().enumerate() {
        if other != index {
            need.weight = 0.0;
        }
    }
    needs
}

impl FormationServer {
    /// True when the host holds the weights of a model.
    fn holds(&self, model: &str) -> bool {
        self.staged.iter().any(|staged| staged == model)
    }

    /// True when the host holds the weights of a model, or loads them.
    fn is_or_will_be_holder(&self, model: &str) -> bool {
        let loads = |(staging, _): &(String, Duration)| staging == model;
        self.holds(model) || self.staging.as_ref().is_some_and(loads)
    }
}
