//! Which groups a keeper forms next.

use {
    super::{
        FormationAction, FormationGroup, FormationKeeper, FormationServer, FreeServer, GroupPhase,
        GroupPlan, ModelNeed, OrderBody, choose_model,
        formation_server::OpenOrder,
        plan_group, shares_domains,
        weight_staging::{largest_size, loads_of_domain},
    },
    smallvec::SmallVec,
    std::{collections::BTreeSet, time::Duration},
};

/// Time in which the servers of a deployment that starts appear; until then
/// fabric domains that are not seen yet count as about to appear.
const APPEARING: Duration = Duration::from_millis(1_500);

/// Time after which fabric domains that are not seen yet no longer count; until
/// then those that are seen get the models that need them most.
const LATE_DOMAINS: Duration = Duration::from_secs(4);

impl FormationKeeper {
    /// Servers of a fabric domain that are in no group.
    pub(super) fn free_servers(&self, now: Duration, fabric: &str) -> Vec<FreeServer> {
        let mut free = Vec::new();
        for (key, record) in &self.servers {
            if record.fabric != fabric || !record.is_usable() {
                continue;
            }
            let busy = record.group.is_some() || record.order.as_ref().is_some_and(moves_server);
            if busy || record.is_member() || record.failures > 0 || now < record.next_order {
                continue;
            }
            free.push(FreeServer {
                key,
                last_model: record.last_model.clone(),
                staged: record.staged.clone(),
                staging: record.staging.as_ref().map(|(model, _)| model.clone()),
                least_members: 0,
            });
        }
        if shares_domains(&self.shape.models) {
            self.keep_spare(fabric, &mut free);
        }
        free
    }

    /// Groups of each model that serve or are about to.
    pub(super) fn needs(&self) -> Vec<ModelNeed> {
        let mut needs = Vec::new();
        let shares = self.weights.iter().zip(&self.busy);
        for (model, (weight, busy)) in self.shape.models.iter().zip(shares) {
            let counts = |group: &&FormationGroup| {
                let kept = !matches!(group.phase, GroupPhase::Closing | GroupPhase::Dissolving);
                kept && group.model == model.name
            };
            needs.push(ModelNeed {
                weight: *weight,
                groups: self.groups.values().filter(counts).count(),
                busy: *busy,
            });
        }
        needs
    }

    pub(super) fn fabrics(&self) -> BTreeSet<String> {
        let names = self.servers.values().map(|record| record.fabric.clone());
        names.collect()
    }

    /// Servers of a fabric domain that hold the weights of each model.
    fn warm_servers(&self, fabric: &str) -> Vec<usize> {
        let mut warm = vec![0; self.shape.models.len()];
        for record in self.servers.values() {
            if record.fabric != fabric || !record.is_usable() {
                continue;
            }
            for (count, model) in warm.iter_mut().zip(&self.shape.models) {
                *count += usize::from(record.staged.contains(&model.name));
            }
        }
        warm
    }

    /// Gives every fabric domain its model, when there is a domain for each
    /// model; with fewer, each domain serves all models.
    fn assign_domains(&mut self, now: Duration) {
        let fabrics = self.fabrics();
        let first_seen = self.first_seen.unwrap_or(now);
        let early = self.preparing && now < first_seen + LATE_DOMAINS;
        if fabrics.len() < self.shape.models.len() && !early {
            self.domain_models.clear();
            return;
        }
        let needs = self.needs();
        let mut assigned = vec![0; needs.len()];
        for model in self.domain_models.values() {
            assigned[*model] += 1;
        }
        // Domains that hold weights already come first, so that fresh ones fill up.
        let mut open: Vec<(std::cmp::Reverse<usize>, String)> = Vec::new();
        for fabric in fabrics {
            if !self.domain_models.contains_key(&fabric) {
                let warm = self.warm_servers(&fabric).into_iter().max().unwrap_or(0);
                open.push((std::cmp::Reverse(warm), fabric));
            }
        }
        open.sort();
        for (_, fabric) in open {
            let warm = self.warm_servers(&fabric);
            let Some(model) = choose_model(&warm, &self.shape.models, &needs, &assigned) else {
                continue;
            };
            assigned[model] += 1;
            self.domain_models.insert(fabric, model);
        }
    }

    /// Needs of a fabric domain: only its own model, unless too few of its
    /// servers are left for that.
    pub(super) fn domain_needs(&self, fabric: &str) -> Vec<ModelNeed> {
        let mut needs = self.needs();
        let Some(own) = self.domain_models.get(fabric).copied() else {
            return needs;
        };
        let usable = |record: &&FormationServer| record.fabric == fabric && record.is_usable();
        let alive = self.servers.values().filter(usable).count();
        // At the start more servers of the domain are about to appear.
        if alive < self.shape.models[own].size && !self.preparing {
            return needs;
        }
        for (index, need) in needs.iter_mut().enumerate() {
            if index != own {
                need.weight = 0.0;
            }
        }
        needs
    }

