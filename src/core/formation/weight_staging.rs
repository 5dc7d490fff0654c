//! Choice of the hosts that load weights next. The expected load is that members
//! fail faster than the weight store can replace them, so repairs wait for loads.
//! Hosts load before they join a group, and a group is formed of hosts that hold
//! its weights: a loss costs one load, and a host with weights never waits for
//! another one to load.

use {
    super::{
        FormationAction, FormationManager, FreeServer, ModelDemand, OrderBody, ServerKey,
        domain_plan::join_time,
        group_targets,
        shared_domains::{MAX_BUSY_FOR_REPAIR, MIN_SPARES},
        shares_domains,
    },
    crate::core::routes::ModelProfile,
    std::time::Duration,
};

/// Factor by which the work share per group of one model must exceed that of
/// another before its weights replace those of the other on a free host.
const REPLACEMENT_RATIO: f64 = 2.0;

/// A host that could load the weights of a model next.
#[derive(Debug, Clone, Copy)]
struct StagingChoice {
    server: ServerKey,
    model: usize,
    /// True when the free hosts suffice to complete a group; spares load after these.
    completes_group: bool,
    /// Score of the group divided by the loads that it still lacks.
    score: f64,
}

impl StagingChoice {
    fn precedes(&self, other: &Self) -> bool {
        let rank = (self.completes_group, self.score);
        rank > (other.completes_group, other.score)
    }
}

impl FormationManager {
    /// Starts loads, those for the groups with the highest scores first, up to the load limits.
    pub(super) fn stage_weights(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        while let Some(choice) = self.next_staging(now) {
            if !self.admit_loads(now, 1) {
                return;
            }
            let model = self.profile.models[choice.model].name.clone();
            self.servers[choice.server].staging = Some((model.clone(), now));
            self.send_order(now, choice.server, OrderBody::Stage { model }, out);
        }
        if shares_domains(&self.profile.models) {
            self.stage_reserve_hosts(now, out);
        }
    }

    fn next_staging(&self, now: Duration) -> Option<StagingChoice> {
        let mut best: Option<StagingChoice> = None;
        for fabric in self.fabric_domains() {
            let free = self.free_servers(now, &fabric);
            let demands = self.domain_demands(&fabric);
            for model in 0..self.profile.models.len() {
                let Some(choice) = self.staging_for(&free, &demands, model) else {
                    continue;
                };
                if best.is_none_or(|other| choice.precedes(&other)) {
                    best = Some(choice);
                }
            }
        }
        best
    }

    /// The free host of a fabric domain that loads next for a model.
    fn staging_for(
        &self,
        free: &[FreeServer],
        demands: &[ModelDemand],
        index: usize,
    ) -> Option<StagingChoice> {
        let model = &self.profile.models[index];
        let demand = demands
            .get(index)
            .filter(|demand| demand.work_share > 0.0)?;
        if model.size == 0 {
            return None;
        }
        let holds_or_loads = |server: &&FreeServer| {
            join_time(server, model) <= model.warm || server.staging.as_ref() == Some(&model.name)
        };
        let holders = free.iter().filter(holds_or_loads).count();
        let missing = model.size - holders % model.size;
        let can_load = |server: &&FreeServer| self.may_replace(server, free, demands, index);
        let mut candidates = free.iter().filter(can_load);
        let count = candidates.clone().count();
        // Hosts that hold no weights come first.
        let chosen = candidates.clone().find(|server| server.staged.is_empty());
        let server = chosen.or_else(|| candidates.next())?;
        let completes_group = missing <= count;
        // In shared domains, hosts that serve smaller models are the spares.
        if !completes_group && shares_domains(&self.profile.models) {
            return None;
        }
        Some(StagingChoice {
            server: server.key,
            model: index,
            completes_group,
            score: demand.score(model.load) / count_as_f64(missing),
        })
    }

    /// True when the weights of a model may be loaded onto a free host, also in place of others.
    fn may_replace(
        &self,
        server: &FreeServer,
        free: &[FreeServer],
        demands: &[ModelDemand],
        index: usize,
    ) -> bool {
        let model = &self.profile.models[index];
        if server.staging.is_some() || join_time(server, model) <= model.warm {
            return false;
        }
        let demand = &demands[index];
        for (other, held) in self.profile.models.iter().zip(demands) {
            if !server.staged.contains(&other.name) {
                continue;
            }
            let spares = free.iter().filter(|one| one.staged.contains(&other.name));
            let in_surplus = self.has_target_groups(&other.name, demands)
                && spares.count() > MIN_SPARES
                && demand.busy_share >= MAX_BUSY_FOR_REPAIR
                && held.busy_share < MAX_BUSY_FOR_REPAIR
                && held.groups > 0;
            if demand.share_per_group() <= REPLACEMENT_RATIO * held.share_per_group() && !in_surplus
            {
                return false;
            }
        }
        true
    }

    /// True when a model has the groups that its share of the work asks for. The free hosts with its
    /// weights are spares then, and otherwise the members of its next group.
    fn has_target_groups(&self, model: &str, demands: &[ModelDemand]) -> bool {
        let models = &self.profile.models;
        let usable = self.servers.values().filter(|record| record.is_usable());
        let targets = group_targets(usable.count(), models, &self.work_shares);
        let mut known = models.iter().zip(demands).zip(&targets);
        let found = known.find(|((one, _), _)| one.name == model);
        found.is_some_and(|((_, demand), target)| demand.groups >= *target)
    }
}

fn count_as_f64(members: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)] // few members
    let count = members as f64;
    count
}

/// Number of hosts that may load at once for one of `domains` failure domains: its
/// share of the `at_once` loads that the weight store runs at full speed, but at
/// least half of them, since other domains may load less.
///
/// ```
/// use toucanring::core::formation::max_domain_loads;
///
/// assert_eq!(max_domain_loads(6, 3), 3);
/// assert_eq!(max_domain_loads(27, 1), 27);
/// ```
#[must_use]
pub fn max_domain_loads(at_once: u32, domains: u32) -> usize {
    let share = at_once.div_ceil(domains.max(1));
    share.max(at_once.div_ceil(2)).max(1) as usize
}

/// Largest group size of the models; 1 when there are none.
pub(super) fn largest_group_size(models: &[ModelProfile]) -> usize {
    let sizes = models.iter().map(|model| model.size);
    sizes.max().unwrap_or(1)
}
