use {
    super::{LoadEstimate, MemberWatch, PrefixAffinity, rendezvous_weight},
    crate::{
        core::{keys::GroupKey, view::ClusterView},
        wire::{GroupEntry, GroupId, GroupState, InstanceReport},
    },
    slotmap::SlotMap,
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Age up to which a controller's heartbeat confirms its groups.
const CONTROLLER_AGE: Duration = Duration::from_secs(2);

/// Time for which a group gets nothing new after a failed call.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Age of a report after which a group counts as busier than it said.
const STALE_REPORT: Duration = Duration::from_secs(2);

/// Predicted gain in seconds that justifies another failure domain. It is
/// well above the network time, so that domains do not swap their load.
const SPILL_GAIN_S: f64 = 0.2;

/// Seconds by which the home of a prefix may be worse than the best group.
const AFFINITY_SLACK_S: f64 = 0.1;

/// Factor on the prediction of a group marked as slow.
const SLOW_FACTOR: f64 = 1.5;

#[derive(Debug, Clone)]
struct GroupRecord {
    entry: GroupEntry,
    load: LoadEstimate,
    reported_at: Option<Duration>,
    avoid_until: Duration,
    /// When the entry's epoch or state changed; earlier reports prove nothing about it.
    changed_at: Duration,
    usable: bool,
    local: bool,
    hash: u64,
}

value_type! {
    /// What a choice depends on.
    pub struct PickRequest<'a> {
        /// Model service.
        pub service: &'a str,
        /// Prompt tokens.
        pub tokens: u32,
        /// Hash of the prompt's beginning.
        pub prefix: u64,
        /// Groups that already failed this request.
        pub tried: &'a [GroupId],
        /// True when only groups that can start at once are wanted.
        pub needs_room: bool,
    }

    /// A chosen group.
    pub struct PickedGroup {
        /// Its key.
        pub key: GroupKey,
        /// Its identifier.
        pub id: GroupId,
        /// Its epoch.
        pub epoch: u64,
        /// Address of rank 0.
        pub address: SocketAddr,
        /// Predicted seconds to the first token.
        pub first_token_s: f64,
    }
}

/// Knows the serving groups and chooses the one with the earliest first token.
#[derive(Debug, Clone, Default)]
pub struct GroupRouter {
    failure_domain: String,
    groups: SlotMap<GroupKey, GroupRecord>,
    by_id: HashMap<GroupId, GroupKey>,
    services: BTreeMap<String, Vec<GroupKey>>,
    affinity: PrefixAffinity,
    watch: MemberWatch,
}

impl GroupRouter {
    /// Creates a router for a gateway in `failure_domain`.
    #[must_use]
    pub fn new(failure_domain: &str) -> Self {
        Self {
            failure_domain: failure_domain.to_owned(),
            ..Self::default()
        }
    }

