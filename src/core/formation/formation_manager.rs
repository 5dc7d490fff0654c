use {
    super::{
        FormationAction, FormationGroup, FormationServer, GroupKey, GroupPhase, LoadBudget,
        OrderBody, OrderOutcome, ProbeOutcome, ServerKey, fence_of, formation_server::PendingOrder,
        group_adoption::FormerGroup,
    },
    crate::core::{
        fleet::{FleetView, KnownEntry, MAX_EPOCH},
        lease::MAX_TERM,
        routes::{EngineProfile, ModelProfile},
    },
    slotmap::SlotMap,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Delay before the next order to a server after an order failed or was refused.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time after which an order without an outcome may be sent again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between probes of a server that is unreachable or has no fleet entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);

/// Busy share of a model without an open group: it has no free slot.
const NO_GROUP_BUSY_SHARE: f64 = 1.0;

/// Epochs reserved for one term, so that the epochs of a later term are higher.
const EPOCHS_PER_TERM: u64 = 1_000_000;

const _: () = assert!(
    MAX_TERM + 1 < MAX_EPOCH / EPOCHS_PER_TERM,
    "epochs of the highest term are not valid epochs"
);

value_type! {
    /// Servers that a formation manager is responsible for.
    pub struct FormationScope {
        /// Service that the engines run.
        pub service: String,
        /// Failure domain of the engines.
        pub failure_domain: String,
        /// Number of failure domains that share the weight store.
        pub domains: u32,
    }
}

/// Work shares in group time. The operator's shares are in server time, so each
/// is divided by the group size of its model and normalized to a sum of 1.
fn initial_work_shares(models: &[ModelProfile]) -> Vec<f64> {
    #[allow(clippy::cast_precision_loss)] // few members
    let per_group = |model: &ModelProfile| model.share / model.size.max(1) as f64;
    let sum: f64 = models.iter().map(per_group).sum();
    let total = if sum > 0.0 { sum } else { 1.0 };
    models
        .iter()
        .map(|model| per_group(model) / total)
        .collect()
}

/// Remembers the last group of a start that has ended.
fn note_former_group(
    former_groups: &mut BTreeMap<String, FormerGroup>,
    now: Duration,
    record: &FormationServer,
) {
    let Some((name, epoch)) = record.last_group.clone() else {
        return;
    };
    let former = FormerGroup {
        name,
        epoch,
        ended_at: now,
    };
    former_groups.insert(record.id.clone(), former);
}

/// Forms, opens and dissolves the replica groups of one failure domain while
/// its process holds the lease.
#[derive(Debug, Clone)]
pub struct FormationManager {
    pub(super) scope: FormationScope,
    pub(super) term: u64,
    /// Epoch of the group that was formed last.
    pub(super) last_epoch: u64,
    /// Number of the order that was sent last.
    last_order_number: u64,
    pub(super) profile: EngineProfile,
    /// Share of the total group time that each model takes, in the order of the engine profile.
    pub(super) work_shares: Vec<f64>,
    /// Share of request slots in use for each model, in the order of the engine profile.
    pub(super) busy_shares: Vec<f64>,
    pub(super) servers: SlotMap<ServerKey, FormationServer>,
    /// Record of the current start of each server; `servers` also has earlier ones.
    pub(super) by_id: BTreeMap<String, ServerKey>,
    pub(super) groups: SlotMap<GroupKey, FormationGroup>,
    /// Groups of the former starts of servers, by identifier, until the present start has answered
    /// an order to leave.
    pub(super) former_groups: BTreeMap<String, FormerGroup>,
    /// Revision of the fleet view at the last update of the server records.
    applied_revision: Option<u64>,
    /// When the next capacity report is due.
    pub(super) next_report_at: Duration,
    pub(super) load_budget: LoadBudget,
    /// Index of the model that each fabric domain serves; empty while all domains serve
    /// all models.
    pub(super) domain_models: BTreeMap<String, usize>,
    /// Time of the first tick with a known server.
    pub(super) first_server_at: Option<Duration>,
    /// True while the failure domain is drained; see [`Self::set_drained`].
    pub(super) drained: bool,
    /// True before the first request of a new deployment; see [`Self::set_preparing`].
    pub(super) preparing: bool,
    /// Cold servers with the time until which each is, by identifier.
    pub(super) cold_ends: BTreeMap<String, Duration>,
}

