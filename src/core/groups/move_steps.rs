use {
    super::{
        group_manager::GroupManager,
        group_record::{GroupRecord, MemberSlot},
        group_rows::KnownRow,
        instance_record::Assignment,
        member_watch::group_id,
        planner::PlanMove,
    },
    crate::{
        conf::OperatorText,
        core::keys::{GroupKey, InstanceKey},
        wire::{FencingNumber, GroupState, InstanceState},
    },
    smallvec::SmallVec,
    std::time::Duration,
};

type MemberSlots = SmallVec<[MemberSlot; 4]>;

impl GroupManager {
    /// Applies a planned move to the records; the row writes and orders are derived from them
    /// later.
    pub(super) fn apply_move(&mut self, now: Duration, text: &OperatorText, plan_move: PlanMove) {
        match plan_move {
            PlanMove::Replace { group, members } => {
                let slots = self.slots(&members);
                self.change_members(group, slots);
            }
            PlanMove::Prepare { group, members } => self.prepare(group, &members),
            PlanMove::Dissolve(group) => self.dissolve(group),
            PlanMove::Retire(group) => {
                self.retired_at = now;
                let group = &mut self.groups[group];
                group.retiring = true;
                group.draining_since.get_or_insert(now);
            }
            PlanMove::Form { service, members } => self.form(text, usize::from(service), &members),
        }
    }

    fn slots(&self, members: &[InstanceKey]) -> MemberSlots {
        let slot = |key: &InstanceKey| MemberSlot {
            instance: *key,
            incarnation: self.instances[*key].incarnation(),
        };
        members.iter().map(slot).collect()
    }

    fn form(&mut self, text: &OperatorText, service: usize, members: &[InstanceKey]) {
        let service = &text.model_services[service];
        self.group_number += 1;
        let members = self.slots(members);
        let slow = self.crosses_fabrics(&members);
        let key = self.groups.insert(GroupRecord {
            id: group_id(&self.failure_domain, self.term, self.group_number),
            service: service.name.clone(),
            model: service.model.clone(),
            shard_bytes: service
                .weight_bytes
                .div_ceil(u64::from(service.span.max(1))),
            epoch: 1,
            members,
            next: None,
            state: GroupState::Planned,
            draining_since: None,
            retiring: false,
            slow,
            broken_since: None,
            row: KnownRow::default(),
            published: None,
            version: FencingNumber::default(),
            learned_at: Duration::ZERO,
            withdrew: false,
            load_started: false,
        });
        self.assign_members(key);
    }

    /// Replaces the members of a group that takes no requests and starts its next epoch.
    pub(super) fn change_members(&mut self, key: GroupKey, members: MemberSlots) {
        self.unassign(key);
        let slow = self.crosses_fabrics(&members);
        let group = &mut self.groups[key];
        group.members = members;
        group.epoch += 1;
        group.next = None;
        group.slow = slow;
        group.draining_since = None;
        group.retiring = false;
        group.load_started = false;
        group.state = GroupState::Repairing;
        self.assign_members(key);
    }

    fn assign_members(&mut self, key: GroupKey) {
        let group = &self.groups[key];
        for (rank, slot) in (0..).zip(&group.members) {
            self.instances[slot.instance].assigned = Some(Assignment {
                group: key,
                epoch: group.epoch,
                rank,
            });
            self.instances[slot.instance].ordered_at = None;
        }
    }

    fn prepare(&mut self, key: GroupKey, members: &[InstanceKey]) {
        let slots = self.slots(members);
        let group = &self.groups[key];
        let epoch = group.epoch + 1;
        for (rank, slot) in (0..).zip(&slots) {
            if group
                .members
                .iter()
                .any(|member| member.instance == slot.instance)
            {
                continue;
            }
            self.instances[slot.instance].assigned = Some(Assignment {
                group: key,
                epoch,
                rank,
            });
            self.instances[slot.instance].ordered_at = None;
        }
        let group = &mut self.groups[key];
        group.next = Some(slots);
        group.load_started = false;
    }

    /// Releases every instance of a group, including those that prepare for the next epoch.
    fn unassign(&mut self, key: GroupKey) {
        for instance in self.instances.values_mut() {
            if instance
                .assigned
                .is_some_and(|assignment| assignment.group == key)
            {
                instance.assigned = None;
                instance.ordered_at = None;
            }
        }
    }