    /// Takes the newest view; load state of known groups is kept.
    pub fn apply(&mut self, now: Duration, view: &ClusterView) {
        for entry in view.groups.values() {
            self.apply_entry(now, entry);
        }
        let gone: Vec<GroupKey> = self
            .groups
            .iter()
            .filter(|(_, record)| !view.groups.contains_key(&record.entry.id))
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            if let Some(record) = self.groups.remove(key) {
                self.by_id.remove(&record.entry.id);
            }
        }
        self.services.clear();
        for (key, record) in &self.groups {
            let keys = self.services.entry(record.entry.service.clone());
            keys.or_default().push(key);
        }
        self.refresh(now, view);
    }

    fn apply_entry(&mut self, now: Duration, entry: &GroupEntry) {
        if let Some(record) = self
            .by_id
            .get(&entry.id)
            .and_then(|key| self.groups.get_mut(*key))
        {
            if record.entry.epoch != entry.epoch {
                record.load = LoadEstimate::default();
                record.avoid_until = Duration::ZERO;
            }
            if (record.entry.epoch, record.entry.state) != (entry.epoch, entry.state) {
                record.changed_at = now;
            }
            record.entry = entry.clone();
            return;
        }
        let digest = blake3::hash(entry.id.0.as_bytes());
        let mut hash = [0; 8];
        hash.copy_from_slice(&digest.as_bytes()[..8]);
        let key = self.groups.insert(GroupRecord {
            entry: entry.clone(),
            load: LoadEstimate::default(),
            reported_at: None,
            avoid_until: Duration::ZERO,
            changed_at: now,
            usable: false,
            local: entry.failure_domain == self.failure_domain,
            hash: u64::from_le_bytes(hash),
        });
        self.by_id.insert(entry.id.clone(), key);
    }

    /// Decides anew which groups may take requests.
    pub fn refresh(&mut self, now: Duration, view: &ClusterView) {
        for record in self.groups.values_mut() {
            let entry = &record.entry;
            let offered = entry.state == GroupState::Serving && !entry.draining;
            let members = &entry.members;
            let leaving = members
                .iter()
                .any(|member| view.leaving.contains(&member.instance));
            let confirmed = fresh_controller(now, view, &entry.failure_domain, CONTROLLER_AGE)
                || self.watch.confirms(now, entry);
            let contradicted = self.watch.contradicts(now, record.changed_at, entry);
            record.usable =
                offered && !leaving && confirmed && !contradicted && !members.is_empty();
        }
    }

    /// Instances to ask for a report: leads always, all members where no
    /// controller has been heard for half of the withdrawal bound.
    #[must_use]
    pub fn to_ask(&self, now: Duration, view: &ClusterView) -> Vec<(String, SocketAddr)> {
        let mut asked = Vec::new();
        for record in self.groups.values() {
            if record.entry.state != GroupState::Serving {
                continue;
            }
            let domain = &record.entry.failure_domain;
            let confirmed = fresh_controller(now, view, domain, CONTROLLER_AGE / 2);
            let count = if confirmed {
                1
            } else {
                record.entry.members.len()
            };
            for member in record.entry.members.iter().take(count) {
                asked.push((member.instance.clone(), member.address));
            }
        }
        asked
    }

    /// Takes the report of an instance that was asked at `asked_at`.
    pub fn take_report(&mut self, now: Duration, asked_at: Duration, report: &InstanceReport) {
        self.watch.take(asked_at, report);
        let Some(membership) = &report.membership else {
            return;
        };
        let Some(key) = self.by_id.get(&membership.group) else {
            return;
        };
        let Some(record) = self.groups.get_mut(*key) else {
            return;
        };
        if membership.rank == 0 && membership.epoch == record.entry.epoch {
            record.load.take_report(now, report.load.clone());
            record.reported_at = Some(now);
        }
    }

    /// Whether any group is known to serve the service now.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.candidates(service).any(|(_, record)| record.usable)
    }

    fn candidates(&self, service: &str) -> impl Iterator<Item = (GroupKey, &GroupRecord)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| self.groups.get(*key).map(|record| (*key, record)))
    }

    /// Chooses the group with the earliest predicted first token.
    ///
    /// The home of the prefix is preferred while it is not much worse, and
    /// the own failure domain while another one is not much better.
    #[must_use]
    pub fn pick(&self, now: Duration, request: &PickRequest<'_>) -> Option<PickedGroup> {
        let mut best: Option<(f64, f64, GroupKey)> = None;
        let mut home: Option<(u64, f64, f64, GroupKey)> = None;
        for (key, record) in self.candidates(request.service) {
            if !record.usable
                || now < record.avoid_until
                || request.tried.contains(&record.entry.id)
            {
                continue;
            }
            if request.needs_room && !record.load.has_room() {
                continue;
            }
            let first_token_s = self.predict(now, record, request);
            let cost = first_token_s + if record.local { 0.0 } else { SPILL_GAIN_S };
            if best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, first_token_s, key));
            }
            let weight = rendezvous_weight(request.prefix, record.hash);
            if home.is_none_or(|(known, ..)| weight > known) {
                home = Some((weight, cost, first_token_s, key));
            }
        }
        let (best_cost, mut first_token_s, mut key) = best?;
        if let Some((_, cost, home_s, home_key)) = home
            && cost <= best_cost + AFFINITY_SLACK_S
        {
            first_token_s = home_s;
            key = home_key;
        }
        self.picked(key, first_token_s)
    }

    fn predict(&self, now: Duration, record: &GroupRecord, request: &PickRequest<'_>) -> f64 {
        let cached = self.affinity.cached(request.prefix, record.hash);
        let fresh = f64::from(request.tokens.saturating_sub(cached));
        let mut first_token_s = record.load.first_token_s(fresh);
        if record.entry.slow {
            first_token_s *= SLOW_FACTOR;
        }
        if let Some(reported_at) = record.reported_at {
            let age = now.saturating_sub(reported_at);
            first_token_s += age.saturating_sub(STALE_REPORT).as_secs_f64();
        }
        first_token_s
    }

    /// A group as a choice.
    #[must_use]
    pub fn picked(&self, key: GroupKey, first_token_s: f64) -> Option<PickedGroup> {
        let record = self.groups.get(key)?;
        Some(PickedGroup {
            key,
            id: record.entry.id.clone(),
            epoch: record.entry.epoch,
            address: record.entry.members.first()?.address,
            first_token_s,
        })
    }

    /// Usable groups of a service without one, in an order that is the same on
    /// every gateway. Groups that rest after a failed call are included, since
    /// each gateway knows only its own failed calls.
    #[must_use]
    pub fn isolation_groups(&self, service: &str, without: &GroupId) -> Vec<GroupKey> {
        let usable = self
            .candidates(service)
            .filter(|(_, record)| record.usable && record.entry.id != *without);
        let mut targets: Vec<(&GroupId, GroupKey)> = usable
            .map(|(key, record)| (&record.entry.id, key))
            .collect();
        targets.sort();
        targets.into_iter().map(|(_, key)| key).collect()
    }

    /// Whether a group rests after a failed call.
    #[must_use]
    pub fn is_avoided(&self, now: Duration, key: GroupKey) -> bool {
        self.groups
            .get(key)
            .is_some_and(|record| now < record.avoid_until)
    }

    /// Notes a request sent to a group.
    pub fn note_sent(&mut self, now: Duration, key: GroupKey, tokens: u32, prefix: u64) {
        let Some(record) = self.groups.get_mut(key) else {
            return;
        };
        let cached = self.affinity.cached(prefix, record.hash);
        let fresh = f64::from(tokens.saturating_sub(cached));
        record.load.note_sent(now, fresh);
        self.affinity.note(prefix, record.hash, tokens / 2);
    }

    /// Compares a first token with its prediction.
    pub fn note_first_token(&mut self, key: GroupKey, predicted_s: f64, seen_s: f64) {
        if let Some(record) = self.groups.get_mut(key) {
            record.load.note_first_token(predicted_s, seen_s);
        }
    }

    /// Notes the end of a request of the given epoch.
    pub fn note_ended(&mut self, now: Duration, key: GroupKey, epoch: u64, held: Option<Duration>) {
        if let Some(record) = self.groups.get_mut(key)
            && record.entry.epoch == epoch
        {
            record.load.note_ended(now, held);
        }
    }

    /// Sends nothing to a group for a moment after a failed call.
    pub fn avoid(&mut self, now: Duration, key: GroupKey) {
        if let Some(record) = self.groups.get_mut(key) {
            record.avoid_until = now + AVOID_AFTER_FAILURE;
        }
    }

    /// Mean seconds between two places that become free among all usable groups.
    #[must_use]
    pub fn release_interval_s(&self, service: &str) -> Option<f64> {
        let usable = self.candidates(service).filter(|(_, record)| record.usable);
        let rate: f64 = usable
            .map(|(_, record)| 1.0 / record.load.release_interval_s())
            .sum();
        (rate > 0.0).then(|| 1.0 / rate)
    }

    /// Number of usable groups.
    #[must_use]
    pub fn usable_groups(&self) -> usize {
        self.groups.values().filter(|record| record.usable).count()
    }
}

fn fresh_controller(now: Duration, view: &ClusterView, domain: &str, age: Duration) -> bool {
    view.controllers
        .get(domain)
        .is_some_and(|sighting| now.saturating_sub(sighting.heard_at) < age)
}
