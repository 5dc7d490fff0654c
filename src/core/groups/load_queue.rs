use {
    super::{
        group_manager::GroupManager,
        group_record::{GroupRecord, MemberSlot},
    },
    crate::core::keys::GroupKey,
    std::time::Duration,
};

/// Rate of the weight store that is assumed before the first load is measured.
pub(super) const INITIAL_STORE_BYTES_PER_S: f64 = 1e9;

/// Shortest time over which the rate of the weight store is measured.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Value of a load for a planned move of a serving group, relative to that for a group that is
/// down.
const PREPARE_VALUE_SHARE: f64 = 0.01;

value_type! {
    /// The shard loads of one group whose members are all responsive.
    struct LoadJob {
        group: GroupKey,
        /// Remaining bytes per unit of value; the job with the lowest cost goes first.
        cost: f64,
        started: bool,
    }
}

impl GroupManager {
    /// Groups whose members may load now: those that have begun or have nothing left to load, and
    /// the one with the least remaining bytes per unit of value.
    pub(super) fn loadable_groups(&self, now: Duration) -> Vec<GroupKey> {
        if !self.policy.queues_loads {
            return self.groups.keys().collect();
        }
        let mut jobs = Vec::new();
        for (key, group) in &self.groups {
            if let Some(job) = self.load_job(now, key, group) {
                jobs.push(job);
            }
        }
        jobs.sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let first = jobs.iter().find(|job| job.cost > 0.0).map(|job| job.group);
        let may_load = |job: &&LoadJob| job.started || job.cost <= 0.0 || Some(job.group) == first;
        let loadable = jobs.iter().filter(may_load);
        loadable.map(|job| job.group).collect()
    }

    #[allow(clippy::cast_precision_loss)] // the cost is only compared
    fn load_job(&self, now: Duration, key: GroupKey, group: &GroupRecord) -> Option<LoadJob> {
        let slots = group.next.as_ref().unwrap_or(&group.members);
        let mut bytes = 0;
        for (rank, slot) in slots.iter().enumerate() {
            let instance = self.instances.get(slot.instance)?;
            if !instance.is_fresh(now, self.resumed_at, &self.timing) {
                return None;
            }
            bytes += self.bytes_left(group, rank, *slot);
        }
        let text = self.text.as_ref()?;
        let service = text
            .model_services
            .iter()
            .find(|service| service.name == group.service)?;
        let accelerators: u32 = slots
            .iter()
            .filter_map(|slot| Some(self.instances.get(slot.instance)?.accelerators))
            .sum();
        let service_groups = self
            .groups
            .values()
            .filter(|other| other.service == group.service);
        let wanted = service_groups.count() <= service.min_groups as usize;
        let downtime = if wanted {
            service.weight * text.planner.group_downtime
        } else {
            0.0
        };
        let stranded = text.planner.stranded_accelerators * f64::from(accelerators);
        let value_share = if group.next.is_some() {
            PREPARE_VALUE_SHARE
        } else {
            1.0
        };
        let value = ((downtime + stranded) * value_share).max(f64::MIN_POSITIVE);
        Some(LoadJob {
            group: key,
            cost: bytes as f64 / value,
            started: group.load_started,
        })
    }

    /// Bytes that a member still has to load: 0 when it holds the shard of its rank, the reported
    /// rest while it loads the shard, else the whole shard.
    pub(super) fn bytes_left(&self, group: &GroupRecord, rank: usize, slot: MemberSlot) -> u64 {
        let Some(instance) = self.instances.get(slot.instance) else {
            return group.shard_bytes;
        };
        let Some(report) = &instance.report else {
            return group.shard_bytes;
        };
        let holds = report.shard.as_ref().is_some_and(|shard| {
            shard.model == group.model
                && shard.span == group.span()
                && usize::try_from(shard.rank).ok() == Some(rank)
        });
        let placed = report.membership.as_ref().is_some_and(|membership| {
            membership.group == group.id && usize::try_from(membership.rank).ok() == Some(rank)
        });
        match (holds, placed) {
            (true, _) => 0,
            (false, true) if report.bytes_left > 0 => report.bytes_left,
            _ => group.shard_bytes,
        }
    }

    /// Updates the estimated rate of the weight store at the end of each window.
    #[allow(clippy::cast_precision_loss)] // a rate estimate
    pub(super) fn measure_store(&mut self, now: Duration) {
        let window = now.saturating_sub(self.rate_window_start);
        if window < RATE_WINDOW {
            return;
        }
        if self.loaded_bytes > 0 {
            let rate = self.loaded_bytes as f64 / window.as_secs_f64();
            // Loads cover only a part of the windows in which they begin and end, so the estimate
            // falls by at most 20 % a window.
            self.store_bytes_per_s = rate.max(self.store_bytes_per_s * 0.8);
        }
        self.loaded_bytes = 0;
        self.rate_window_start = now;
    }
}