    /// Members that load from the weight store for groups that form, and spares.
    pub(super) fn loading(&self) -> usize {
        let mut loading = 0;
        for record in self.servers.values() {
            if !record.present {
                continue;
            }
            let group = record.group.and_then(|key| self.groups.get(key));
            let joins = group.is_some_and(|group| {
                group.phase == GroupPhase::Joining && !record.staged.contains(&group.model)
            });
            loading += usize::from(joins || record.staging.is_some());
        }
        loading
    }

    /// True when `loads` more loads may start. Loads share the weight store:
    /// more at once finish no sooner, and the first of them later.
    pub(super) fn may_load(&mut self, now: Duration, loads: usize) -> bool {
        if loads == 0 {
            return true;
        }
        let mut at_once = loads_of_domain(self.shape.loads_at_once, self.scope.domains);
        if self.preparing {
            at_once = at_once.max(largest_size(&self.shape.models));
        }
        if self.loading() + loads > at_once {
            return false;
        }
        #[allow(clippy::cast_precision_loss)] // few members
        let granted = self.preparing || self.loads.spend(now, loads as f64);
        granted
    }

    /// True while further fabric domains are about to appear.
    fn is_appearing(&mut self, now: Duration) -> bool {
        let fabrics = self.fabrics().len();
        if fabrics > 0 && self.first_seen.is_none() {
            self.first_seen = Some(now);
        }
        let early = self.first_seen.is_none_or(|seen| now < seen + APPEARING);
        self.preparing && early && fabrics < self.shape.models.len()
    }

    /// Forms the groups that are due; false while others of a deployment that
    /// starts wait for servers or loads.
    pub(super) fn form_groups(&mut self, now: Duration, out: &mut Vec<FormationAction>) -> bool {
        if self.is_appearing(now) {
            return false;
        }
        if shares_domains(&self.shape.models) {
            return self.form_in_shared_domains(now, out);
        }
        self.assign_domains(now);
        // The group that is needed most goes first, so that the loads of others
        // do not delay its own; later on, hosts load while they are free.
        while self.preparing
            && let Some(plan) = self.best_plan(now, usize::MAX, |_| true)
        {
            if !self.may_load(now, plan.loads) {
                return false;
            }
            self.start_group(now, &plan, out);
        }
        while let Some(plan) = self.best_plan(now, 0, |_| true) {
            self.start_group(now, &plan, out);
        }
        true
    }

    /// The plan of most worth with at most `most_loads` loads, among the fabric
    /// domains that count.
    pub(super) fn best_plan(
        &self,
        now: Duration,
        most_loads: usize,
        counts: impl Fn(&str) -> bool,
    ) -> Option<GroupPlan> {
        let mut best: Option<GroupPlan> = None;
        for fabric in self.fabrics() {
            if !counts(&fabric) {
                continue;
            }
            let free = self.free_servers(now, &fabric);
            let needs = self.domain_needs(&fabric);
            let Some(plan) = plan_group(&free, &self.shape.models, &needs, most_loads) else {
                continue;
            };
            if best.as_ref().is_none_or(|other| plan.worth > other.worth) {
                best = Some(plan);
            }
        }
        best
    }

    pub(super) fn start_group(
        &mut self,
        now: Duration,
        plan: &GroupPlan,
        out: &mut Vec<FormationAction>,
    ) {
        self.next_epoch += 1;
        let epoch = self.next_epoch;
        let size = plan.members.len();
        let group = FormationGroup {
            name: format!("{}-{epoch}", self.scope.failure_domain),
            epoch,
            model: self.shape.models[plan.model].name.clone(),
            members: plan.members.clone(),
            seen_ready: SmallVec::from_elem(false, size),
            joined: SmallVec::from_elem(false, size),
            phase: GroupPhase::Joining,
            since: now,
        };
        let key = self.groups.insert(group);
        for &member in &plan.members {
            let record = &mut self.servers[member];
            record.group = Some(key);
            record.staging = None;
        }
        self.phase(now, key, GroupPhase::Joining, ("planned", None), out);
        self.join_members(now, key, out);
    }
}

/// True for an order that changes the membership of its server; a load does not.
const fn moves_server(order: &OpenOrder) -> bool {
    !matches!(order.body, OrderBody::Stage { .. })
}