impl FormationManager {
    /// Creates the manager of a new lease holder; `term` is the term of the lease.
    #[must_use]
    pub fn new(scope: FormationScope, term: u64, profile: EngineProfile) -> Self {
        let largest = profile.models.iter().map(|model| model.size).max();
        #[allow(clippy::cast_precision_loss)] // few members
        let burst = largest.unwrap_or(1) as f64;
        Self {
            load_budget: LoadBudget::new(profile.loads_per_s, scope.domains, burst),
            scope,
            term,
            last_epoch: term * EPOCHS_PER_TERM,
            last_order_number: 0,
            work_shares: initial_work_shares(&profile.models),
            busy_shares: vec![0.0; profile.models.len()],
            profile,
            servers: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            groups: SlotMap::with_key(),
            former_groups: BTreeMap::new(),
            applied_revision: None,
            next_report_at: Duration::ZERO,
            domain_models: BTreeMap::new(),
            first_server_at: None,
            drained: false,
            preparing: false,
            cold_ends: BTreeMap::new(),
        }
    }

    /// Term of the lease, the higher part of the fencing numbers of all orders.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// All groups in any phase, for status and tests.
    pub fn groups(&self) -> impl Iterator<Item = &FormationGroup> {
        self.groups.values()
    }

    /// Sets whether the deployment has not served its first request yet. Loads
    /// take a tenth of their time then and have no rate limit.
    pub const fn set_preparing(&mut self, preparing: bool) {
        self.preparing = preparing;
    }

    /// Sets whether the failure domain is drained. Meanwhile no orders and probes are sent, and
    /// groups keep their phases: none fails for being drained. Afterwards the manager goes on from
    /// the entries of that time.
    pub const fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Sets the observed share of each model in the total group time; a model keeps its
    /// last share while none is observed.
    pub fn set_work_shares(&mut self, shares: impl Fn(&str) -> Option<f64>) {
        for (share, model) in self.work_shares.iter_mut().zip(&self.profile.models) {
            if let Some(observed) = shares(&model.name) {
                *share = observed;
            }
        }
    }

    /// Sets the share of request slots in use in the groups of each model; none for a model without
    /// an open group.
    pub fn set_busy_shares(&mut self, shares: impl Fn(&str) -> Option<f64>) {
        for (share, model) in self.busy_shares.iter_mut().zip(&self.profile.models) {
            *share = shares(&model.name).unwrap_or(NO_GROUP_BUSY_SHARE);
        }
    }

    /// Sets the servers that are cold, with the time until which each is. Groups that are formed or
    /// repaired get a head that is warm first.
    pub fn set_cold_ends(&mut self, cold_ends: BTreeMap<String, Duration>) {
        self.cold_ends = cold_ends;
    }

    /// Updates all groups from the fleet view and the time, and sends the orders that are due.
    pub fn tick(&mut self, now: Duration, fleet: &FleetView, out: &mut Vec<FormationAction>) {
        if self.drained {
            self.expire_orders(now);
            return;
        }
        if self.applied_revision != Some(fleet.revision()) {
            self.applied_revision = Some(fleet.revision());
            self.apply_fleet(now, fleet);
        }
        self.refresh_left_servers(fleet);
        self.finish_loads(now, out);
        self.adopt_groups(now, out);
        self.fence_new_starts(now, out);
        self.expire_orders(now);
        self.expire_staging(now, out);
        self.probe_unreachable(now, out);
        let keys: SmallVec<[GroupKey; 32]> = self.groups.keys().collect();
        for key in keys {
            self.advance_group(now, key, out);
        }
        if self.form_groups(now, out) {
            self.stage_weights(now, out);
        }
        self.report_capacity(now, out);
    }

