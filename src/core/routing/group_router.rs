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

/// Maximum age of a controller's heartbeat that confirms the groups of its failure domain; the
/// withdrawal bound.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_secs(2);

/// Time for which a group gets no new requests after an attempt failed: the group crashed, refused
/// the connection or did not respond.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Age of a load report from which each further second adds a second to the prediction, since the
/// group may be busier than it reported.
const STALE_REPORT_AGE: Duration = Duration::from_secs(2);

/// Penalty in seconds on the cost of a group in another failure domain. It is well above the
/// network latency, so that domains do not swap their load.
const CROSS_DOMAIN_PENALTY_S: f64 = 0.2;

/// Seconds by which the preferred group of a prefix may cost more than the cheapest group.
const AFFINITY_SLACK_S: f64 = 0.1;

/// Factor on the predicted time to the first token of a group marked as slow.
const SLOW_FACTOR: f64 = 1.5;

#[derive(Debug, Clone)]
struct GroupRecord {
    entry: GroupEntry,
    load: LoadEstimate,
    reported_at: Option<Duration>,
    avoid_until: Duration,
    /// When the entry's epoch or state last changed; earlier member reports cannot contradict it.
    changed_at: Duration,
    usable: bool,
    /// Whether the group is in the gateway's failure domain.
    local: bool,
    /// Hash of the group id, for rendezvous hashing.
    hash: u64,
}

value_type! {
    /// Properties of a request that determine the choice of its group.
    pub struct PickRequest<'a> {
        /// Name of the model service.
        pub service: &'a str,
        /// Estimated prompt tokens, cached ones included.
        pub tokens: u32,
        /// Hash of the model and the first bytes of the prompt; requests with the same value share
        /// cached tokens.
        pub prefix: u64,
        /// Groups that are not eligible because an attempt of this request failed on them.
        pub tried: &'a [GroupId],
        /// Restricts the choice to groups that would start the request without waiting.
        pub needs_room: bool,
    }

    /// The group chosen for a request.
    pub struct PickedGroup {
        /// Key of the group within this router.
        pub key: GroupKey,
        /// Identifier of the group, the same in all processes.
        pub id: GroupId,
        /// Epoch of the group's membership at the time of the choice.
        pub epoch: u64,
        /// Address of the member with rank 0, which takes the requests of the group.
        pub address: SocketAddr,
        /// Predicted seconds to the first token, without the penalty for another failure domain.
        pub first_token_s: f64,
    }
}