    /// Removes a group and schedules the deletion of its row and the withdrawal of its entry.
    pub(super) fn dissolve(&mut self, key: GroupKey) {
        self.unassign(key);
        let entry = self.entry(key);
        let Some(group) = self.groups.remove(key) else {
            return;
        };
        self.old_rows.insert(group.id, group.row);
        if group.published.is_some() {
            self.dissolved_entries.push(entry);
        }
    }

    fn crosses_fabrics(&self, members: &MemberSlots) -> bool {
        let fabric = |slot: &MemberSlot| self.instances[slot.instance].fabric;
        members
            .iter()
            .any(|slot| fabric(slot) != fabric(&members[0]))
    }

    /// Completes planned moves whose group is idle and cancels drains that no longer have a reason.
    pub(super) fn finish_moves(&mut self, now: Duration) {
        let keys: Vec<GroupKey> = self.groups.keys().collect();
        for key in keys {
            if self.groups[key].retiring {
                if self.is_idle(now, key) {
                    self.dissolve(key);
                }
                continue;
            }
            if self.groups[key].next.is_some() {
                self.finish_preparation(now, key);
                continue;
            }
            let leaving = self.has_leaving_member(key);
            if !leaving {
                // No member is leaving any more: the group takes requests again.
                self.groups[key].draining_since = None;
            }
        }
    }

    fn finish_preparation(&mut self, now: Duration, key: GroupKey) {
        let group = &self.groups[key];
        let next = group.next.clone().unwrap_or_default();
        let epoch = group.epoch + 1;
        let mut ready = true;
        for (rank, slot) in next.iter().enumerate() {
            let instance = &self.instances[slot.instance];
            let alive = instance.is_fresh(now, self.resumed_at, &self.timing)
                && instance.incarnation() == slot.incarnation
                && !instance.is_leaving();
            if !alive {
                self.cancel_preparation(key);
                return;
            }
            if group
                .members
                .iter()
                .any(|member| member.instance == slot.instance)
            {
                continue;
            }
            let report = instance.report.as_ref();
            ready &= report.is_some_and(|report| {
                report.state == InstanceState::Ready
                    && report.membership.as_ref().is_some_and(|membership| {
                        membership.group == group.id
                            && membership.epoch == epoch
                            && usize::try_from(membership.rank).ok() == Some(rank)
                    })
            });
        }
        let down = group.state != GroupState::Serving;
        if !ready && !down {
            return;
        }
        if self.is_idle(now, key) {
            self.change_members(key, next);
            return;
        }
        self.groups[key].draining_since.get_or_insert(now);
    }

    fn cancel_preparation(&mut self, key: GroupKey) {
        let epoch = self.groups[key].epoch;
        for instance in self.instances.values_mut() {
            let prepared = instance
                .assigned
                .is_some_and(|assignment| assignment.group == key && assignment.epoch > epoch);
            if prepared {
                instance.assigned = None;
            }
        }
        self.groups[key].next = None;
    }

    /// True when the group does not serve, or has drained and runs no request.
    fn is_idle(&self, now: Duration, key: GroupKey) -> bool {
        let group = &self.groups[key];
        if group.state != GroupState::Serving {
            return true;
        }
        let Some(since) = group.draining_since else {
            return false;
        };
        let noticed = since + self.timing.drain_notice;
        let first_member = group
            .members
            .first()
            .and_then(|slot| self.instances.get(slot.instance));
        first_member.is_some_and(|first_member| {
            // Gateways may send requests until they know of the drain.
            now >= noticed
                && first_member.polled_at >= noticed
                && first_member
                    .report
                    .as_ref()
                    .is_some_and(|report| report.load.running == 0 && report.load.waiting == 0)
        })
    }

    fn has_leaving_member(&self, key: GroupKey) -> bool {
        self.groups[key].members.iter().any(|slot| {
            let instance = self.instances.get(slot.instance);
            instance.is_some_and(super::instance_record::InstanceRecord::is_leaving)
        })
    }

    /// Dissolves groups with a member whose row assigns it to another failure domain.
    pub(super) fn dissolve_foreign(&mut self) {
        let foreign = |slot: &MemberSlot| self.instances[slot.instance].foreign;
        let broken = self
            .groups
            .iter()
            .filter(|(_, group)| group.members.iter().any(foreign));
        let keys: Vec<GroupKey> = broken.map(|(key, _)| key).collect();
        for key in keys {
            self.dissolve(key);
        }
    }
}
