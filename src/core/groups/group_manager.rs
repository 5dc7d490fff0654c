use {
    super::{
        GroupAction, GroupEvent, GroupOptions, GroupPolicy, GroupTiming, OrderAnswer,
        adoption::TakeoverPhase,
        group_record::GroupRecord,
        group_rows::{GroupRow, KnownRow, PendingRow},
        instance_record::InstanceRecord,
    },
    crate::{
        conf::OperatorText,
        core::{
            keys::{GroupKey, InstanceKey},
            lease::{
                ChangeOutcome, LeaseAction, LeaseEvent, LeaseManager, LeaseRights, LeaseTiming,
            },
        },
        wire::{
            ControllerHeartbeat, FencingNumber, GroupEntry, GroupId, OrderRefusal, RowCondition,
        },
    },
    slotmap::SlotMap,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Longest gap between ticks; after a longer one the process counts as having been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// Forms, watches, withdraws and repairs the replica groups of one failure domain.
#[derive(Debug)]
pub struct GroupManager {
    pub(super) failure_domain: String,
    pub(super) timing: GroupTiming,
    pub(super) options: GroupOptions,
    pub(super) policy: GroupPolicy,
    pub(super) lease: LeaseManager,
    pub(super) text: Option<Arc<OperatorText>>,
    pub(super) instances: SlotMap<InstanceKey, InstanceRecord>,
    /// Keys of `instances` by instance name.
    pub(super) instance_keys: BTreeMap<String, InstanceKey>,
    pub(super) groups: SlotMap<GroupKey, GroupRecord>,
    /// Group rows to be deleted, as their groups no longer exist.
    pub(super) old_rows: BTreeMap<GroupId, KnownRow<GroupRow>>,
    pub(super) phase: TakeoverPhase,
    /// Lease term of the last takeover; 0 before the first.
    pub(super) term: u64,
    pub(super) lease_taken_at: Duration,
    /// Sequence of the last fencing number of the term.
    pub(super) sequence: u64,
    /// Number of the last group formed under the term.
    pub(super) group_number: u64,
    /// Ticket of the last table change.
    pub(super) ticket: u64,
    /// Rows of the change that is being committed.
    pub(super) pending_rows: Vec<PendingRow>,
    /// When this process last resumed after a pause, during which no report arrived.
    pub(super) resumed_at: Duration,
    pub(super) last_tick: Duration,
    pub(super) next_plan_at: Duration,
    /// When a serving group was last retired.
    pub(super) retired_at: Duration,
    pub(super) last_plan_at: Duration,
    /// True when a committed change allows orders that must not wait for the next tick.
    pub(super) manage_now: bool,
    pub(super) next_heartbeat: Duration,
    /// Estimated rate of the weight store: bytes per second that all loading members receive.
    pub(super) store_bytes_per_s: f64,
    /// Bytes that members have loaded since `rate_window_start`.
    pub(super) loaded_bytes: u64,
    pub(super) rate_window_start: Duration,
    /// Entries of dissolved groups, to be published as dissolved.
    pub(super) dissolved_entries: Vec<GroupEntry>,
    pub(super) rescan_at: Duration,
    /// When the last heartbeat of a lease holder arrived; `None` before the first.
    pub(super) holder_heard_at: Option<Duration>,
}

impl GroupManager {
    /// Creates a manager without operator text; `holder` names this boot of this process in the
    /// lease row.
    #[must_use]
    pub fn new(failure_domain: &str, holder: &str, options: GroupOptions) -> Self {
        let mut lease = LeaseManager::new(failure_domain, holder, LeaseTiming::default());
        if !options.monotonic_lease {
            lease.ignore_expiry();
        }
        Self {
            failure_domain: failure_domain.to_owned(),
            timing: GroupTiming::default(),
            options,
            policy: GroupPolicy::default(),
            lease,
            text: None,
            instances: SlotMap::with_key(),
            instance_keys: BTreeMap::new(),
            groups: SlotMap::with_key(),
            old_rows: BTreeMap::new(),
            phase: TakeoverPhase::Idle,
            term: 0,
            lease_taken_at: Duration::ZERO,
            sequence: 0,
            group_number: 0,
            ticket: 0,
            pending_rows: Vec::new(),
            resumed_at: Duration::ZERO,
            last_tick: Duration::ZERO,
            next_plan_at: Duration::ZERO,
            retired_at: Duration::ZERO,
            last_plan_at: Duration::ZERO,
            manage_now: false,
            next_heartbeat: Duration::ZERO,
            store_bytes_per_s: super::load_queue::INITIAL_STORE_BYTES_PER_S,
            loaded_bytes: 0,
            rate_window_start: Duration::ZERO,
            dissolved_entries: Vec::new(),
            rescan_at: Duration::ZERO,
            holder_heard_at: None,
        }
    }

    /// Replaces the policy; used only to run the naive policy, which measurements compare with.
    #[must_use]
    pub fn with_policy(mut self, policy: GroupPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Handles an event at the monotonic time `now`; the actions are appended to `out`.
    pub fn step(&mut self, now: Duration, event: GroupEvent, out: &mut Vec<GroupAction>) {
        match event {
            GroupEvent::Tick => self.tick(now, out),
            GroupEvent::Configured(text) => self.configure(now, text),
            GroupEvent::Leaving(names) => self.list_leaving(&names),
            GroupEvent::Reported { polled_at, report } => {
                self.receive_report(now, polled_at, report, out);
            }
            GroupEvent::OrderAnswered {
                instance, answer, ..
            } => self.order_answered(now, &instance, answer, out),
            GroupEvent::Lease(event) => self.lease_event(now, event, out),
            GroupEvent::Rows { members, groups } => self.adopt(now, members, groups, out),
            GroupEvent::ScanFailed => self.scan_failed(now),
            GroupEvent::HolderHeartbeat => self.holder_heard_at = Some(now),
            GroupEvent::Seen(entries) => self.receive_entries(now, &entries, out),
        }
        // Acts on a change at once rather than at the next tick.
        let due = now >= self.next_plan_at || std::mem::take(&mut self.manage_now);
        if due && self.may_manage(now) {
            self.manage(now, out);
        }
    }

    /// What this process may order at `now`; none during a platform outage if the policy forbids
    /// repairs then.
    #[must_use]
    pub fn rights(&self, now: Duration) -> LeaseRights {
        match self.lease.rights(now) {
            LeaseRights::Fenced { .. } if !self.policy.repairs_in_outage => LeaseRights::None,
            rights => rights,
        }
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        if now > self.last_tick + PAUSE_THRESHOLD {
            // Reports could not arrive while this process was paused.
            self.resumed_at = now;
        }
        self.last_tick = now;
        self.poll(now, out);
        self.lease_event(now, LeaseEvent::Tick, out);
        self.check_members(now);
        self.check_groups(now, out);
        self.take_over(now, out);
        if self.may_manage(now) && now < self.next_plan_at {
            self.manage(now, out);
        }
    }

    /// True when this process has adopted the groups and has the right to change them.
    pub(super) fn may_manage(&self, now: Duration) -> bool {
        self.phase == TakeoverPhase::Done && self.rights(now) != LeaseRights::None
    }

    fn manage(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        self.finish_moves(now);
        if now >= self.next_plan_at {
            self.next_plan_at = now + self.timing.plan_interval;
            self.last_plan_at = now;
            self.make_plan(now);
        }
        if !self.lease.is_committing()
            && let Some(change) = self.table_change()
        {
            self.lease_event(now, LeaseEvent::Offered(change), out);
        }
        self.send_orders(now, out);
        self.check_groups(now, out);
        for entry in std::mem::take(&mut self.dissolved_entries) {
            self.publish_dissolved(entry, out);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + self.timing.heartbeat_interval;
            let version = self.next_fencing();
            out.push(GroupAction::Heartbeat(ControllerHeartbeat {
                failure_domain: self.failure_domain.clone(),
                version,
            }));
        }
    }

    fn lease_event(&mut self, now: Duration, event: LeaseEvent, out: &mut Vec<GroupAction>) {
        let mut actions = Vec::new();
        self.lease.step(now, event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Read => out.push(GroupAction::ReadLease),
                LeaseAction::Commit(request) => out.push(GroupAction::Commit(request)),
                LeaseAction::Taken(term) => self.start_term(now, term),
                LeaseAction::Lost => self.end_term(),
                LeaseAction::Settled { outcome, .. } => self.change_settled(now, outcome),
            }
        }
    }

    fn change_settled(&mut self, now: Duration, outcome: ChangeOutcome) {
        match outcome {
            ChangeOutcome::Committed(version) => {
                self.rows_written(version);
                // Orders that waited for the rows are sent at once.
                self.manage_now = true;
            }
            ChangeOutcome::Rejected(conflicts) => self.rejected(now, &conflicts),
            ChangeOutcome::Abandoned => self.pending_rows.clear(),
        }
    }

    /// Handles a conflict on membership rows: another failure domain has written them, so their
    /// instances are left out until a scan shows otherwise.
    fn rejected(&mut self, now: Duration, conflicts: &[RowCondition]) {
        self.pending_rows.clear();
        for conflict in conflicts {
            let Some(name) = conflict.key.strip_prefix("member/") else {
                continue;
            };
            if let Some(instance) = self.instance_mut(name) {
                instance.foreign = true;
                instance.row.version = conflict.version;
            }
        }
        self.dissolve_foreign();
        self.rescan(now);
    }

    fn order_answered(
        &mut self,
        now: Duration,
        name: &str,
        answer: OrderAnswer,
        out: &mut Vec<GroupAction>,
    ) {
        if answer != OrderAnswer::Unknown
            && let Some(instance) = self.instance_mut(name)
        {
            instance.order_open_until = None;
        }
        match answer {
            OrderAnswer::Accepted(report) => {
                let sent = self
                    .instance_mut(name)
                    .and_then(|instance| instance.ordered_at.take());
                if let Some(sent) = sent {
                    self.receive_report(now, sent, report, out);
                }
            }
            OrderAnswer::Refused(OrderRefusal::StaleFencing) => self.outranked(now, name, out),
            OrderAnswer::Refused(OrderRefusal::DeadlinePassed) | OrderAnswer::Unknown => {}
        }
    }

    /// Handles an order refused as stale. It shows a new holder only when the refusing instance
    /// reports a higher term; otherwise a later order of this process overtook the refused one.
    fn outranked(&mut self, now: Duration, name: &str, out: &mut Vec<GroupAction>) {
        let accepted = self
            .instance_keys
            .get(name)
            .and_then(|key| self.instances[*key].report.as_ref())
            .map_or(0, |report| report.fencing.term);
        if accepted > self.term {
            self.lease_event(now, LeaseEvent::Outranked, out);
        }
    }

    /// Schedules a plan as soon as `min_plan_interval` allows.
    pub(super) fn plan_soon(&mut self, now: Duration) {
        let earliest = now.max(self.last_plan_at + self.timing.min_plan_interval);
        self.next_plan_at = self.next_plan_at.min(earliest);
    }

    /// Next fencing number of this term. A holder uses even sequences; a withdrawal by another
    /// controller uses the odd one in between.
    pub(super) fn next_fencing(&mut self) -> FencingNumber {
        self.sequence += 2;
        FencingNumber {
            term: self.term,
            sequence: self.sequence,
        }
    }

    /// Record of the instance with this name; `None` when the operator text has never listed it
    /// here.
    pub(super) fn instance_mut(&mut self, name: &str) -> Option<&mut InstanceRecord> {
        let key = self.instance_keys.get(name)?;
        self.instances.get_mut(*key)
    }
}
