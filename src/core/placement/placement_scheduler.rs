use {
    super::{
        AttemptKey, AttemptRecord, FreedSlots, GroupTag, GroupTarget, GroupUsability, PaceTick,
        PeerLoad, PeerLoads, PlacementDecision, PlacementRequest, RefusalCause, RequestMeans,
        SizeQuantile, SlotClaims, StallReport, TargetKey, TicketKey, WaitQueue,
        group_pacing::GroupPacing, group_target::from_millis, request_refusal::refuse,
    },
    crate::core::{
        cold::ColdGate,
        fairness::{AccountShares, ShortageChange},
        fleet::{BackendEntry, FleetView, GroupIdentity},
        pace::ArrivalRate,
        routes::{EngineProfile, RouteTable},
    },
    rand::{SeedableRng, rngs::SmallRng},
    slotmap::SlotMap,
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// Time for which a suspect group gets no requests, unless an event arrives from it.
pub(super) const SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// Part of the latency objective reserved for the way to the caller and for reports that
/// arrive late.
pub(super) const OBJECTIVE_MARGIN: Duration = Duration::from_millis(15);

value_type! {
    /// Results of a tick, for the caller to carry out.
    #[derive(Default)]
    pub struct SchedulerTick {
        /// Attempts to move to another group, because theirs has stalled.
        pub moves: Vec<AttemptKey>,
        /// Groups that became suspect in this tick, to be reported to the controller.
        pub suspects: Vec<StallReport>,
        /// Decisions about queued requests, which have left the queue.
        pub queue_decisions: Vec<(TicketKey, PlacementDecision)>,
        /// Changes of the paces of groups.
        pub paces: PaceTick,
        /// Shortages that began or ended, for the log and the metrics.
        pub shortages: Vec<ShortageChange>,
    }
}

/// Places the requests of one gateway at the replica groups.
///
/// Places each request where the first event is predicted to arrive within the objective, queues
/// those that have to wait, and watches the streams to find stalled groups. All times are given by
/// the caller, as durations since an arbitrary start.
#[derive(Debug)]
pub struct PlacementScheduler {
    pub(super) failure_domain: String,
    pub(super) drained_domains: SmallVec<[String; 2]>,
    pub(super) targets: SlotMap<TargetKey, GroupTarget>,
    /// Targets of each group: more than one only while its head was replaced or restarted.
    targets_by_group: HashMap<GroupIdentity, SmallVec<[TargetKey; 1]>>,
    pub(super) attempts: SlotMap<AttemptKey, AttemptRecord>,
    pub(super) wait_queue: WaitQueue,
    /// Load reports of the other gateways.
    pub peers: PeerLoads,
    /// Shares of the accounts; none when the settings don't ask for them.
    pub shares: Option<AccountShares>,
    pub(super) profiles: HashMap<String, EngineProfile>,
    /// Estimated engine time of all requests so far in milliseconds, by model.
    pub(super) work_ms: HashMap<String, f64>,
    /// Quantile of the prompt sizes by route.
    pub(super) prompt_sizes: HashMap<String, SizeQuantile>,
    /// Means over the requests by model.
    pub(super) request_means: HashMap<String, RequestMeans>,
    /// Arrivals at this gateway by model.
    pub(super) arrival_rates: HashMap<String, ArrivalRate>,
    /// True when free slots are divided among the gateways.
    pub(super) divides_slots: bool,
    /// Start of the random numbers, which differs between gateways.
    pub(super) seed: u64,
    /// Revision of the fleet and version of the routes at the last sync.
    synced_versions: Option<(u64, u64)>,
    /// Time of the last check for stalls.
    pub(super) checked_at: Option<Duration>,
    /// Paces of groups that have just opened or recovered; none when not enabled.
    pub(super) pacing: Option<GroupPacing>,
    pub(super) random: SmallRng,
    /// Permits for cold servers; the node shares its own with the plain balancer.
    pub cold: ColdGate,
}

impl PlacementScheduler {
    /// Creates the scheduler of a gateway in `failure_domain`. `seed` starts the random numbers
    /// that spread the requests, and should differ between gateways.
    #[must_use]
    pub fn new(failure_domain: &str, seed: u64) -> Self {
        Self {
            failure_domain: failure_domain.to_owned(),
            drained_domains: SmallVec::new(),
            targets: SlotMap::with_key(),
            targets_by_group: HashMap::new(),
            attempts: SlotMap::with_key(),
            wait_queue: WaitQueue::default(),
            peers: PeerLoads::default(),
            shares: None,
            profiles: HashMap::new(),
            work_ms: HashMap::new(),
            prompt_sizes: HashMap::new(),
            request_means: HashMap::new(),
            arrival_rates: HashMap::new(),
            divides_slots: false,
            seed,
            synced_versions: None,
            checked_at: None,
            pacing: None,
            random: SmallRng::seed_from_u64(seed),
            cold: ColdGate::default(),
        }
    }

    /// Updates the groups of the servers that have changed since the last call; all groups, and the
    /// engine figures, when `table` is another one.
    pub fn sync(&mut self, fleet: &FleetView, table: &RouteTable) {
        let synced_versions = Some((fleet.revision(), table.version()));
        if self.synced_versions == synced_versions {
            return;
        }
        let previous = std::mem::replace(&mut self.synced_versions, synced_versions);
        let revision = previous.filter(|(_, routes)| *routes == table.version());
        let changes = revision.and_then(|(revision, _)| fleet.changes_since(revision));
        let Some(changes) = changes else {
            self.sync_all(fleet, table);
            return;
        };
        for change in changes {
            for group in &change.groups {
                self.update_group(fleet, group);
            }
        }
    }

    fn sync_all(&mut self, fleet: &FleetView, table: &RouteTable) {
        for service in &table.rules().services {
            if let Some(profile) = &service.engine {
                self.profiles.insert(service.name.clone(), profile.clone());
            }
        }
        let known: Vec<GroupIdentity> = self.targets_by_group.keys().cloned().collect();
        for group in &known {
            self.update_group(fleet, group);
        }
        for group in fleet.groups() {
            self.update_group(fleet, group);
        }
    }

    /// Opens, adds or closes the targets of a group as the entries of its members say. A closed one
    /// is kept while own requests run there.
    fn update_group(&mut self, fleet: &FleetView, group: &GroupIdentity) {
        let known = self.targets_by_group.get(group).cloned();
        for key in known.iter().flatten() {
            self.targets[*key].open = false;
        }
        let members = fleet.members_of(group);
        for member in &members {
            if let Some(entry) = fleet.get(member) {
                self.update_target(fleet, entry, &members);
            }
        }
        for key in known.iter().flatten() {
            self.drop_unused(*key);
        }
    }

    /// Drops a target that takes no new requests once the last own request there has ended.
    fn drop_unused(&mut self, key: TargetKey) {
        let target = &self.targets[key];
        if target.open || target.running > 0 {
            return;
        }
        let group = target.identity();
        self.targets.remove(key);
        if let Some(keys) = self.targets_by_group.get_mut(&group) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.targets_by_group.remove(&group);
            }
        }
    }

    /// Adds the group of which `entry` is the head, or opens it again, if the group accepts
    /// requests and all its members are known.
    fn update_target(&mut self, fleet: &FleetView, entry: &BackendEntry, members: &[String]) {
        if entry.leaving || !entry.leads_open_group() {
            return;
        }
        let (Some(member), Some(model)) = (&entry.membership, &entry.model) else {
            return;
        };
        let profile = self.profiles.get(&entry.service);
        let Some(profile) = profile.and_then(|profile| profile.model(model)) else {
            return;
        };
        if members.len() != profile.size {
            return;
        }
        let group = GroupIdentity {
            group: member.group.clone(),
            epoch: member.epoch,
        };
        let paused_until = fleet.paused_until(&entry.id, entry.born_ms);
        let keys = self.targets_by_group.entry(group).or_default();
        for key in keys.iter() {
            let target = &mut self.targets[*key];
            if target.head == entry.id && target.head_born_ms == entry.born_ms {
                target.open = true;
                target.paused_until = paused_until;
                if target.members[..] != *members {
                    target.members = members.into();
                }
                return;
            }
        }
        let key = self.targets.insert(GroupTarget {
            service: entry.service.clone(),
            model: model.clone(),
            group: member.group.clone(),
            epoch: member.epoch,
            tag: GroupTag::of(&member.group, member.epoch),
            head: entry.id.clone(),
            head_born_ms: entry.born_ms,
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            members: members.into(),
            open: true,
            running: 0,
            freed_slots: FreedSlots::default(),
            slot_claims: SlotClaims::default(),
            backlog_tokens: 0.0,
            suspect_until: Duration::ZERO,
            paused_until,
            last_event: None,
            silent_since: Duration::ZERO,
            correction: 1.0,
            correction_at: Duration::ZERO,
            pace: GroupPacing::first_pace(self.pacing.as_ref()),
            usability: GroupUsability::Unknown,
        });
        keys.push(key);
    }

    /// Groups that accept requests, suspect ones included.
    pub fn open_targets(&self) -> impl Iterator<Item = &GroupTarget> {
        self.targets.values().filter(|target| target.open)
    }

    /// Names and epochs of the groups that are suspect at `now`.
    #[must_use]
    pub fn suspects(&self, now: Duration) -> Vec<(String, u64)> {
        let is_suspect = |target: &&GroupTarget| now < target.suspect_until;
        let suspects = self.targets.values().filter(is_suspect);
        suspects
            .map(|target| (target.group.clone(), target.epoch))
            .collect()
    }

    /// Load that this gateway has put on each group, for its load reports to the other gateways.
    /// Groups without running requests are left out.
    #[must_use]
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        let mut loads = Vec::new();
        for target in self.targets.values() {
            if target.running == 0 {
                continue;
            }
            // A backlog is positive and far below `u32::MAX` tokens.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let backlog_tokens = target.backlog_tokens.max(0.0) as u32;
            loads.push(PeerLoad {
                group: target.tag,
                running: u16::try_from(target.running).unwrap_or(u16::MAX),
                backlog_tokens,
            });
        }
        loads
    }

    /// Number of this gateway's requests that run at replica groups.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Decides about a new request: places it, queues it or refuses it.
    pub fn arrive(&mut self, now: Duration, request: &PlacementRequest) -> PlacementDecision {
        self.record_work(request);
        self.record_prompt_size(request);
        self.record_arrival(now, &request.model);
        if let Some(refusal) = self.refuse_by_share(now, request) {
            return refusal;
        }
        let decision = self.decide(now, request);
        self.note_decision(now, request, &decision, None);
        decision
    }

    fn decide(&mut self, now: Duration, request: &PlacementRequest) -> PlacementDecision {
        // Queued requests for the model go first unless their class comes later.
        let is_first = self
            .wait_queue
            .count_ahead(&request.model, request.placement_class)
            == 0;
        self.offer_to_arrival(now, request, is_first);
        if is_first && let Some(placement) = self.try_place(now, request) {
            return PlacementDecision::Place(placement);
        }
        if let Some(decision) = self.place_late_or_refuse(now, request) {
            return decision;
        }
        if let Some(decision) = self.refuse_beyond_permits(now, request) {
            return decision;
        }
        match self.wait_queue.add(now, request.clone()) {
            Some(ticket) => PlacementDecision::Wait(ticket),
            None => refuse(now, request, RefusalCause::QueueFull),
        }
    }

    /// Removes a queued request whose caller has left. Does nothing for requests already decided.
    pub fn withdraw(&mut self, ticket: TicketKey) {
        self.wait_queue.remove(ticket);
    }

    /// Records one event of an attempt; see [`Self::note_events`].
    pub fn note_event(&mut self, now: Duration, key: AttemptKey) -> Option<(Duration, Duration)> {
        self.note_events(now, key, 1)
    }

    /// Records `count` events of an attempt that arrived together. When the first event is among
    /// them, returns the observed and the predicted time to the first event.
    pub fn note_events(
        &mut self,
        now: Duration,
        key: AttemptKey,
        count: u32,
    ) -> Option<(Duration, Duration)> {
        let attempt = self.attempts.get_mut(key)?;
        let is_first = attempt.last_event.is_none();
        attempt.last_event = Some(now);
        attempt.silent_since = now;
        attempt.events += count;
        attempt.moved = false;
        let target = self.targets.get_mut(attempt.target)?;
        target.last_event = Some(now);
        target.silent_since = now;
        target.suspect_until = Duration::ZERO;
        if !is_first {
            return None;
        }
        target.backlog_tokens = (target.backlog_tokens - attempt.backlog_tokens).max(0.0);
        let observed = now.saturating_sub(attempt.sent_at);
        target.note_paced_event(now, attempt, observed);
        target.note_first_event(now, attempt.predicted, observed);
        Some((observed, attempt.predicted))
    }

    /// Removes an attempt that has ended, successfully or not, and frees its slot.
    pub fn ended(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        // The last tick is recent enough: the slot counts as freed by this gateway a little shorter.
        target.freed_slots.add(self.checked_at.unwrap_or_default());
        if attempt.events > 0
            && let Some(means) = self.request_means.get_mut(&target.model)
        {
            means.observe_answer(f64::from(attempt.events));
        }
        if attempt.last_event.is_none() {
            target.backlog_tokens = (target.backlog_tokens - attempt.backlog_tokens).max(0.0);
        }
        self.drop_unused(attempt.target);
    }

    /// Marks a group as suspect, because one of its requests failed.
    pub fn suspect(&mut self, now: Duration, group: &str, epoch: u64) {
        let keys = self.targets_by_group.get(&GroupIdentity {
            group: group.to_owned(),
            epoch,
        });
        for key in keys.cloned().into_iter().flatten() {
            let duration = self.suspect_duration(now, &self.targets[key].head);
            self.targets[key].suspect_until = now + duration;
        }
    }

    /// Updates everything that depends on the time, finds stalled groups and decides about queued
    /// requests. To be called at short intervals.
    pub fn tick(&mut self, now: Duration) -> SchedulerTick {
        let mut tick = SchedulerTick::default();
        self.peers.expire(now);
        for target in self.targets.values_mut() {
            target.decay_correction(now);
        }
        self.find_stalls(now, &mut tick);
        self.update_paces(now, &mut tick.paces);
        if let Some(shares) = &mut self.shares {
            tick.shortages = shares.tick(now);
        }
        self.pump(now, &mut tick);
        tick
    }

    /// Decides about the queued requests: places those that fit into free slots and refuses those
    /// that can no longer meet their limits. The decisions are added to `tick`.
    pub fn pump(&mut self, now: Duration, tick: &mut SchedulerTick) {
        if self.wait_queue.is_empty() {
            return;
        }
        self.offer_to_queue(now);
        let profiles = &self.profiles;
        let prefill = |request: &PlacementRequest| {
            let profile = profiles.get(&request.service);
            let millis = profile.map_or(0.0, |profile| {
                profile.prefill_ms(f64::from(request.prompt_tokens))
            });
            from_millis(millis)
        };
        let order = self
            .wait_queue
            .order(prefill, |request| self.used_share(now, request));
        for key in order {
            let Some(waiting) = self.wait_queue.get(key).cloned() else {
                continue;
            };
            let request = &waiting.request;
            let decision = match self.try_place(now, request) {
                Some(placement) => Some(PlacementDecision::Place(placement)),
                None => self.place_late_or_refuse(now, request),
            };
            let Some(decision) = decision else {
                continue;
            };
            self.wait_queue.remove(key);
            self.note_decision(now, request, &decision, Some(waiting.queued_at));
            tick.queue_decisions.push((key, decision));
        }
    }
}