    /// Handles the outcome of an order; ignores it when the order has timed out before.
    pub fn answered(
        &mut self,
        now: Duration,
        server: &str,
        number: u64,
        outcome: OrderOutcome,
        out: &mut Vec<FormationAction>,
    ) {
        let Some(&key) = self.by_id.get(server) else {
            return;
        };
        let record = &mut self.servers[key];
        let fits = |order: &PendingOrder| order.number == number;
        let Some(order) = record.pending_order.take_if(|order| fits(order)) else {
            return;
        };
        record.next_order_at = now;
        match outcome {
            OrderOutcome::Begun | OrderOutcome::Done => {
                record.failures.reset();
                self.handle_accepted_order(now, key, &order.body);
                return;
            }
            OrderOutcome::Unreachable => record.failures.record_unreachable(now),
            OrderOutcome::Unanswered => record.failures.record_silence(now),
            OrderOutcome::Outranked => {
                record.failures.reset();
                out.push(FormationAction::Outranked);
            }
            OrderOutcome::OtherServer => record.present = false,
            OrderOutcome::Unfit => {
                record.failures.reset();
                self.handle_refused_order(now, key, &order.body);
                if matches!(order.body, OrderBody::Leave { .. }) {
                    return;
                }
            }
            // A refusal without a reason, such as 503, says nothing about the membership.
            OrderOutcome::Deferred | OrderOutcome::Rejected => record.failures.reset(),
        }
        let record = &mut self.servers[key];
        record.next_order_at = now + ORDER_RETRY_DELAY;
        if matches!(order.body, OrderBody::Stage { .. }) {
            record.staging = None;
        }
    }

    /// Handles the result of a probe.
    pub fn reported(&mut self, now: Duration, server: &str, outcome: &ProbeOutcome) {
        let Some(&key) = self.by_id.get(server) else {
            return;
        };
        let record = &mut self.servers[key];
        record.probing = false;
        record.next_probe_at = now + PROBE_INTERVAL;
        let report = match outcome {
            ProbeOutcome::Report(report) => report,
            ProbeOutcome::Unreachable => {
                record.failures.record_unreachable(now);
                return;
            }
            ProbeOutcome::Silent => {
                record.failures.record_silence(now);
                return;
            }
        };
        record.failures.reset();
        if report.born_ms == record.born_ms {
            record.membership.clone_from(&report.membership);
            record.staged.clone_from(&report.staged);
        }
    }

    /// Probes the members of a group that a gateway suspects.
    pub fn probe_group(
        &mut self,
        now: Duration,
        name: &str,
        epoch: u64,
        out: &mut Vec<FormationAction>,
    ) {
        let named = |group: &&FormationGroup| group.name == name && group.epoch == epoch;
        let Some(group) = self.groups.values().find(named) else {
            return;
        };
        for key in group.members.clone() {
            self.probe(now, key, out);
        }
    }

    fn probe(&mut self, now: Duration, key: ServerKey, out: &mut Vec<FormationAction>) {
        // A group that is being dissolved still lists a lost member whose record is gone.
        let Some(record) = self.servers.get_mut(key) else {
            return;
        };
        if self.drained || record.probing || now < record.quiet_until {
            return;
        }
        record.probing = true;
        record.next_probe_at = now + PROBE_INTERVAL;
        out.push(FormationAction::Probe {
            server: record.id.clone(),
            address: record.address,
        });
    }

    fn probe_unreachable(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        let mut due: SmallVec<[ServerKey; 8]> = SmallVec::new();
        for (key, record) in &self.servers {
            // A failing server is probed again at once until it answers or counts as unreachable;
            // an unreachable one only every `PROBE_INTERVAL`.
            let wait = if record.is_unreachable() {
                record.next_probe_at
            } else {
                Duration::ZERO
            };
            let failing = record.present && record.failures.any() && now >= wait;
            let vanished = !record.present && record.group.is_some() && now >= record.next_probe_at;
            if (failing || vanished) && !record.probing {
                due.push(key);
            }
        }
        for key in due {
            self.probe(now, key, out);
        }
    }