/// Tracks the replica groups and selects the one with the earliest predicted first token.
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

    /// Replaces the groups by those of the view. A group keeps its load estimate while its epoch
    /// stays the same.
    pub fn apply(&mut self, now: Duration, view: &ClusterView) {
        for entry in view.groups.values() {
            self.apply_entry(now, entry);
        }
        let removed: Vec<GroupKey> = self
            .groups
            .iter()
            .filter(|(_, record)| !view.groups.contains_key(&record.entry.id))
            .map(|(key, _)| key)
            .collect();
        for key in removed {
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

    /// Recomputes which groups may take requests.
    ///
    /// A usable group serves, is not draining and has no member that the platform lists as leaving.
    /// It is confirmed by a recent controller heartbeat or by all of its members, and no member
    /// contradicts it.
    pub fn refresh(&mut self, now: Duration, view: &ClusterView) {
        for record in self.groups.values_mut() {
            let entry = &record.entry;
            let offered = entry.state == GroupState::Serving && !entry.draining;
            let members = &entry.members;
            let leaving = members
                .iter()
                .any(|member| view.leaving.contains(&member.instance));
            let confirmed =
                controller_is_fresh(now, view, &entry.failure_domain, MAX_HEARTBEAT_AGE)
                    || self.watch.confirms(now, entry);
            let contradicted = self.watch.contradicts(now, record.changed_at, entry);
            record.usable =
                offered && !leaving && confirmed && !contradicted && !members.is_empty();
        }
    }

    /// Instances of serving groups to request a report from: the member with rank 0 always, and all
    /// members if the controller has not been heard for half of the withdrawal bound.
    #[must_use]
    pub fn instances_to_ask(&self, now: Duration, view: &ClusterView) -> Vec<(String, SocketAddr)> {
        let mut instances = Vec::new();
        for record in self.groups.values() {
            if record.entry.state != GroupState::Serving {
                continue;
            }
            let domain = &record.entry.failure_domain;
            let confirmed = controller_is_fresh(now, view, domain, MAX_HEARTBEAT_AGE / 2);
            let count = if confirmed {
                1
            } else {
                record.entry.members.len()
            };
            for member in record.entry.members.iter().take(count) {
                instances.push((member.instance.clone(), member.address));
            }
        }
        instances
    }

    /// Applies the report of an instance that was requested at `requested_at`; the load counts
    /// only if it comes from rank 0 of the current epoch.
    pub fn apply_report(&mut self, now: Duration, requested_at: Duration, report: &InstanceReport) {
        self.watch.record(requested_at, report);
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
            record.load.apply_report(now, report.load.clone());
            record.reported_at = Some(now);
        }
    }

    /// Whether the service has a usable group.
    #[must_use]
    pub fn serves(&self, service: &str) -> bool {
        self.candidates(service).any(|(_, record)| record.usable)
    }

    fn candidates(&self, service: &str) -> impl Iterator<Item = (GroupKey, &GroupRecord)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter()
            .filter_map(|key| self.groups.get(*key).map(|record| (*key, record)))
    }

    /// Selects the group with the earliest predicted first token; `None` if no usable group
    /// qualifies.
    ///
    /// The preferred group of the prefix wins if it costs at most `AFFINITY_SLACK_S` more than the
    /// cheapest one. A group in another failure domain costs `CROSS_DOMAIN_PENALTY_S` more.
    #[must_use]
    pub fn pick(&self, now: Duration, request: &PickRequest<'_>) -> Option<PickedGroup> {
        let mut best: Option<(f64, f64, GroupKey)> = None;
        let mut preferred: Option<(u64, f64, f64, GroupKey)> = None;
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
            let first_token_s = self.predict_first_token_s(now, record, request);
            let cost = first_token_s
                + if record.local {
                    0.0
                } else {
                    CROSS_DOMAIN_PENALTY_S
                };
            if best.is_none_or(|(known, ..)| cost < known) {
                best = Some((cost, first_token_s, key));
            }
            let weight = rendezvous_weight(request.prefix, record.hash);
            if preferred.is_none_or(|(known, ..)| weight > known) {
                preferred = Some((weight, cost, first_token_s, key));
            }
        }
        let (best_cost, mut first_token_s, mut key) = best?;
        if let Some((_, cost, preferred_s, preferred_key)) = preferred
            && cost <= best_cost + AFFINITY_SLACK_S
        {
            first_token_s = preferred_s;
            key = preferred_key;
        }
        self.picked(key, first_token_s)
    }

    fn predict_first_token_s(
        &self,
        now: Duration,
        record: &GroupRecord,
        request: &PickRequest<'_>,
    ) -> f64 {
        let cached = self.affinity.cached_tokens(request.prefix, record.hash);
        let uncached = f64::from(request.tokens.saturating_sub(cached));
        let mut first_token_s = record.load.first_token_s(uncached);
        if record.entry.slow {
            first_token_s *= SLOW_FACTOR;
        }
        if let Some(reported_at) = record.reported_at {
            let age = now.saturating_sub(reported_at);
            first_token_s += age.saturating_sub(STALE_REPORT_AGE).as_secs_f64();
        }
        first_token_s
    }

    /// Describes a group for an attempt; `None` if it is gone or has no members.
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

    /// Usable groups of a service except one, in an order that is the same on every gateway. Groups
    /// avoided after a failed attempt are included because each gateway knows only its own
    /// failures.
    #[must_use]
    pub fn isolation_targets(&self, service: &str, without: &GroupId) -> Vec<GroupKey> {
        let usable = self
            .candidates(service)
            .filter(|(_, record)| record.usable && record.entry.id != *without);
        let mut targets: Vec<(&GroupId, GroupKey)> = usable
            .map(|(key, record)| (&record.entry.id, key))
            .collect();
        targets.sort();
        targets.into_iter().map(|(_, key)| key).collect()
    }

    /// Whether a group is avoided after a failed attempt.
    #[must_use]
    pub fn is_avoided(&self, now: Duration, key: GroupKey) -> bool {
        self.groups
            .get(key)
            .is_some_and(|record| now < record.avoid_until)
    }

    /// Records a request sent to a group. Half of its prompt counts as cached there from now on.
    pub fn record_sent(&mut self, now: Duration, key: GroupKey, tokens: u32, prefix: u64) {
        let Some(record) = self.groups.get_mut(key) else {
            return;
        };
        let cached = self.affinity.cached_tokens(prefix, record.hash);
        let uncached = f64::from(tokens.saturating_sub(cached));
        record.load.record_sent(now, uncached);
        self.affinity.record_sent(prefix, record.hash, tokens / 2);
    }

    /// Corrects the load estimate by the observed time to the first token, in seconds.
    pub fn record_first_token(&mut self, key: GroupKey, predicted_s: f64, observed_s: f64) {
        if let Some(record) = self.groups.get_mut(key) {
            record.load.record_first_token(predicted_s, observed_s);
        }
    }

    /// Records the end of a request that ran for `run_time`; `None` if it did not complete.
    /// Requests sent in another epoch are ignored, since the load estimate started anew.
    pub fn record_ended(
        &mut self,
        now: Duration,
        key: GroupKey,
        epoch: u64,
        run_time: Option<Duration>,
    ) {
        if let Some(record) = self.groups.get_mut(key)
            && record.entry.epoch == epoch
        {
            record.load.record_ended(now, run_time);
        }
    }

    /// Excludes a group from selection for a second after a failed attempt.
    pub fn avoid(&mut self, now: Duration, key: GroupKey) {
        if let Some(record) = self.groups.get_mut(key) {
            record.avoid_until = now + AVOID_AFTER_FAILURE;
        }
    }

    /// Expected seconds between two batch slots becoming free over all usable groups of a service;
    /// `None` if it has no usable group.
    #[must_use]
    pub fn release_interval_s(&self, service: &str) -> Option<f64> {
        let usable = self.candidates(service).filter(|(_, record)| record.usable);
        let rate: f64 = usable
            .map(|(_, record)| 1.0 / record.load.release_interval_s())
            .sum();
        (rate > 0.0).then(|| 1.0 / rate)
    }

    /// Number of usable groups of all services.
    #[must_use]
    pub fn usable_groups(&self) -> usize {
        self.groups.values().filter(|record| record.usable).count()
    }
}

fn controller_is_fresh(now: Duration, view: &ClusterView, domain: &str, max_age: Duration) -> bool {
    view.controllers
        .get(domain)
        .is_some_and(|record| now.saturating_sub(record.received_at) < max_age)
}
