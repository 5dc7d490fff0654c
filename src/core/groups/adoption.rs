use {
    super::{
        GroupAction, GroupRow, MemberRow,
        group_manager::GroupManager,
        group_record::{GroupRecord, MemberSlot},
        group_rows::KnownRow,
        instance_record::Assignment,
    },
    crate::{
        conf::ModelService,
        core::lease::LeaseRights,
        wire::{FencingNumber, GroupEntry, GroupId, GroupState, OrderBody, TableRow},
    },
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Time between scans while another failure domain's groups have some of the instances, and after
/// a failed scan.
const RESCAN_INTERVAL: Duration = Duration::from_secs(2);

value_type! {
    /// Progress of a new lease holder.
    #[derive(Copy, Eq)]
    pub(super) enum TakeoverPhase {
        /// This process does not hold the lease.
        Idle,
        /// The instances are being fenced.
        Fencing,
        /// The membership rows are being read.
        Scanning,
        /// The groups are adopted; orders may be sent.
        Done,
    }
}

/// Instance names by the ranks that they report for one epoch of a group.
type ReportedRanks = BTreeMap<u32, String>;

impl GroupManager {
    /// Starts the takeover under a new term.
    pub(super) fn start_term(&mut self, now: Duration, term: u64) {
        self.end_term();
        self.term = term;
        self.sequence = 0;
        self.group_number = 0;
        self.lease_taken_at = now;
        self.phase = TakeoverPhase::Fencing;
    }

    /// Forgets the assignments and moves that only the lease holder decides; the groups stay, so
    /// that this process can withdraw them.
    pub(super) fn end_term(&mut self) {
        self.phase = TakeoverPhase::Idle;
        self.pending_rows.clear();
        self.old_rows.clear();
        self.dissolved_entries.clear();
        for instance in self.instances.values_mut() {
            instance.fenced = false;
            instance.assigned = None;
            instance.ordered_at = None;
        }
        for group in self.groups.values_mut() {
            group.next = None;
            group.retiring = false;
        }
    }

    /// True from taking the lease until it is known to be lost, also after it has expired.
    pub(super) fn is_holder(&self) -> bool {
        self.phase != TakeoverPhase::Idle
    }

    /// Fences the responsive instances, then requests a scan of the rows.
    pub(super) fn take_over(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        if self.phase == TakeoverPhase::Done {
            self.rescan_foreign(now, out);
            return;
        }
        if self.phase != TakeoverPhase::Fencing || self.rights(now) == LeaseRights::None {
            return;
        }
        let mut waiting = false;
        let keys: Vec<_> = self.instances.keys().collect();
        for key in keys {
            let instance = &self.instances[key];
            let fresh = instance.is_fresh(now, self.resumed_at, &self.timing);
            if !self.options.fencing_sweep || !instance.checks_fencing || instance.fenced || !fresh
            {
                continue;
            }
            waiting = true;
            let recent = instance
                .ordered_at
                .is_some_and(|at| now < at + self.timing.order_retry_interval);
            if !recent {
                self.send_order(now, key, OrderBody::Fence, out);
            }
        }
        let never_polled = self
            .instances
            .values()
            .all(|instance| instance.report.is_none());
        if (waiting || never_polled) && now < self.lease_taken_at + self.timing.fencing_timeout {
            return;
        }
        if self.text.is_some() {
            self.phase = TakeoverPhase::Scanning;
            out.push(GroupAction::ScanRows);
        }
    }

    fn rescan_foreign(&mut self, now: Duration, out: &mut Vec<GroupAction>) {
        let foreign = self.instances.values().any(|instance| instance.foreign);
        if foreign && now >= self.rescan_at {
            self.rescan_at = now + RESCAN_INTERVAL;
            out.push(GroupAction::ScanRows);
        }
    }

    /// Makes the next scan for instances of other failure domains due now.
    pub(super) fn rescan(&mut self, now: Duration) {
        self.rescan_at = now;
    }

    /// Handles a failed scan: a takeover scans again at the next tick.
    pub(super) fn scan_failed(&mut self, now: Duration) {
        if self.phase == TakeoverPhase::Scanning {
            self.phase = TakeoverPhase::Fencing;
        }
        self.rescan_at = now + RESCAN_INTERVAL;
    }

    /// Updates the member rows from a scan. A new holder also adopts the groups that the rows and
    /// the members' reports show.
    pub(super) fn adopt(
        &mut self,
        now: Duration,
        members: Vec<TableRow>,
        groups: Vec<TableRow>,
        out: &mut Vec<GroupAction>,
    ) {
        if self.pending_rows.is_empty() {
            self.read_member_rows(members);
        }
        if self.phase != TakeoverPhase::Scanning {
            return;
        }
        let published: BTreeMap<GroupId, GroupEntry> = self
            .groups
            .values()
            .filter_map(|group| Some((group.id.clone(), group.published.clone()?)))
            .collect();
        self.groups.clear();
        let reported = self.reported_groups(now);
        let prefix = format!("group/{}/", self.failure_domain);
        let mut row_ids = Vec::new();
        for row in groups {
            let Some(id) = row.key.strip_prefix(&prefix) else {
                continue;
            };
            let id = GroupId(id.to_owned());
            row_ids.push(id.clone());
            self.adopt_row(id, KnownRow::decode(row), &reported);
        }
        for (id, epochs) in &reported {
            // The group was formed during a platform outage, so it has no row.
            if !row_ids.contains(id) && self.is_own(id) {
                self.adopt_reported(id, epochs, KnownRow::default());
            }
        }
        for (id, entry) in published {
            if !self.groups.values().any(|group| group.id == id) {
                self.dissolved_entries.push(entry);
            }
        }
        self.phase = TakeoverPhase::Done;
        self.plan_soon(now);
        self.check_groups(now, out);
    }

    fn read_member_rows(&mut self, rows: Vec<TableRow>) {
        let mut by_name: BTreeMap<String, KnownRow<MemberRow>> = BTreeMap::new();
        for row in rows {
            if let Some(name) = row.key.strip_prefix("member/") {
                by_name.insert(name.to_owned(), KnownRow::decode(row));
            }
        }
        let domain = self.failure_domain.clone();
        for instance in self.instances.values_mut() {
            let row = by_name.remove(&instance.name).unwrap_or_default();
            let owner = row
                .value
                .as_ref()
                .and_then(|row| row.group.0.rsplitn(3, '-').nth(2));
            instance.foreign = owner.is_some_and(|owner| owner != domain);
            instance.row = row;
        }
    }

    /// Groups, their epochs and ranks as responsive members report them.
    fn reported_groups(&self, now: Duration) -> BTreeMap<GroupId, BTreeMap<u64, ReportedRanks>> {
        let mut groups: BTreeMap<GroupId, BTreeMap<u64, ReportedRanks>> = BTreeMap::new();
        for instance in self.instances.values() {
            if !instance.is_fresh(now, self.resumed_at, &self.timing) {
                continue;
            }
            if let Some(membership) = instance.membership() {
                let epochs = groups.entry(membership.group.clone()).or_default();
                let ranks = epochs.entry(membership.epoch).or_default();
                ranks.insert(membership.rank, instance.name.clone());
            }
        }
        groups
    }

    fn adopt_row(
        &mut self,
        id: GroupId,
        row: KnownRow<GroupRow>,
        reported: &BTreeMap<GroupId, BTreeMap<u64, ReportedRanks>>,
    ) {
        let epochs = reported.get(&id);
        if let Some(epochs) = epochs
            && self.adopt_reported(&id, epochs, row.clone())
        {
            return;
        }
        let value = row.value.clone().filter(|_| epochs.is_some());
        let service = value
            .as_ref()
            .and_then(|value| self.service(&value.service));
        let (Some(value), Some(service)) = (value, service) else {
            self.old_rows.insert(id, row);
            return;
        };
        let pairs = value.members.iter().zip(&value.incarnations);
        let slots: SmallVec<[MemberSlot; 4]> = pairs
            .filter_map(|(name, incarnation)| {
                Some(MemberSlot {
                    instance: *self.instance_keys.get(name)?,
                    incarnation: *incarnation,
                })
            })
            .collect();
        if !self.insert_group(&id, &service, value.epoch, slots, row.clone()) {
            self.old_rows.insert(id, row);
        }
    }

    /// Adopts the newest epoch of a group in which every rank is reported; false when there is none
    /// or a member is not available.
    fn adopt_reported(
        &mut self,
        id: &GroupId,
        epochs: &BTreeMap<u64, ReportedRanks>,
        row: KnownRow<GroupRow>,
    ) -> bool {
        for (epoch, ranks) in epochs.iter().rev() {
            let Some(service) = self.service_of(ranks) else {
                continue;
            };
            if ranks.len() != service.span as usize {
                continue;
            }
            let slots = ranks.values().map(|name| {
                let instance = self.instance_keys[name];
                let current = self.instances[instance].incarnation();
                let row_incarnation = row.value.as_ref().and_then(|value| {
                    let rank = value.members.iter().position(|member| member == name)?;
                    (value.epoch == *epoch).then(|| value.incarnations.get(rank).copied())?
                });
                MemberSlot {
                    instance,
                    incarnation: row_incarnation.unwrap_or(current),
                }
            });
            let slots = slots.collect();
            return self.insert_group(id, &service, *epoch, slots, row);
        }
        false
    }

    fn insert_group(
        &mut self,
        id: &GroupId,
        service: &ModelService,
        epoch: u64,
        members: SmallVec<[MemberSlot; 4]>,
        row: KnownRow<GroupRow>,
    ) -> bool {
        let unavailable = |slot: &MemberSlot| {
            let instance = &self.instances[slot.instance];
            instance.assigned.is_some() || instance.foreign
        };
        if members.len() != service.span as usize || members.iter().any(unavailable) {
            return false;
        }
        let fabric = |slot: &MemberSlot| self.instances[slot.instance].fabric;
        let slow = members
            .iter()
            .any(|slot| fabric(slot) != fabric(&members[0]));
        let instances: Vec<_> = members.iter().map(|slot| slot.instance).collect();
        let group = self.groups.insert(GroupRecord {
            id: id.clone(),
            service: service.name.clone(),
            model: service.model.clone(),
            shard_bytes: service
                .weight_bytes
                .div_ceil(u64::from(service.span.max(1))),
            epoch,
            members,
            next: None,
            state: GroupState::Suspended,
            draining_since: None,
            retiring: false,
            slow,
            broken_since: None,
            row,
            published: None,
            version: FencingNumber::default(),
            learned_at: Duration::ZERO,
            withdrew: false,
            load_started: false,
        });
        for (rank, key) in (0..).zip(instances) {
            self.instances[key].assigned = Some(Assignment { group, epoch, rank });
        }
        true
    }

    fn service(&self, name: &str) -> Option<ModelService> {
        let mut services = self.text.as_ref()?.model_services.iter();
        services.find(|service| service.name == name).cloned()
    }

    fn service_of(&self, ranks: &ReportedRanks) -> Option<ModelService> {
        let name = ranks.values().next()?;
        let report = self.instances[*self.instance_keys.get(name)?]
            .report
            .as_ref()?;
        let shard = report.shard.as_ref()?;
        let mut services = self.text.as_ref()?.model_services.iter();
        services
            .find(|service| service.model == shard.model && service.span == shard.span)
            .cloned()
    }

    /// Records a group that another controller of this failure domain published, so that this
    /// process can withdraw it.
    pub(super) fn record_entry(&mut self, now: Duration, entry: &GroupEntry, withdrew: bool) {
        if self.is_holder() || entry.state == GroupState::Dissolved {
            return;
        }
        let slots = entry.members.iter().filter_map(|member| {
            Some(MemberSlot {
                instance: *self.instance_keys.get(&member.instance)?,
                incarnation: member.incarnation,
            })
        });
        let members = slots.collect();
        self.groups.insert(GroupRecord {
            id: entry.id.clone(),
            service: entry.service.clone(),
            model: String::new(),
            shard_bytes: 0,
            epoch: entry.epoch,
            members,
            next: None,
            state: entry.state,
            draining_since: entry.draining.then_some(now),
            retiring: false,
            slow: entry.slow,
            broken_since: None,
            row: KnownRow::default(),
            published: Some(entry.clone()),
            version: entry.version,
            learned_at: now,
            withdrew,
            load_started: false,
        });
    }
}
