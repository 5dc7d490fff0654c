use {
    super::{
        GroupAction,
        group_manager::GroupManager,
        instance_record::{Assignment, InstanceRecord},
    },
    crate::{
        core::{
            keys::{GroupKey, InstanceKey},
            lease::LeaseRights,
        },
        wire::{GroupId, GroupMembership, GroupState, MemberOrder, OrderBody, ShardJoin},
    },
    std::time::Duration,
};

impl GroupManager {
    /// Orders every instance whose reported membership differs from its assignment to join or
    /// leave.
    ///
    /// Orders depend on the difference alone, so a lost order is repeated and the effect of a late
    /// one is corrected.
    pub(super) fn send_orders(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        let loadable = self.loadable_groups(now);
        let settled = self.settled_groups(now);
        let keys: Vec<InstanceKey> = self.instances.keys().collect();
        for key in keys {
            let instance = &self.instances[key];
            let recent = instance
                .ordered_at
                .is_some_and(|at| now < at + self.timing.order_retry_interval);
            if recent || !self.may_order(now, instance) {
                continue;
            }
            let body = match instance.assigned {
                Some(assignment) if settled.contains(&assignment.group) => {
                    self.join_order(&loadable, key, assignment)
                }
                Some(_) => None,
                None => self.leave_order(now, instance),
            };
            // A join or leave order of this term fences the instance as well.
            let fence = self
                .needs_fence(&self.instances[key])
                .then_some(OrderBody::Fence);
            if let Some(body) = body.or(fence) {
                self.send_order(now, key, body, out);
            }
        }
    }

    /// True when this process has the right to order the instance now.
    fn may_order(&self, now: Duration, instance: &InstanceRecord) -> bool {
        if !instance.is_fresh(now, self.resumed_at, &self.timing) || instance.foreign {
            return false;
        }
        if instance.checks_fencing {
            return self.rights(now) != LeaseRights::None;
        }
        // A server that ignores fencing numbers would obey an older order that arrives last.
        if instance.order_open_until.is_some_and(|until| now < until) {
            return false;
        }
        let settled_at = self.lease_taken_at + self.timing.order_deadline + self.timing.settling;
        let settled = now >= settled_at || !self.options.settling_time;
        settled && matches!(self.rights(now), LeaseRights::Full { .. })
    }

    /// True when the instance may still accept an order of a former holder and can be fenced.
    fn needs_fence(&self, instance: &InstanceRecord) -> bool {
        self.options.fencing_sweep && instance.checks_fencing && !instance.fenced
    }

    /// Groups whose members may be ordered to join: those with all rows committed as planned. After
    /// the lease has expired in a platform outage, those whose servers all check fencing numbers.
    fn settled_groups(&self, now: Duration) -> Vec<GroupKey> {
        let outage = matches!(self.rights(now), LeaseRights::Fenced { .. });
        let mut settled = Vec::new();
        for (key, group) in &self.groups {
            let here = |instance: &&InstanceRecord| {
                instance
                    .assigned
                    .is_some_and(|assignment| assignment.group == key)
            };
            let mut members = self.instances.values().filter(here);
            let done = if outage {
                members.all(|instance| instance.checks_fencing)
            } else {
                group.row.value.as_ref() == Some(&self.group_row(group))
                    && members.all(|instance| instance.row.value == self.member_row(instance))
            };
            if done {
                settled.push(key);
            }
        }
        settled
    }

    fn join_order(
        &mut self,
        loadable: &[GroupKey],
        key: InstanceKey,
        assignment: Assignment,
    ) -> Option<OrderBody> {
        let instance = &self.instances[key];
        let group = &self.groups[assignment.group];
        let wanted = GroupMembership {
            group: group.id.clone(),
            epoch: assignment.epoch,
            rank: assignment.rank,
        };
        let slots = if assignment.epoch == group.epoch {
            &group.members
        } else {
            group.next.as_ref()?
        };
        let slot = slots.get(assignment.rank as usize).copied()?;
        let unchanged = slot.instance == key && slot.incarnation == instance.incarnation();
        if instance.membership() == Some(&wanted) || !unchanged {
            return None;
        }
        if !loadable.contains(&assignment.group) {
            return None;
        }
        let addresses = slots
            .iter()
            .map(|slot| self.instances[slot.instance].address);
        let join = ShardJoin {
            membership: wanted,
            model: group.model.clone(),
            span: group.span(),
            shard_bytes: group.shard_bytes,
            members: addresses.collect(),
        };
        let group = &mut self.groups[assignment.group];
        group.load_started = true;
        if group.state == GroupState::Planned {
            group.state = GroupState::Loading;
        }
        Some(OrderBody::Join(join))
    }

    fn leave_order(&self, now: Duration, instance: &InstanceRecord) -> Option<OrderBody> {
        let membership = instance.membership()?;
        let outage = matches!(self.rights(now), LeaseRights::Fenced { .. });
        let released = instance.row.value.is_none() || outage;
        (released && self.is_own(&membership.group))
            .then(|| OrderBody::Leave(membership.group.clone()))
    }

    /// True when the identifier names a group of this failure domain.
    pub(super) fn is_own(&self, id: &GroupId) -> bool {
        id.0.rsplitn(3, '-').nth(2) == Some(self.failure_domain.as_str())
    }

    /// Sends an order with the next fencing number and a deadline.
    pub(super) fn send_order(
        &mut self,
        now: Duration,
        key: InstanceKey,
        order: OrderBody,
        out: &mut Vec<GroupAction>,
    ) {
        let fencing = self.next_fencing();
        let deadline = if self.options.order_deadline {
            self.timing.order_deadline
        } else {
            Duration::from_hours(24)
        };
        let instance = &mut self.instances[key];
        instance.ordered_at = Some(now);
        instance.order_open_until = Some(now + deadline + self.timing.settling);
        out.push(GroupAction::Order {
            instance: instance.name.clone(),
            address: instance.address,
            order: MemberOrder {
                fencing,
                time_left_ms: u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX),
                order,
            },
            expires: now + deadline,
        });
    }
}
