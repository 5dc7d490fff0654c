use {
    super::{
        FormationAction, FormationGroup, FormationServer, GroupKey, GroupPhase, LoadBudget,
        OrderBody, OrderOutcome, ServerKey, formation_server::OpenOrder,
    },
    crate::core::{
        fleet::{BackendEntry, EngineReport, FleetView},
        routes::{EngineShape, ModelShape},
    },
    slotmap::SlotMap,
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Wait before an order that had no good outcome is given again.
const ORDER_RETRY: Duration = Duration::from_millis(150);

/// Time after which an order without an answer is given again.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between probes of an unreachable server.
const PROBE_EVERY: Duration = Duration::from_millis(700);

/// Time of a load after which a host that does not show it is staged anew;
/// loads that share the weight store take longer.
const STAGING_PATIENCE: u32 = 3;

/// Groups numbered within a term; epochs of the next term are higher.
const EPOCHS_PER_TERM: u64 = 1_000_000;

value_type! {
    /// What a keeper is responsible for.
    pub struct FormationScope {
        /// Service of the engines.
        pub service: String,
        /// Failure domain of the engines.
        pub failure_domain: String,
        /// Failure domains that share the weight store.
        pub domains: u32,
    }
}

/// Shares of the work as time of a group: those of the operator are shares of
/// the servers' time.
fn starting_weights(models: &[ModelShape]) -> Vec<f64> {
    #[allow(clippy::cast_precision_loss)] // few members
    let per_group = |model: &ModelShape| model.share / model.size.max(1) as f64;
    let sum: f64 = models.iter().map(per_group).sum();
    let whole = if sum > 0.0 { sum } else { 1.0 };
    models
        .iter()
        .map(|model| per_group(model) / whole)
        .collect()
}

/// Forms, opens and dissolves the replica groups of one failure domain while
/// its process holds the lease.
#[derive(Debug, Clone)]
pub struct FormationKeeper {
    pub(super) scope: FormationScope,
    pub(super) term: u64,
    pub(super) next_epoch: u64,
    next_order: u64,
    pub(super) shape: EngineShape,
    /// Share of the work by model, in the order of the shape.
    pub(super) weights: Vec<f64>,
    /// Share of the places that are taken by model, in the order of the shape.
    pub(super) busy: Vec<f64>,
    pub(super) servers: SlotMap<ServerKey, FormationServer>,
    pub(super) by_id: BTreeMap<String, ServerKey>,
    pub(super) groups: SlotMap<GroupKey, FormationGroup>,
    seen_revision: Option<u64>,
    /// When the keeper reports what it decides by.
    pub(super) next_report: Duration,
    pub(super) loads: LoadBudget,
    /// Model that each fabric domain serves.
    pub(super) domain_models: BTreeMap<String, usize>,
    /// Time of the first tick that saw a server.
    pub(super) first_seen: Option<Duration>,
    /// True while loads are short and unlimited, before the first request.
    pub(super) preparing: bool,
}

impl FormationKeeper {
    /// Creates the keeper of a new holder of the lease.
    #[must_use]
    pub fn new(scope: FormationScope, term: u64, shape: EngineShape) -> Self {
        let largest = shape.models.iter().map(|model| model.size).max();
        #[allow(clippy::cast_precision_loss)] // few members
        let burst = largest.unwrap_or(1) as f64;
        Self {
            loads: LoadBudget::new(shape.loads_per_s, scope.domains, burst),
            scope,
            term,
            next_epoch: term * EPOCHS_PER_TERM,
            next_order: 0,
            weights: starting_weights(&shape.models),
            busy: vec![0.0; shape.models.len()],
            shape,
            servers: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            groups: SlotMap::with_key(),
            seen_revision: None,
            next_report: Duration::ZERO,
            domain_models: BTreeMap::new(),
            first_seen: None,
            preparing: false,
        }
    }

    /// Term under which the keeper orders.
    #[must_use]
    pub const fn term(&self) -> u64 {
        self.term
    }

    /// The groups, for status and tests.
    pub fn groups(&self) -> impl Iterator<Item = &FormationGroup> {
        self.groups.values()
    }

    /// Says whether the deployment is still before its first request: loads
    /// take a tenth of their time then and are not limited.
    pub const fn set_preparing(&mut self, preparing: bool) {
        self.preparing = preparing;
    }

    /// Sets the observed share of the work of each model.
    pub fn set_weights(&mut self, weights: impl Fn(&str) -> Option<f64>) {
        for (weight, model) in self.weights.iter_mut().zip(&self.shape.models) {
            if let Some(observed) = weights(&model.name) {
                *weight = observed;
            }
        }
    }

    /// Sets the share of the places of each model's groups that are taken.
    pub fn set_busy(&mut self, busy: impl Fn(&str) -> Option<f64>) {
        for (share, model) in self.busy.iter_mut().zip(&self.shape.models) {
            *share = busy(&model.name).unwrap_or(0.0);
        }
    }

    /// Looks at the fleet and the time, and gives the orders that are due.
    pub fn tick(&mut self, now: Duration, fleet: &FleetView, out: &mut Vec<FormationAction>) {
        if self.seen_revision != Some(fleet.revision()) {
            self.seen_revision = Some(fleet.revision());
            self.take_fleet(fleet);
            self.adopt_groups(now, out);
        }
        self.expire_orders(now);
        self.expire_staging(now);
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

    /// Takes the outcome of an order.
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
        let fits = |order: &OpenOrder| order.number == number;
        let Some(order) = record.order.take_if(|order| fits(order)) else {
            return;
        };
        record.next_order = now;
        match outcome {
            OrderOutcome::Begun | OrderOutcome::Done => {
                record.note_answer();
                self.order_taken(key, &order.body);
                return;
            }
            OrderOutcome::Unreachable | OrderOutcome::Unanswered => record.note_failure(now),
            OrderOutcome::Outranked => {
                record.note_answer();
                out.push(FormationAction::Outranked);
            }
            OrderOutcome::OtherServer => record.present = false,
            OrderOutcome::Unfit | OrderOutcome::Rejected => {
                record.note_answer();
                self.order_unfit(key, &order.body);
            }
        }
        let record = &mut self.servers[key];
        record.next_order = now + ORDER_RETRY;
        if matches!(order.body, OrderBody::Stage { .. }) {
            record.staging = None;
        }
    }

    /// Takes the answer of a probe; none when there was no answer.
    pub fn reported(&mut self, now: Duration, server: &str, report: Option<&EngineReport>) {
        let Some(&key) = self.by_id.get(server) else {
            return;
        };
        let record = &mut self.servers[key];
        record.probing = false;
        record.next_probe = now + PROBE_EVERY;
        let Some(report) = report else {
            record.note_failure(now);
            return;
        };
        record.note_answer();
        if report.born_ms == record.born_ms {
            record.membership.clone_from(&report.membership);
            record.staged.clone_from(&report.staged);
        }
    }

    /// Probes the members of a group that a gateway suspects.
    pub fn suspect(
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
        let record = &mut self.servers[key];
        if record.probing {
            return;
        }
        record.probing = true;
        record.next_probe = now + PROBE_EVERY;
        out.push(FormationAction::Probe {
            server: record.id.clone(),
            address: record.address,
        });
    }

    fn probe_unreachable(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        let mut due: SmallVec<[ServerKey; 8]> = SmallVec::new();
        for (key, record) in &self.servers {
            // A single failure is settled at once, a server that is gone seldom.
            let wait = if record.is_unreachable() {
                record.next_probe
            } else {
                Duration::ZERO
            };
            let doubtful = record.present && record.failures > 0 && now >= wait;
            let vanished = !record.present && record.group.is_some() && now >= record.next_probe;
            if (doubtful || vanished) && !record.probing {
                due.push(key);
            }
        }
        for key in due {
            self.probe(now, key, out);
        }
    }

    fn expire_orders(&mut self, now: Duration) {
        for record in self.servers.values_mut() {
            let late = |order: &mut OpenOrder| now >= order.sent_at + ORDER_TIMEOUT;
            if record.order.take_if(late).is_some() {
                record.next_order = now;
            }
        }
    }

    /// Forgets loads onto hosts that never show: their order was not carried out.
    fn expire_staging(&mut self, now: Duration) {
        let slowest = self.shape.models.iter().map(|model| model.load).max();
        let limit = slowest.unwrap_or_default() * STAGING_PATIENCE;
        for record in self.servers.values_mut() {
            let late = |staging: &mut (String, Duration)| now >= staging.1 + limit;
            // The host is staged anew when it is still wanted.
            let _ = record.staging.take_if(late);
        }
    }

    /// Takes the entries of this scope.
    fn take_fleet(&mut self, fleet: &FleetView) {
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        for entry in fleet.entries() {
            let ours = entry.service == self.scope.service
                && entry.failure_domain == self.scope.failure_domain;
            if !ours {
                continue;
            }
            seen.insert(&entry.id);
            self.take_entry(entry);
        }
        let groups = &self.groups;
        let current = &self.by_id;
        self.servers.retain(|key, record| {
            let listed = seen.contains(record.id.as_str());
            record.present &= listed && current.get(&record.id) == Some(&key);
            let needed = record.group.is_some_and(|key| groups.contains_key(key));
            record.present || needed
        });
        let servers = &self.servers;
        self.by_id.retain(|_, key| servers.contains_key(*key));
    }

    fn take_entry(&mut self, entry: &BackendEntry) {
        if let Some(&key) = self.by_id.get(&entry.id) {
            let record = &mut self.servers[key];
            if record.born_ms == entry.born_ms {
                record.update(entry);
                return;
            }
            // Another life under the same identifier knows nothing of before;
            // the old record stays with its group until that is dissolved.
            record.present = false;
        }
        let key = self.servers.insert(FormationServer::new(entry));
        self.by_id.insert(entry.id.clone(), key);
    }

    /// Gives an order unless the server has one already.
    pub(super) fn give(
        &mut self,
        now: Duration,
        key: ServerKey,
        body: OrderBody,
        out: &mut Vec<FormationAction>,
    ) {
        let record = &mut self.servers[key];
        if record.order.is_some() || now < record.next_order {
            return;
        }
        self.next_order += 1;
        record.order = Some(OpenOrder {
            number: self.next_order,
            body: body.clone(),
            sent_at: now,
        });
        out.push(FormationAction::Order {
            number: self.next_order,
            server: record.id.clone(),
            address: record.address,
            body,
        });
    }

    pub(super) fn phase(
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