    /// Drops orders whose outcome is overdue, so that they can be sent again.
    fn expire_orders(&mut self, now: Duration) {
        for record in self.servers.values_mut() {
            let late = |order: &mut PendingOrder| now >= order.sent_at + ORDER_TIMEOUT;
            if record.pending_order.take_if(late).is_some() {
                record.next_order_at = now;
            }
        }
    }

    /// Updates the server records from the entries of this scope, and drops records
    /// that have no entry and no group.
    fn apply_fleet(&mut self, now: Duration, fleet: &FleetView) {
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        for known in fleet.known() {
            let entry = &known.entry;
            let in_scope = entry.service == self.scope.service
                && entry.failure_domain == self.scope.failure_domain;
            if !in_scope {
                continue;
            }
            seen.insert(&entry.id);
            self.apply_entry(now, known);
        }
        let groups = &self.groups;
        let current = &self.by_id;
        let former_groups = &mut self.former_groups;
        self.servers.retain(|key, record| {
            let listed = seen.contains(record.id.as_str());
            record.present &= listed && current.get(&record.id) == Some(&key);
            let needed = record.group.is_some_and(|key| groups.contains_key(key));
            if !record.present && !needed && current.get(&record.id) == Some(&key) {
                note_former_group(former_groups, now, record);
            }
            record.present || needed
        });
        let servers = &self.servers;
        self.by_id.retain(|_, key| servers.contains_key(*key));
    }

    fn apply_entry(&mut self, now: Duration, known: &KnownEntry) {
        let entry = &known.entry;
        if let Some(&key) = self.by_id.get(&entry.id) {
            let record = &mut self.servers[key];
            if record.born_ms == entry.born_ms {
                record.update(known);
                return;
            }
            // A restarted server has lost its earlier state; the old record stays with its
            // group until the group is dissolved.
            record.present = false;
            note_former_group(&mut self.former_groups, now, record);
        }
        let key = self.servers.insert(FormationServer::new(known));
        self.by_id.insert(entry.id.clone(), key);
    }

    /// Updates servers that have left a group from the rows that they have written since. A row that
    /// names the group again may have the content of the one before, and then raises no revision.
    fn refresh_left_servers(&mut self, fleet: &FleetView) {
        for record in self.servers.values_mut() {
            if record.last_left.is_none() || record.group.is_some() {
                continue;
            }
            let Some(known) = fleet.get_known(&record.id) else {
                continue;
            };
            if known.entry.born_ms == record.born_ms && known.version > record.row_version {
                record.update(known);
            }
        }
    }

    /// Sends an order unless another is pending or the retry delay has not passed; true when it was
    /// sent.
    pub(super) fn send_order(
        &mut self,
        now: Duration,
        key: ServerKey,
        body: OrderBody,
        out: &mut Vec<FormationAction>,
    ) -> bool {
        let record = &mut self.servers[key];
        if record.pending_order.is_some() || now < record.next_order_at.max(record.quiet_until) {
            return false;
        }
        self.last_order_number += 1;
        let fence = fence_of(self.term, self.last_order_number);
        record.pending_order = Some(PendingOrder {
            number: self.last_order_number,
            body: body.clone(),
            sent_at: now,
        });
        out.push(FormationAction::Order {
            number: self.last_order_number,
            server: record.id.clone(),
            address: record.address,
            fence,
            body,
        });
        true
    }

    /// Moves a group to a phase and reports it; `reason` has the cause and the server that
    /// caused the change, if any.
    pub(super) fn set_phase(
        &mut self,
        now: Duration,
        key: GroupKey,
        phase: GroupPhase,
        reason: (&'static str, Option<ServerKey>),
        out: &mut Vec<FormationAction>,
    ) {
        let server = reason.1.and_then(|key| self.servers.get(key));
        let server = server.map_or_else(String::new, |record| record.id.clone());
        let group = &mut self.groups[key];
        group.phase = phase;
        group.since = now;
        out.push(FormationAction::Phase {
            group: group.name.clone(),
            epoch: group.epoch,
            model: group.model.clone(),
            phase: phase.label(),
            reason: reason.0,
            server,
        });
    }
}
