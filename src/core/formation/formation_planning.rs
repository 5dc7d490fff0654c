//! Planning of the groups that a formation manager forms next.

use {
    super::{
        FormationAction, FormationGroup, FormationManager, FormationServer, FreeServer, GroupPhase,
        GroupPlan, ModelDemand, OrderBody, ServerKey, choose_model,
        formation_server::PendingOrder,
        plan_group, shares_domains,
        weight_staging::{largest_group_size, max_domain_loads},
    },
    smallvec::SmallVec,
    std::{collections::BTreeSet, time::Duration},
};

/// Time in which the servers of a starting deployment register; no group is
/// formed in it while fewer fabric domains than models are known.
const STARTUP_WAIT: Duration = Duration::from_millis(1_500);

/// Time after which a starting deployment stops expecting more fabric domains.
/// Until then the known domains are assigned to the models with the most work;
/// afterwards each domain serves all models if there are fewer domains than models.
const LATE_DOMAIN_WAIT: Duration = Duration::from_secs(4);

impl FormationManager {
    /// Servers of a fabric domain that can join a group now.
    pub(super) fn free_servers(&self, now: Duration, fabric: &str) -> Vec<FreeServer> {
        let mut free = Vec::new();
        for (key, record) in &self.servers {
            if record.fabric != fabric || !record.is_usable() {
                continue;
            }
            if self.former_groups.contains_key(&record.id) {
                continue;
            }
            let busy = record.group.is_some()
                || record
                    .pending_order
                    .as_ref()
                    .is_some_and(changes_membership);
            if busy
                || record.membership.is_some()
                || record.failures.any()
                || now < record.next_order_at
            {
                continue;
            }
            free.push(FreeServer {
                key,
                last_model: record.last_model.clone(),
                staged: record.staged.clone(),
                staging: record.staging.as_ref().map(|(model, _)| model.clone()),
                min_group_size: 0,
            });
        }
        if shares_domains(&self.profile.models) {
            self.reserve_spare(fabric, &mut free);
        }
        free
    }

    /// Demand for each model, with its groups that serve or are being formed.
    pub(super) fn demands(&self) -> Vec<ModelDemand> {
        let mut demands = Vec::new();
        let shares = self.work_shares.iter().zip(&self.busy_shares);
        for (model, (work_share, busy_share)) in self.profile.models.iter().zip(shares) {
            let counts = |group: &&FormationGroup| {
                let kept = !matches!(group.phase, GroupPhase::Closing | GroupPhase::Dissolving);
                kept && group.model == model.name
            };
            demands.push(ModelDemand {
                work_share: *work_share,
                groups: self.groups.values().filter(counts).count(),
                busy_share: *busy_share,
            });
        }
        demands
    }

    pub(super) fn fabric_domains(&self) -> BTreeSet<String> {
        let names = self.servers.values().map(|record| record.fabric.clone());
        names.collect()
    }

    /// Usable servers of a fabric domain that hold the weights of each model.
    fn holder_counts(&self, fabric: &str) -> Vec<usize> {
        let mut counts = vec![0; self.profile.models.len()];
        for record in self.servers.values() {
            if record.fabric != fabric || !record.is_usable() {
                continue;
            }
            for (count, model) in counts.iter_mut().zip(&self.profile.models) {
                *count += usize::from(record.staged.contains(&model.name));
            }
        }
        counts
    }

    /// Assigns a model to every fabric domain if there are at least as many domains
    /// as models; with fewer, each domain serves all models.
    fn assign_domains(&mut self, now: Duration) {
        let fabric_domains = self.fabric_domains();
        let first_server_at = self.first_server_at.unwrap_or(now);
        let early = self.preparing && now < first_server_at + LATE_DOMAIN_WAIT;
        if fabric_domains.len() < self.profile.models.len() && !early {
            self.domain_models.clear();
            return;
        }
        let demands = self.demands();
        let mut assigned = vec![0; demands.len()];
        for model in self.domain_models.values() {
            assigned[*model] += 1;
        }
        // Domains that hold weights come first, so that domains without weights get the models
        // that are still short.
        let mut unassigned: Vec<(std::cmp::Reverse<usize>, String)> = Vec::new();
        for fabric in fabric_domains {
            if !self.domain_models.contains_key(&fabric) {
                let holders = self.holder_counts(&fabric).into_iter().max().unwrap_or(0);
                unassigned.push((std::cmp::Reverse(holders), fabric));
            }
        }
        unassigned.sort();
        for (_, fabric) in unassigned {
            let counts = self.holder_counts(&fabric);
            let Some(model) = choose_model(&counts, &self.profile.models, &demands, &assigned)
            else {
                continue;
            };
            assigned[model] += 1;
            self.domain_models.insert(fabric, model);
        }
    }

    /// Demands that a fabric domain serves: only that of its own model, unless it has too
    /// few servers for a group of this model.
    pub(super) fn domain_demands(&self, fabric: &str) -> Vec<ModelDemand> {
        let mut demands = self.demands();
        let Some(own) = self.domain_models.get(fabric).copied() else {
            return demands;
        };
        let usable = |record: &&FormationServer| record.fabric == fabric && record.is_usable();
        let alive = self.servers.values().filter(usable).count();
        // During startup, more servers of the domain are expected to register.
        if alive < self.profile.models[own].size && !self.preparing {
            return demands;
        }
        for (index, demand) in demands.iter_mut().enumerate() {
            if index != own {
                demand.work_share = 0.0;
            }
        }
        demands
    }

