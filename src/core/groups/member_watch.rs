use {
    super::{
        GroupAction,
        group_manager::GroupManager,
        group_record::{GroupRecord, MemberSlot},
        instance_record::InstanceRecord,
    },
    crate::{
        core::keys::GroupKey,
        wire::{
            FencingNumber, GroupEntry, GroupId, GroupState, InstanceReport, InstanceState,
            MemberEntry,
        },
    },
    std::time::Duration,
};

/// Step time, as a multiple of the group's median, above which a member is slow.
const STRAGGLER_FACTOR: f64 = 2.0;

impl GroupManager {
    /// Requests a report from every instance whose poll is due.
    pub(super) fn poll(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        for instance in self.instances.values_mut() {
            if now < instance.next_poll {
                continue;
            }
            let changing = instance
                .assigned
                .and_then(|assignment| self.groups.get(assignment.group))
                .is_some_and(|group| group.state != GroupState::Serving || group.next.is_some());
            let pause = if changing {
                self.timing.fast_poll_interval
            } else {
                self.timing.poll_interval
            };
            instance.next_poll = now + pause;
            out.push(GroupAction::Poll {
                instance: instance.name.clone(),
                address: instance.address,
            });
        }
    }

    /// Records a report and checks the group of the instance at once, so that a group with a
    /// missing member is withdrawn without waiting for the next tick.
    pub(super) fn receive_report(
        &mut self,
        now: Duration,
        polled_at: Duration,
        report: InstanceReport,
        out: &mut Vec<GroupAction>,
    ) {
        let term = self.term;
        let Some(key) = self.instance_keys.get(&report.instance).copied() else {
            return;
        };
        let mut changed = false;
        let instance = &mut self.instances[key];
        if instance.report.is_some() && polled_at <= instance.polled_at {
            return;
        }
        if let Some(previous) = instance.report.take() {
            self.loaded_bytes += previous.bytes_left.saturating_sub(report.bytes_left);
            if previous.incarnation != report.incarnation && !instance.failed {
                instance.count_failure(now, &self.timing);
                instance.ordered_at = None;
            }
            let differs = previous.state != report.state
                || previous.membership != report.membership
                || previous.leaving != report.leaving;
            if differs {
                changed = true;
            }
        }
        // A restarted backend server has lost the highest fencing number that it accepted.
        instance.fenced = term > 0 && report.fencing.term == term;
        instance.polled_at = polled_at;
        instance.report = Some(report);
        if changed {
            self.plan_soon(now);
        }
        if let Some(assignment) = self.instances[key].assigned {
            self.check_group(now, assignment.group, out);
        }
    }

    /// Records which instances became unresponsive or responsive again, the rate of the weight
    /// store and the stragglers.
    pub(super) fn check_members(&mut self, now: Duration) {
        let mut changed = false;
        for instance in self.instances.values_mut() {
            if instance.report.is_none() {
                continue;
            }
            let fresh = instance.is_fresh(now, self.resumed_at, &self.timing);
            if fresh != instance.failed {
                continue;
            }
            instance.failed = !fresh;
            if !fresh {
                instance.count_failure(now, &self.timing);
            }
            changed = true;
        }
        if changed {
            self.plan_soon(now);
        }
        self.measure_store(now);
        self.find_stragglers(now);
    }

    fn find_stragglers(&mut self, now: Duration) {
        for group in self.groups.values() {
            let steps = group.members.iter().filter_map(|slot| {
                let report = self.instances.get(slot.instance)?.report.as_ref()?;
                (report.load.step_ms > 0.0).then_some(report.load.step_ms)
            });
            let mut steps: Vec<f64> = steps.collect();
            steps.sort_by(f64::total_cmp);
            let Some(median) = steps.get(steps.len().saturating_sub(1) / 2).copied() else {
                continue;
            };
            for slot in &group.members {
                let Some(instance) = self.instances.get_mut(slot.instance) else {
                    continue;
                };
                let step = instance
                    .report
                    .as_ref()
                    .map_or(0.0, |report| report.load.step_ms);
                let slow = step > median * STRAGGLER_FACTOR;
                instance.slow_since = slow.then(|| instance.slow_since.unwrap_or(now));
            }
        }
    }

    /// Runs [`Self::check_group`] for every group.
    pub(super) fn check_groups(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        let keys: Vec<GroupKey> = self.groups.keys().collect();
        for key in keys {
            self.check_group(now, key, out);
        }
    }

    /// Sets the state of a group from its members' reports and publishes its entry if it changed.
    pub(super) fn check_group(&mut self, now: Duration, key: GroupKey, out: &mut Vec<GroupAction>) {
        let Some(group) = self.groups.get(key) else {
            return;
        };
        let complete = group
            .members
            .iter()
            .enumerate()
            .all(|(rank, slot)| self.is_in_place(now, group, rank, *slot));
        let leaving = group.members.iter().any(|slot| {
            let instance = self.instances.get(slot.instance);
            instance.is_some_and(InstanceRecord::is_stopping)
        });
        let state = match (complete, group.state) {
            (true, _) => GroupState::Serving,
            (false, GroupState::Serving) => GroupState::Suspended,
            (false, state) => state,
        };
        if self.groups[key].state != state {
            self.plan_soon(now);
        }
        let group = &mut self.groups[key];
        group.state = state;
        if complete {
            group.withdrew = false;
            group.broken_since = None;
            group.load_started = false;
        } else if group.broken_since.is_none() {
            group.broken_since = Some(now);
        }
        if leaving && complete && group.draining_since.is_none() {
            group.draining_since = Some(now);
        }
        self.publish(now, key, out);
    }

