use {
    super::{
        group_manager::GroupManager,
        group_record::{GroupRecord, MemberSlot},
        instance_record::InstanceRecord,
        planner::{
            MemberStatus, PlanGroup, PlanInput, PlanInstance, PlanMember, PlanService, PlanShard,
        },
    },
    crate::{
        conf::OperatorText,
        core::{keys::GroupKey, lease::LeaseRights},
        wire::{GroupState, InstanceState},
    },
    std::time::Duration,
};

/// Time over which a move must pay off: with old hardware, the set of usable instances of a failure
/// domain changes about once a minute.
const HORIZON_S: f64 = 60.0;

impl GroupManager {
    /// Plans the next moves and applies them to the records; no-op before the first operator text.
    pub(super) fn make_plan(&mut self, now: Duration) {
        let Some(text) = self.text.clone() else {
            return;
        };
        let input = self.plan_input(now, &text);
        for plan_move in (self.policy.plan)(&input) {
            self.apply_move(now, &text, plan_move);
        }
    }

    /// Input of the planner at `now`.
    pub(super) fn plan_input(&self, now: Duration, text: &OperatorText) -> PlanInput {
        let fenced_only = matches!(self.rights(now), LeaseRights::Fenced { .. });
        let usable = |instance: &&InstanceRecord| {
            instance.assigned.is_none()
                && instance.accelerators > 0
                && !instance.foreign
                && !instance.is_leaving()
                && now >= instance.backoff_until
                && instance.is_fresh(now, self.resumed_at, &self.timing)
                && (instance.checks_fencing || !fenced_only)
        };
        let free = self
            .instances
            .iter()
            .filter(|(_, instance)| usable(instance));
        let groups = self
            .groups
            .iter()
            .filter_map(|(key, group)| self.plan_group(now, text, fenced_only, key, group));
        PlanInput {
            free: free
                .map(|(key, instance)| PlanInstance {
                    key,
                    fabric: instance.fabric,
                    accelerators: instance.accelerators,
                    shard: held_shard(text, instance),
                })
                .collect(),
            groups: groups.collect(),
            services: text.model_services.iter().map(plan_service).collect(),
            weights: text.planner.clone(),
            store_bytes_per_s: self.store_bytes_per_s,
            may_repack: now >= self.retired_at + self.timing.repack_cooldown,
            horizon_s: HORIZON_S,
        }
    }

    fn plan_group(
        &self,
        now: Duration,
        text: &OperatorText,
        fenced_only: bool,
        key: GroupKey,
        group: &GroupRecord,
    ) -> Option<PlanGroup> {
        let mut services = text.model_services.iter();
        let service = services.position(|service| service.name == group.service)?;
        let checked = |slot: &MemberSlot| {
            let instance = self.instances.get(slot.instance);
            instance.is_some_and(|instance| instance.checks_fencing)
        };
        // After the lease has expired in a platform outage, groups with a server that ignores
        // fencing numbers stay as they are.
        let frozen = fenced_only && !group.members.iter().all(checked);
        let members = group.members.iter().enumerate().filter_map(|(rank, slot)| {
            let instance = self.instances.get(slot.instance)?;
            Some(PlanMember {
                key: slot.instance,
                fabric: instance.fabric,
                accelerators: instance.accelerators,
                status: if frozen {
                    MemberStatus::Healthy
                } else {
                    self.member_status(now, group, rank, *slot)
                },
                shard: held_shard(text, instance),
            })
        });
        Some(PlanGroup {
            key,
            service: u16::try_from(service).ok()?,
            members: members.collect(),
            serving: frozen || group.state == GroupState::Serving,
            retiring: group.retiring,
            moving: frozen || group.retiring || group.next.is_some(),
        })
    }

    fn member_status(
        &self,
        now: Duration,
        group: &GroupRecord,
        rank: usize,
        slot: MemberSlot,
    ) -> MemberStatus {
        let Some(instance) = self.instances.get(slot.instance) else {
            return MemberStatus::Lost;
        };
        let Some(report) = &instance.report else {
            return MemberStatus::Lost;
        };
        if instance.foreign || !instance.is_fresh(now, self.resumed_at, &self.timing) {
            return MemberStatus::Lost;
        }
        if instance.is_leaving() {
            return MemberStatus::Leaving;
        }
        if report.incarnation != slot.incarnation {
            return if now < instance.backoff_until {
                MemberStatus::Lost
            } else {
                MemberStatus::Restarted
            };
        }
        let placed = report.membership.as_ref().is_some_and(|membership| {
            membership.group == group.id && membership.epoch == group.epoch
        });
        if !placed || report.state != InstanceState::Ready {
            let bytes_left = self.bytes_left(group, rank, slot);
            return MemberStatus::Loading { bytes_left };
        }
        let straggles = instance
            .slow_since
            .is_some_and(|since| now >= since + self.timing.straggler_after);
        if straggles || (group.slow && !self.is_in_majority_fabric(group, instance)) {
            return MemberStatus::Slow;
        }
        MemberStatus::Healthy
    }

    /// True when more than half of the members are in the fabric domain of the instance.
    fn is_in_majority_fabric(&self, group: &GroupRecord, instance: &InstanceRecord) -> bool {
        let here = group.members.iter().filter(|slot| {
            let other = self.instances.get(slot.instance);
            other.is_some_and(|other| other.fabric == instance.fabric)
        });
        here.count() * 2 > group.members.len()
    }
}

fn held_shard(text: &OperatorText, instance: &InstanceRecord) -> Option<PlanShard> {
    let shard = instance.report.as_ref()?.shard.as_ref()?;
    let mut services = text.model_services.iter();
    let matches = |service: &crate::conf::ModelService| {
        service.model == shard.model && service.span == shard.span
    };
    Some(PlanShard {
        service: u16::try_from(services.position(matches)?).ok()?,
        rank: shard.rank,
    })
}

fn plan_service(service: &crate::conf::ModelService) -> PlanService {
    PlanService {
        span: service.span,
        min_groups: service.min_groups,
        max_groups: service.max_groups,
        weight: service.weight,
        shard_bytes: service
            .weight_bytes
            .div_ceil(u64::from(service.span.max(1))),
    }
}
