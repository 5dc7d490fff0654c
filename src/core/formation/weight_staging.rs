//! Which hosts load which weights next. Load pattern: members die faster than
//! the weight store can replace them, so that loads are what repairs wait for.
//! Hosts load while they are free, and a group is formed of hosts that hold its
//! weights: a loss costs one load, and no host with weights waits for another.

use {
    super::{
        FormationAction, FormationKeeper, FreeServer, ModelNeed, OrderBody, ServerKey,
        domain_plan::join_time,
        shared_domains::{BUSY_FOR_REPAIR, LEAST_SPARES},
        shares_domains,
    },
    crate::core::routes::ModelShape,
    std::time::Duration,
};

/// Factor by which the need of one model must exceed that of another before its
/// weights replace those of the other on a free host.
const REPLACING_NEED: f64 = 2.0;

/// A load that could start.
#[derive(Debug, Clone, Copy)]
struct StagingChoice {
    server: ServerKey,
    model: usize,
    /// False for a spare, which loads after the members of groups.
    completes_group: bool,
    /// Need of the group for each load that it still lacks.
    worth: f64,
}

impl StagingChoice {
    fn is_before(&self, other: &Self) -> bool {
        let rank = (self.completes_group, self.worth);
        rank > (other.completes_group, other.worth)
    }
}

impl FormationKeeper {
    /// Starts the loads that bring the groups that are needed most soonest.
    pub(super) fn stage_weights(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        while let Some(choice) = self.next_staging(now) {
            if !self.may_load(now, 1) {
                return;
            }
            let model = self.shape.models[choice.model].name.clone();
            self.servers[choice.server].staging = Some((model.clone(), now));
            self.give(now, choice.server, OrderBody::Stage { model }, out);
        }
        if shares_domains(&self.shape.models) {
            self.stage_reserve(now, out);
        }
    }

    fn next_staging(&self, now: Duration) -> Option<StagingChoice> {
        let mut best: Option<StagingChoice> = None;
        for fabric in self.fabrics() {
            let free = self.free_servers(now, &fabric);
            let needs = self.domain_needs(&fabric);
            for model in 0..self.shape.models.len() {
                let Some(choice) = self.staging_for(&free, &needs, model) else {
                    continue;
                };
                if best.is_none_or(|other| choice.is_before(&other)) {
                    best = Some(choice);
                }
            }
        }
        best
    }

    /// The host that loads next for a model, among the free ones of a fabric domain.
    fn staging_for(
        &self,
        free: &[FreeServer],
        needs: &[ModelNeed],
        index: usize,
    ) -> Option<StagingChoice> {
        let model = &self.shape.models[index];
        let need = needs.get(index).filter(|need| need.weight > 0.0)?;
        if model.size == 0 {
            return None;
        }
        let has_or_loads = |server: &&FreeServer| {
            join_time(server, model) <= model.warm || server.staging.as_ref() == Some(&model.name)
        };
        let holders = free.iter().filter(has_or_loads).count();
        let missing = model.size - holders % model.size;
        let may_load = |server: &&FreeServer| self.may_replace(server, free, needs, index);
        let mut blank = free.iter().filter(may_load);
        let count = blank.clone().count();
        // Hosts without any weights first.
        let chosen = blank.clone().find(|server| server.staged.is_empty());
        let server = chosen.or_else(|| blank.next())?;
        let completes_group = missing <= count;
        // The spares of shared domains are hosts that serve smaller models.
        if !completes_group && shares_domains(&self.shape.models) {
            return None;
        }
        Some(StagingChoice {
            server: server.key,
            model: index,
            completes_group,
            worth: need.worth(model.load) / as_count(missing),
        })
    }

    /// True when the weights of a model may be loaded onto a free host.
    fn may_replace(
        &self,
        server: &FreeServer,
        free: &[FreeServer],
        needs: &[ModelNeed],
        index: usize,
    ) -> bool {
        let model = &self.shape.models[index];
        if server.staging.is_some() || join_time(server, model) <= model.warm {
            return false;
        }
        let need = &needs[index];
        for (other, held) in self.shape.models.iter().zip(needs) {
            if !server.staged.contains(&other.name) {
                continue;
            }
            let spares = free.iter().filter(|one| one.staged.contains(&other.name));
            let in_surplus = spares.count() > LEAST_SPARES
                && need.busy >= BUSY_FOR_REPAIR
                && held.busy < BUSY_FOR_REPAIR
                && held.groups > 0;
            if need.load() <= REPLACING_NEED * held.load() && !in_surplus {
                return false;
            }
        }
        true
    }
}

fn as_count(members: usize) -> f64 {
    #[allow(clippy::cast_precision_loss)] // few members
    let count = members as f64;
    count
}

/// Hosts that may load at once for one of `domains` failure domains: its part
/// of what the weight store bears, and up to half of it while others load less.
///
/// ```
/// use toucanring::core::formation::loads_of_domain;
///
/// assert_eq!(loads_of_domain(6, 3), 3);
/// assert_eq!(loads_of_domain(27, 1), 27);
/// ```
#[must_use]
pub fn loads_of_domain(at_once: u32, domains: u32) -> usize {
    let share = at_once.div_ceil(domains.max(1));
    share.max(at_once.div_ceil(2)).max(1) as usize
}

/// Largest number of members among the models.
pub(super) fn largest_size(models: &[ModelShape]) -> usize {
    let sizes = models.iter().map(|model| model.size);
    sizes.max().unwrap_or(1)
}