    /// Number of servers that load from the weight store, for a group that forms or as spares.
    pub(super) fn loading_servers(&self) -> usize {
        let mut loading_servers = 0;
        for record in self.servers.values() {
            if !record.present {
                continue;
            }
            let group = record.group.and_then(|key| self.groups.get(key));
            let joins = group.is_some_and(|group| {
                group.phase == GroupPhase::Joining && !record.staged.contains(&group.model)
            });
            loading_servers += usize::from(joins || record.staging.is_some());
        }
        loading_servers
    }

    /// Admits `loads` more loads; false when they would exceed the number that may run at
    /// once or, after startup, the rate. Loads share the weight store: more loads at once
    /// finish no sooner in total, and the first of them finishes later.
    pub(super) fn admit_loads(&mut self, now: Duration, loads: usize) -> bool {
        if loads == 0 {
            return true;
        }
        let mut at_once = max_domain_loads(self.profile.loads_at_once, self.scope.domains);
        if self.preparing {
            at_once = at_once.max(largest_group_size(&self.profile.models));
        }
        if self.loading_servers() + loads > at_once {
            return false;
        }
        #[allow(clippy::cast_precision_loss)] // few members
        let admitted = self.preparing || self.load_budget.try_spend(now, loads as f64);
        admitted
    }

    /// True while more fabric domains of a starting deployment are expected to register.
    fn awaits_domains(&mut self, now: Duration) -> bool {
        let fabric_domains = self.fabric_domains().len();
        if fabric_domains > 0 && self.first_server_at.is_none() {
            self.first_server_at = Some(now);
        }
        let early = self
            .first_server_at
            .is_none_or(|seen| now < seen + STARTUP_WAIT);
        self.preparing && early && fabric_domains < self.profile.models.len()
    }

    /// Forms the groups that are due; false while groups of a starting deployment
    /// wait for servers or loads.
    pub(super) fn form_groups(&mut self, now: Duration, out: &mut Vec<FormationAction>) -> bool {
        if self.awaits_domains(now) {
            return false;
        }
        if shares_domains(&self.profile.models) {
            return self.form_in_shared_domains(now, out);
        }
        self.assign_domains(now);
        // During startup the group with the highest score loads first, so that other loads do
        // not delay it. Later, hosts load before they join a group.
        while self.preparing
            && let Some(plan) = self.best_plan(now, usize::MAX, |_| true)
        {
            if !self.admit_loads(now, plan.loads) {
                return false;
            }
            self.start_group(now, &plan, out);
        }
        while let Some(plan) = self.best_plan(now, 0, |_| true) {
            self.start_group(now, &plan, out);
        }
        true
    }

    /// The plan with the highest score that needs at most `max_loads` loads, among the
    /// fabric domains that `counts` accepts.
    pub(super) fn best_plan(
        &self,
        now: Duration,
        max_loads: usize,
        counts: impl Fn(&str) -> bool,
    ) -> Option<GroupPlan> {
        let mut best: Option<GroupPlan> = None;
        for fabric in self.fabric_domains() {
            if !counts(&fabric) {
                continue;
            }
            let free = self.free_servers(now, &fabric);
            let demands = self.domain_demands(&fabric);
            let Some(plan) = plan_group(&free, &self.profile.models, &demands, max_loads) else {
                continue;
            };
            if best.as_ref().is_none_or(|other| plan.score > other.score) {
                best = Some(plan);
            }
        }
        best
    }

    /// The members with the one in front, as the head, that is warm or becomes so first. Only the
    /// head gets requests, which a cold server tolerates few of.
    fn with_warm_head(&self, members: &SmallVec<[ServerKey; 4]>) -> SmallVec<[ServerKey; 4]> {
        let mut ordered = members.clone();
        let cold_until = |key: &ServerKey| self.cold_ends.get(&self.servers[*key].id);
        let positions = 0..ordered.len();
        let warmest = positions.min_by_key(|position| cold_until(&ordered[*position]));
        if let Some(warmest) = warmest {
            ordered[..=warmest].rotate_right(1);
        }
        ordered
    }

    /// Creates a group from a plan and sends the join orders to its members.
    pub(super) fn start_group(
        &mut self,
        now: Duration,
        plan: &GroupPlan,
        out: &mut Vec<FormationAction>,
    ) {
        self.last_epoch += 1;
        let epoch = self.last_epoch;
        let size = plan.members.len();
        let members = self.with_warm_head(&plan.members);
        let name = format!("{}-{epoch}", self.scope.failure_domain);
        let group = FormationGroup {
            name: name.clone(),
            epoch,
            model: self.profile.models[plan.model].name.clone(),
            members: members.clone(),
            seen_ready: SmallVec::from_elem(false, size),
            joined: SmallVec::from_elem(false, size),
            phase: GroupPhase::Joining,
            since: now,
        };
        let key = self.groups.insert(group);
        for member in members {
            let record = &mut self.servers[member];
            record.group = Some(key);
            record.last_group = Some((name.clone(), epoch));
            record.staging = None;
        }
        self.set_phase(now, key, GroupPhase::Joining, ("planned", None), out);
        self.join_members(now, key, out);
    }
}

/// True for an order that changes the group membership of its server; loading
/// weights does not.
const fn changes_membership(order: &PendingOrder) -> bool {
    !matches!(order.body, OrderBody::Stage { .. })
}