    fn is_in_place(
        &self,
        now: Duration,
        group: &GroupRecord,
        rank: usize,
        slot: MemberSlot,
    ) -> bool {
        let Some(instance) = self.instances.get(slot.instance) else {
            return false;
        };
        let Some(report) = &instance.report else {
            return false;
        };
        let fresh = instance.is_fresh(now, self.resumed_at, &self.timing);
        let same_start = report.incarnation == slot.incarnation;
        fresh
            && (same_start || !self.options.incarnation_check)
            && report.state == InstanceState::Ready
            && report.membership.as_ref().is_some_and(|membership| {
                membership.group == group.id
                    && membership.epoch == group.epoch
                    && usize::try_from(membership.rank).ok() == Some(rank)
            })
    }

    /// Publishes the entry of a group if it differs from the last one. A controller that does not
    /// manage the groups publishes only withdrawals.
    pub(super) fn publish(&mut self, now: Duration, key: GroupKey, out: &mut Vec<GroupAction>) {
        let mut entry = self.entry(key);
        let group = &self.groups[key];
        let previous = group.published.as_ref();
        if previous.is_some_and(|previous| same_content(previous, &entry)) {
            return;
        }
        // A new holder publishes only after it has fenced the instances and adopted the groups.
        let may_manage = self.may_manage(now);
        let holder_silent = self
            .holder_heard_at
            .is_none_or(|heard| now >= heard + self.timing.holder_timeout);
        // The holder's entry takes precedence over a withdrawal, unless its heartbeats have
        // stopped.
        let repolled = now >= group.learned_at + self.timing.poll_interval * 2;
        let may_withdraw = repolled && (holder_silent || !group.withdrew);
        let withdrawn = may_withdraw
            && previous.is_some_and(|previous| previous.state == GroupState::Serving)
            && entry.state != GroupState::Serving;
        entry.version = if may_manage {
            self.sequence = self.sequence.max(group.version.sequence & !1);
            self.next_fencing()
        } else if withdrawn {
            FencingNumber {
                term: group.version.term,
                sequence: group.version.sequence + 1,
            }
        } else {
            return;
        };
        let group = &mut self.groups[key];
        group.version = entry.version;
        group.withdrew = !may_manage;
        group.published = Some(entry.clone());
        out.push(GroupAction::Publish(vec![entry]));
    }

    /// Publishes the entry of a dissolved group, so that the peers drop the group.
    pub(super) fn publish_dissolved(&mut self, mut entry: GroupEntry, out: &mut Vec<GroupAction>) {
        entry.state = GroupState::Dissolved;
        entry.version = self.next_fencing();
        out.push(GroupAction::Publish(vec![entry]));
    }

    /// Entry of a group; the caller sets the version.
    pub(super) fn entry(&self, key: GroupKey) -> GroupEntry {
        let group = &self.groups[key];
        let members = group.members.iter().filter_map(|slot| {
            let instance = self.instances.get(slot.instance)?;
            Some(MemberEntry {
                instance: instance.name.clone(),
                incarnation: slot.incarnation,
                address: instance.address,
            })
        });
        GroupEntry {
            id: group.id.clone(),
            failure_domain: self.failure_domain.clone(),
            version: FencingNumber::default(),
            service: group.service.clone(),
            epoch: group.epoch,
            state: group.state,
            members: members.collect(),
            slow: group.slow,
            draining: group.draining_since.is_some(),
        }
    }

    /// Handles entries of this failure domain that are newer than the ones this process knows.
    pub(super) fn receive_entries(
        &mut self,
        now: Duration,
        entries: &[GroupEntry],
        out: &mut Vec<GroupAction>,
    ) {
        for entry in entries {
            let found = self.groups.iter().find(|(_, group)| group.id == entry.id);
            let Some((key, version)) = found.map(|(key, group)| (key, group.version)) else {
                self.record_entry(now, entry, false);
                continue;
            };
            if entry.version <= version {
                continue;
            }
            // A holder keeps its own records, even after its lease has expired.
            if self.is_holder() {
                // Another controller withdrew the group; the holder publishes its own state again.
                self.groups[key].version = entry.version;
                self.groups[key].published = Some(entry.clone());
                self.publish(now, key, out);
            } else {
                let withdrew = self.groups.remove(key).is_some_and(|group| group.withdrew);
                self.record_entry(now, entry, withdrew);
            }
        }
    }
}

/// True when two entries of a group are equal apart from their versions.
fn same_content(left: &GroupEntry, right: &GroupEntry) -> bool {
    left.state == right.state
        && left.epoch == right.epoch
        && left.draining == right.draining
        && left.slow == right.slow
        && left.members == right.members
}

/// Identifier of a new group; `number` counts the groups formed under `term`.
pub(super) fn group_id(failure_domain: &str, term: u64, number: u64) -> GroupId {
    GroupId(format!("{failure_domain}-{term}-{number}"))
}
