use {
    super::{
        AttemptKey, AttemptRecord, GroupCandidate, GroupLoad, GroupTag, GroupTarget, Lateness,
        ModelMix, PeerLoad, PeerLoads, Placement, PlacementAsk, PlacementVerdict, RefusalCause,
        SizeQuantile, TargetKey, TicketKey, WaitList, choose_group,
    },
    crate::core::{
        fleet::{BackendEntry, FleetView},
        routes::{EngineShape, ModelShape, RouteTable},
    },
    rand::{SeedableRng, rngs::SmallRng},
    slotmap::SlotMap,
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// Time for which a suspect group is avoided unless an event arrives from it.
pub(super) const SUSPECT_FOR: Duration = Duration::from_secs(2);

/// Part of the objective kept for the way to the caller and late reports.
pub(super) const OBJECTIVE_RESERVE: Duration = Duration::from_millis(15);

/// Shortest and longest time at which a refused caller is told to return.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(1_500));

value_type! {
    /// What a tick of the board found.
    #[derive(Default)]
    pub struct BoardTick {
        /// Attempts whose group is lost: move them.
        pub moves: Vec<AttemptKey>,
        /// Groups that became suspect, for the controller.
        pub suspects: Vec<(String, u64)>,
        /// Verdicts on requests that waited.
        pub verdicts: Vec<(TicketKey, PlacementVerdict)>,
    }
}

/// Places the requests of one gateway at the replica groups.
#[derive(Debug)]
pub struct PlacementBoard {
    pub(super) failure_domain: String,
    pub(super) targets: SlotMap<TargetKey, GroupTarget>,
    pub(super) attempts: SlotMap<AttemptKey, AttemptRecord>,
    waiting: WaitList,
    /// What the other gateways have running.
    pub peers: PeerLoads,
    pub(super) shapes: HashMap<String, EngineShape>,
    pub(super) work_ms: HashMap<String, f64>,
    pub(super) sizes: HashMap<String, SizeQuantile>,
    pub(super) mixes: HashMap<String, ModelMix>,
    seen: Option<(u64, u64)>,
    random: SmallRng,
}

impl PlacementBoard {
    /// Creates the board of a gateway in `failure_domain`.
    #[must_use]
    pub fn new(failure_domain: &str, seed: u64) -> Self {
        Self {
            failure_domain: failure_domain.to_owned(),
            targets: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            waiting: WaitList::default(),
            peers: PeerLoads::default(),
            shapes: HashMap::new(),
            work_ms: HashMap::new(),
            sizes: HashMap::new(),
            mixes: HashMap::new(),
            seen: None,
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the fleet and the shapes of the engines.
    pub fn sync(&mut self, fleet: &FleetView, table: &RouteTable) {
        let seen = Some((fleet.revision(), table.version()));
        if self.seen == seen {
            return;
        }
        self.seen = seen;
        for service in &table.rules().services {
            if let Some(shape) = &service.engine {
                self.shapes.insert(service.name.clone(), shape.clone());
            }
        }
        let members = members_by_group(fleet);
        for target in self.targets.values_mut() {
            target.open = false;
        }
        for entry in fleet.entries() {
            self.take_head(entry, &members);
        }
        let attempts = &self.attempts;
        self.targets.retain(|key, target| {
            target.open || attempts.values().any(|attempt| attempt.target == key)
        });
    }

    fn take_head(&mut self, entry: &BackendEntry, members: &MembersByGroup) {
        if entry.leaving || !entry.leads_open_group() {
            return;
        }
        let (Some(member), Some(model)) = (&entry.membership, &entry.model) else {
            return;
        };
        let shape = self.shapes.get(&entry.service);
        let Some(shape) = shape.and_then(|shape| shape.model(model)) else {
            return;
        };
        let named = members.get(&(member.group.clone(), member.epoch));
        let Some(named) = named.filter(|named| named.len() == shape.size) else {
            return;
        };
        let known = self.targets.values_mut().find(|target| {
            target.epoch == member.epoch && target.group == member.group && target.head == entry.id
        });
        if let Some(target) = known {
            target.open = true;
            return;
        }
        self.targets.insert(GroupTarget {
            service: entry.service.clone(),
            model: model.clone(),
            group: member.group.clone(),
            epoch: member.epoch,
            tag: GroupTag::of(&member.group, member.epoch),
            head: entry.id.clone(),
            address: entry.address,
            failure_domain: entry.failure_domain.clone(),
            members: named.clone(),
            open: true,
            running: 0,
            backlog_tokens: 0.0,
            suspect_until: Duration::ZERO,
            last_event: Duration::ZERO,
            bias: 1.0,
            bias_at: Duration::ZERO,
        });
    }

    /// Groups that take requests.
    pub fn open_targets(&self) -> impl Iterator<Item = &GroupTarget> {
        self.targets.values().filter(|target| target.open)
    }

    /// Groups that are avoided after a stall.
    #[must_use]
    pub fn suspects(&self, now: Duration) -> Vec<(String, u64)> {
        let suspect = |target: &&GroupTarget| now < target.suspect_until;
        let suspects = self.targets.values().filter(suspect);
        suspects
            .map(|target| (target.group.clone(), target.epoch))
            .collect()
    }

    /// Own load at each group, for the other gateways.
    #[must_use]
    pub fn own_loads(&self) -> Vec<PeerLoad> {
        let mut loads = Vec::new();
        for target in self.targets.values() {
            if target.running == 0 {
                continue;
            }
            // The tokens of a prompt are positive and far below the bound.
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

    /// Own requests that run at replica groups.
    #[must_use]
    pub fn running(&self) -> usize {
        self.attempts.len()
    }

    /// Places a request, lets it wait, or turns it away.
    pub fn arrive(&mut self, now: Duration, ask: &PlacementAsk) -> PlacementVerdict {
        self.count_work(ask);
        self.count_size(ask);
        // Whoever waits already goes first.
        if self.waiting.ahead(&ask.model, ask.lateness) == 0
            && let Some(placement) = self.place(now, ask)
        {
            return PlacementVerdict::Place(placement);
        }
        if let Some(cause) = self.hopeless(now, ask) {
            return refuse(now, ask, cause);
        }
        match self.waiting.add(now, ask.clone()) {
            Some(ticket) => PlacementVerdict::Wait(ticket),
            None => refuse(now, ask, RefusalCause::QueueFull),
        }
    }

    /// Forgets a request that waits; its caller has left.
    pub fn withdraw(&mut self, ticket: TicketKey) {
        self.waiting.remove(ticket);
    }

    /// The reason for which the request can no longer be served well.
    fn hopeless(&self, now: Duration, ask: &PlacementAsk) -> Option<RefusalCause> {
        if now >= ask.give_up_at {
            return Some(RefusalCause::TooLate);
        }
        let fits = |target: &&GroupTarget| target.open && target.model == ask.model;
        let admitted = self.admitted_tokens(ask);
        let mut fastest: Option<Duration> = None;
        for target in self.targets.values().filter(fits) {
            let shape = self.shapes.get(&ask.service)?;
            let model = shape.model(&ask.model)?;
            let tokens = admissible(ask, target, (shape, model), admitted);
            let empty = target.predict(shape, model, &GroupLoad::IDLE, tokens);
            fastest = Some(fastest.map_or(empty, |other| other.min(empty)));
        }
        if ask.lateness != Lateness::InTime {
            let waits = now < ask.wait_until;
            return (!waits).then_some(RefusalCause::TooLate);
        }
        let Some(fastest) = fastest else {
            return Some(RefusalCause::NoGroup);
        };
        let late = now + fastest + OBJECTIVE_RESERVE > ask.in_time_until;
        late.then_some(RefusalCause::TooLate)
    }

    fn place(&mut self, now: Duration, ask: &PlacementAsk) -> Option<Placement> {
        let shape = self.shapes.get(&ask.service)?;
        let model = shape.model(&ask.model)?;
        let admitted = self.admitted_tokens(ask);
        let mut candidates: SmallVec<[GroupCandidate; 16]> = SmallVec::new();
        for (key, target) in &self.targets {
            let fits = target.open && target.model == ask.model && target.service == ask.service;
            if !fits || now < target.suspect_until || is_avoided(ask, target) {
                continue;
            }
            let load = self.load_of(target);
            let first = target.predict(shape, model, &load, f64::from(ask.prompt_tokens));
            let admitted = admissible(ask, target, (shape, model), admitted);
            let large = target.predict(shape, model, &load, admitted);
            let until = match ask.lateness {
                Lateness::InTime => ask.in_time_until,
                Lateness::Resumed => now + ask.objective,
            };
            let room = f64::from(shape.slots) * most_filled(ask.lateness);
            let full = f64::from(load.running) >= room;
            if full || now + large + OBJECTIVE_RESERVE > until {
                continue;
            }
            candidates.push(GroupCandidate {
                target: key,
                first,
                running: load.running,
                foreign: target.failure_domain != self.failure_domain,
            });
        }
        let gateways = self.peers.gateways() + 1;
        let chosen = choose_group(&candidates, gateways, &mut self.random)?;
        Some(self.start(now, ask, &chosen))
    }

    fn start(&mut self, now: Duration, ask: &PlacementAsk, chosen: &GroupCandidate) -> Placement {
        let key = chosen.target;
        let predicted = chosen.first;
        let target = &mut self.targets[key];
        let backlog_tokens = f64::from(ask.prompt_tokens);
        target.running += 1;
        target.backlog_tokens += backlog_tokens;
        let attempt = self.attempts.insert(AttemptRecord {
            target: key,
            backlog_tokens,
            sent_at: now,
            predicted,
            events: 0,
            last_event: None,
            moved: false,
        });
        Placement {
            attempt,
            group: target.group.clone(),
            epoch: target.epoch,
            head: target.head.clone(),
            address: target.address,
            predicted,
            running: chosen.running,
            peer_age: self.peers.age(now),
        }
    }

    /// Takes the next event of a stream.
    pub fn event(&mut self, now: Duration, key: AttemptKey) -> Option<(Duration, Duration)> {
        self.note_events(now, key, 1)
    }

    /// Takes events of a stream that came at once; returns the time to the
    /// first event and its prediction when the first is among them.
    pub fn note_events(
        &mut self,
        now: Duration,
        key: AttemptKey,
        count: u32,
    ) -> Option<(Duration, Duration)> {
        let attempt = self.attempts.get_mut(key)?;
        let first = attempt.last_event.is_none();
        attempt.last_event = Some(now);
        attempt.events += count;
        let target = self.targets.get_mut(attempt.target)?;
        target.last_event = now;
        target.suspect_until = Duration::ZERO;
        if !first {
            return None;
        }
        target.backlog_tokens = (target.backlog_tokens - attempt.backlog_tokens).max(0.0);
        let seen = now.saturating_sub(attempt.sent_at);
        target.note_first_event(now, attempt.predicted, seen);
        Some((seen, attempt.predicted))
    }

    /// Takes the end of an attempt.
    pub fn ended(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        target.running = target.running.saturating_sub(1);
        if attempt.events > 0
            && let Some(mix) = self.mixes.get_mut(&target.model)
        {
            mix.take_answer(f64::from(attempt.events));
        }
        if attempt.last_event.is_none() {
            target.backlog_tokens = (target.backlog_tokens - attempt.backlog_tokens).max(0.0);
        }
    }

    /// Marks a group as suspect, after a server or a peer said so.
    pub fn suspect(&mut self, now: Duration, group: &str, epoch: u64) {
        for target in self.targets.values_mut() {
            if target.group == group && target.epoch == epoch {
                target.suspect_until = now + SUSPECT_FOR;
            }
        }
    }

    /// Finds stalled groups and serves the requests that wait.
    pub fn tick(&mut self, now: Duration) -> BoardTick {
        let mut tick = BoardTick::default();
        self.peers.expire(now);
        for target in self.targets.values_mut() {
            target.doubt_bias(now);
        }
        self.find_stalls(now, &mut tick);
        self.pump(now, &mut tick);
        tick
    }

    /// Gives free places to requests that wait.
    pub fn pump(&mut self, now: Duration, tick: &mut BoardTick) {
        if self.waiting.is_empty() {
            return;
        }
        let shapes = &self.shapes;
        let order = self.waiting.order(|ask| {
            let shape = shapes.get(&ask.service);
            let millis = shape.map_or(0.0, |shape| shape.prefill_ms(f64::from(ask.prompt_tokens)));
            Duration::from_secs_f64(millis / 1_000.0)
        });
        for key in order {
            let Some(ask) = self.waiting.get(key).map(|ticket| ticket.ask.clone()) else {
                continue;
            };
            if let Some(placement) = self.place(now, &ask) {
                self.waiting.remove(key);
                tick.verdicts
                    .push((key, PlacementVerdict::Place(placement)));
                continue;
            }
            if let Some(cause) = self.hopeless(now, &ask) {
                self.waiting.remove(key);
                tick.verdicts.push((key, refuse(now, &ask, cause)));
            }
        }
    }
}

fn refuse(now: Duration, ask: &PlacementAsk, cause: RefusalCause) -> PlacementVerdict {
    let left = ask.give_up_at.saturating_sub(now) / 4;
    let bounds = RETRY_AFTER_BOUNDS;
    PlacementVerdict::Refuse {
        cause,
        retry_after: left.clamp(bounds.0, bounds.1),
    }
}

/// Prompt size by which a group admits a request: that of the largest prompts,
/// unless they could not be in time there without any other request.
fn admissible(
    ask: &PlacementAsk,
    target: &GroupTarget,
    (shape, model): (&EngineShape, &ModelShape),
    largest: f64,
) -> f64 {
    // By the engine's figures: a group that is slow now must not turn the rule off.
    let idle = target.predict(shape, model, &GroupLoad::IDLE, largest);
    if idle.div_f64(target.bias) + OBJECTIVE_RESERVE <= ask.objective {
        largest
    } else {
        f64::from(ask.prompt_tokens)
    }
}

/// Part of a group's places that requests of a lateness may fill. What is late
/// in any case must not take the places of what can be in time.
const fn most_filled(lateness: Lateness) -> f64 {
    match lateness {
        Lateness::InTime => 1.0,
        Lateness::Resumed => 0.85,
    }
}

type MembersByGroup = HashMap<(String, u64), SmallVec<[String; 4]>>;

fn members_by_group(fleet: &FleetView) -> MembersByGroup {
    let mut members: MembersByGroup = HashMap::new();
    for entry in fleet.entries() {
        let Some(member) = &entry.membership else {
            continue;
        };
        let name = (member.group.clone(), member.epoch);
        members.entry(name).or_default().push(entry.id.clone());
    }
    members
}

fn is_avoided(ask: &PlacementAsk, target: &GroupTarget) -> bool {
    let avoided = ask.avoid.as_ref();
    avoided.is_some_and(|(group, epoch)| *group == target.group && *epoch == target.epoch)
}
