use {
    super::{
        ClusterView, Configuration, DatagramPacker, DropReason, ExchangeAction, ExchangeEvent,
        FULL_PEERS, LocalUpdate, PeerCodec, PeerDatagram, PeerTable, ReplayGuard, SealKind,
        alive_table::AliveTable, config_learner::ConfigLearner,
    },
    crate::wire::{
        AgedBeat, AgedHeartbeat, DomainDigest, DropCount, PeerHeartbeat, PeerMessage, PeerReply,
        PeerRequest, ProcessRole, ProcessStatus, SuspectEntry, UsageEntry, VersionedText,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between two [`ExchangeEvent::Tick`]s.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);
/// Time between two rounds of heartbeats.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Random peers of a round.
const ROUND_PEERS: usize = 3;
/// Random peers to which a process sends what it is the source of.
const SOURCE_PEERS: usize = 6;
/// Random peers to which a process forwards what it has learned.
pub(super) const FORWARD_PEERS: usize = 3;
/// Peers that receive the account usage of one second when there are no more.
const USAGE_PEERS: usize = 12;
/// Peers that receive it in rotation when there are more. With 12, a process
/// among 390 sent 13.9 KB/s, above its 12 KB/s.
const USAGE_PEERS_IN_TURN: usize = 8;
/// Account entries in one message; at most 1,000 bytes with names of 64.
const USAGE_ENTRIES: usize = 10;
/// Heartbeats of other processes in a round, when the peers are few. With 6,
/// heartbeats among 12 processes were up to 2.5 s old; gateways take a peer as
/// unreachable after 3 s.
const ROUND_HEARTBEATS: usize = 12;
/// The same when the peers are many, to stay below 12 KB/s.
const ROUND_HEARTBEATS_OF_MANY: usize = 2;
/// Marks of other processes in a round, when the peers are many.
const ROUND_MARKS: usize = 40;
/// More peers than this are many.
const FEW_PEERS: usize = 60;
/// Older heartbeats are not passed on, so that a process that has gone is
/// forgotten everywhere and cannot return between two peers.
const PASS_ON_AGE: Duration = Duration::from_secs(30);
/// Silent processes are forgotten after this time.
const FORGET_AGE: Duration = Duration::from_mins(10);
/// Time for which a changed suspect is repeated in rounds.
const SUSPECT_REPEAT: Duration = Duration::from_secs(3);
/// Suspects in a round.
const ROUND_SUSPECTS: usize = 4;
/// Most suspects in the view; those changed longest ago are dropped.
const MAX_SUSPECTS: usize = 4_096;
/// Above this number of peers, heartbeats are published with each round only,
/// because copying the view costs up to 1 ms.
const QUICK_PUBLISH_PEERS: usize = 50;

/// Identity of a process and its place in the exchange.
#[derive(Debug, Clone)]
pub struct ExchangeSettings {
    /// Process name, unique in the deployment.
    pub process: String,
    /// Role.
    pub role: ProcessRole,
    /// Failure domain.
    pub failure_domain: String,
    /// Random number chosen at the start.
    pub boot: u64,
    /// Start time in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Own peer address.
    pub address: SocketAddr,
    /// Peer addresses known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates the exchange.
    pub key: [u8; 32],
    /// Seed of the choice of peers.
    pub seed: u64,
}

/// Decides what a process tells to which peer and merges what it hears.
#[derive(Debug, Clone)]
pub struct PeerExchange {
    pub(super) codec: PeerCodec,
    pub(super) heartbeat: PeerHeartbeat,
    pub(super) table: PeerTable,
    pub(super) rng: ChaCha8Rng,
    sequence: u64,
    pub(super) replay: ReplayGuard,
    pub(super) view: ClusterView,
    pub(super) learner: ConfigLearner,
    pub(super) domains: Vec<DomainDigest>,
    pub(super) group_pulls: BTreeMap<SocketAddr, Duration>,
    pub(super) suspect_changes: BTreeMap<u64, Duration>,
    pub(super) usage_boots: BTreeMap<String, u64>,
    pub(super) alive: AliveTable,
    pub(super) forwarded_beats: BTreeMap<String, Duration>,
    drops: BTreeMap<DropReason, u64>,
    pub(super) dirty: bool,
    wants_ready: bool,
    next_round: Duration,
    next_publish: Duration,
}

impl PeerExchange {
    /// Creates the exchange of a process.
    #[must_use]
    pub fn new(settings: ExchangeSettings) -> Self {
        Self {
            codec: PeerCodec::new(settings.key),
            table: PeerTable::new(settings.address, &settings.seeds),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            heartbeat: PeerHeartbeat {
                process: settings.process,
                role: settings.role,
                failure_domain: settings.failure_domain,
                boot: settings.boot,
                started_ms: settings.started_ms,
                sequence: 0,
                address: settings.address,
                config_version: 0,
                ready: false,
            },
            sequence: 0,
            replay: ReplayGuard::default(),
            view: ClusterView::default(),
            learner: ConfigLearner::default(),
            domains: Vec::new(),
            group_pulls: BTreeMap::new(),
            suspect_changes: BTreeMap::new(),
            usage_boots: BTreeMap::new(),
            alive: AliveTable::default(),
            forwarded_beats: BTreeMap::new(),
            drops: BTreeMap::new(),
            dirty: false,
            wants_ready: false,
            next_round: Duration::ZERO,
            next_publish: Duration::ZERO,
        }
    }

    /// Handles an event.
    pub fn step(&mut self, now: Duration, event: ExchangeEvent, out: &mut Vec<ExchangeAction>) {
        match event {
            ExchangeEvent::Start => self.start_learning(now, out),
            ExchangeEvent::Tick => self.tick(now, out),
            ExchangeEvent::Datagram { from, bytes } => self.receive(now, from, &bytes, out),
            ExchangeEvent::Local(update) => self.tell(now, update, out),
            ExchangeEvent::Stored(configuration) => self.hold(now, configuration, out),
            ExchangeEvent::StoreEmpty => {
                self.explain("no configuration has been applied yet", out);
            }
            ExchangeEvent::StoreFailed(error) => {
                let problem = format!("the platform does not answer and no peer has one: {error}");
                self.explain(&problem, out);
            }
            ExchangeEvent::Leaving(leaving) => {
                if self.view.leaving != leaving {
                    self.view.leaving = leaving;
                    out.push(ExchangeAction::Publish);
                }
            }
            ExchangeEvent::Pulled { from, reply } => self.take_reply(now, from, reply, out),
            ExchangeEvent::PullFailed { from, request } => {
                self.pull_failed(now, from, &request, out);
            }
        }
    }

    /// The view as learned so far.
    #[must_use]
    pub fn view(&self) -> &ClusterView {
        &self.view
    }

    /// The own heartbeat.
    #[must_use]
    pub fn heartbeat(&self) -> &PeerHeartbeat {
        &self.heartbeat
    }

    /// Random number chosen at the start.
    #[must_use]
    pub fn boot(&self) -> u64 {
        self.heartbeat.boot
    }

    /// Datagrams dropped for a reason.
    #[must_use]
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.drops.get(&reason).copied().unwrap_or(0)
    }

    /// Answers a call of a peer or an operator.
    #[must_use]
    pub fn answer(&self, now: Duration, request: &PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Configuration => {
                let configuration = self.view.configuration.as_ref();
                let text = |configuration: &Arc<Configuration>| VersionedText {
                    version: configuration.version,
                    text: configuration.text.clone(),
                };
                PeerReply::Configuration(configuration.map(text))
            }
            PeerRequest::Groups(domains) => PeerReply::Groups(self.view.groups_of(domains)),
            PeerRequest::Status => PeerReply::Status(self.status(now)),
        }
    }

    fn status(&self, now: Duration) -> ProcessStatus {
        let age_ms = |heard: Duration| {
            u64::try_from(now.saturating_sub(heard).as_millis()).unwrap_or(u64::MAX)
        };
        let mut status = ProcessStatus {
            heartbeat: self.heartbeat.clone(),
            config_problem: self.view.config_problem.clone(),
            peers: Vec::new(),
            controllers: Vec::new(),
            dropped: Vec::new(),
        };
        for sighting in self.view.peers.values() {
            status.peers.push(AgedHeartbeat {
                heartbeat: sighting.heartbeat.clone(),
                age_ms: age_ms(sighting.heard_at),
            });
        }
        for sighting in self.view.controllers.values() {
            status.controllers.push(AgedBeat {
                beat: sighting.beat.clone(),
                age_ms: age_ms(sighting.heard_at),
            });
        }
        for (reason, count) in &self.drops {
            status.dropped.push(DropCount {
                reason: reason.to_string(),
                count: *count,
            });
        }
        status
    }

    fn tick(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        self.finish_learning(now, out);
        if now >= self.next_round {
            self.next_round = now + ROUND_PERIOD;
            self.forget(now);
            self.round(now, out);
        }
        if self.dirty && now >= self.next_publish {
            self.dirty = false;
            let quick = self.table.all().len() <= QUICK_PUBLISH_PEERS;
            self.next_publish = now + if quick { TICK_PERIOD } else { ROUND_PERIOD };
            out.push(ExchangeAction::Publish);
        }
    }

    fn round(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        self.heartbeat.sequence += 1;
        let mut messages = vec![
            PeerMessage::Heartbeat(self.heartbeat.clone()),
            PeerMessage::Digest(self.view.digest(&self.domains)),
        ];
        messages.extend(self.fresh_heartbeats(now));
        if self.table.all().len() > FULL_PEERS {
            let (alive, view) = (&self.alive, &self.view);
            let marks = alive.choose(ROUND_MARKS, PASS_ON_AGE, now, view, &mut self.rng);
            messages.push(PeerMessage::Alive(marks));
        }
        let suspects = self.fresh_suspects(now);
        if !suspects.is_empty() {
            messages.push(PeerMessage::Suspects(suspects));
        }
        let targets = self.table.choose(ROUND_PEERS, None, &mut self.rng);
        self.send(&targets, messages, out);
    }

    fn fresh_heartbeats(&mut self, now: Duration) -> Vec<PeerMessage> {
        let mut fresh = Vec::new();
        for sighting in self.view.peers.values() {
            if now.saturating_sub(sighting.heard_at) <= PASS_ON_AGE {
                fresh.push(&sighting.heartbeat);
            }
        }
        let few = self.table.all().len() <= FEW_PEERS;
        let most = if few {
            ROUND_HEARTBEATS
        } else {
            ROUND_HEARTBEATS_OF_MANY
        };
        let mut messages = Vec::new();
        while messages.len() < most && !fresh.is_empty() {
            let chosen = fresh.swap_remove(self.rng.random_range(0..fresh.len()));
            messages.push(PeerMessage::Heartbeat(chosen.clone()));
        }
        messages
    }

    fn fresh_suspects(&self, now: Duration) -> Vec<SuspectEntry> {
        let mut suspects = Vec::new();
        for (fingerprint, changed) in &self.suspect_changes {
            if now.saturating_sub(*changed) > SUSPECT_REPEAT || suspects.len() >= ROUND_SUSPECTS {
                continue;
            }
            suspects.extend(self.view.suspects.get(fingerprint).cloned());
        }
        suspects
    }

    fn tell(&mut self, now: Duration, update: LocalUpdate, out: &mut Vec<ExchangeAction>) {
        let mut messages = Vec::new();
        match update {
            LocalUpdate::Groups(entries) => {
                for entry in entries {
                    if self.view.merge_group(entry.clone()) {
                        messages.push(PeerMessage::Groups(vec![entry]));
                    }
                }
                if messages.is_empty() {
                    return;
                }
                self.domains = self.view.domain_digests();
                out.push(ExchangeAction::Publish);
            }
            LocalUpdate::Controller(beat) => {
                if self.view.merge_controller(beat.clone(), now) {
                    messages.push(PeerMessage::Controller(beat));
                    self.dirty = true;
                }
            }
            LocalUpdate::Usage(entries) => return self.tell_usage(&entries, out),
            LocalUpdate::Suspects(entries) => {
                for entry in entries {
                    if self.learn_suspect(now, entry.clone()) {
                        messages.push(PeerMessage::Suspects(vec![entry]));
                    }
                }
                out.push(ExchangeAction::Publish);
            }
            LocalUpdate::Ready(ready) => {
                self.wants_ready = ready;
                self.update_readiness();
                return;
            }
        }
        let targets = self.table.choose(SOURCE_PEERS, None, &mut self.rng);
        self.send(&targets, messages, out);
    }

    fn tell_usage(&mut self, entries: &[UsageEntry], out: &mut Vec<ExchangeAction>) {
        let few = self.table.all().len() <= USAGE_PEERS;
        let count = if few {
            USAGE_PEERS
        } else {
            USAGE_PEERS_IN_TURN
        };
        let targets = self.table.rotate(count);
        // The heartbeat tells a restarted gateway's usage from that of its former boot.
        self.heartbeat.sequence += 1;
        let mut messages = vec![PeerMessage::Heartbeat(self.heartbeat.clone())];
        for part in entries.chunks(USAGE_ENTRIES) {
            messages.push(PeerMessage::Usage {
                process: self.heartbeat.process.clone(),
                entries: part.to_vec(),
            });
        }
        self.send(&targets, messages, out);
    }

    /// A process without a configuration is not ready, whatever it says itself.
    pub(super) fn update_readiness(&mut self) {
        let configured = self.view.configuration.is_some();
        self.heartbeat.ready = self.wants_ready && configured;
    }

    /// Merges a suspect and keeps their number bounded.
    pub(super) fn learn_suspect(&mut self, now: Duration, entry: SuspectEntry) -> bool {
        let fingerprint = entry.fingerprint;
        if !self.view.merge_suspect(entry) {
            return false;
        }
        self.suspect_changes.insert(fingerprint, now);
        if self.view.suspects.len() > MAX_SUSPECTS {
            let changes = self.suspect_changes.iter();
            let oldest = changes.min_by_key(|(_, changed)| **changed);
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.suspect_changes.remove(&oldest);
                self.view.suspects.remove(&oldest);
            }
        }
        true
    }

    fn forget(&mut self, now: Duration) {
        let before = self.view.peers.len();
        let peers = &mut self.view.peers;
        peers.retain(|_, sighting| now.saturating_sub(sighting.heard_at) <= FORGET_AGE);
        let usage = &mut self.view.usage;
        usage.retain(|_, known| now.saturating_sub(known.heard_at) <= FORGET_AGE);
        self.alive.forget(&self.view);
        if self.view.peers.len() != before {
            self.learn_addresses();
            let peers = &self.view.peers;
            self.usage_boots
                .retain(|process, _| peers.contains_key(process));
        }
    }

    pub(super) fn learn_addresses(&mut self) {
        let peers = self.view.peers.values();
        let addresses = peers.map(|sighting| sighting.heartbeat.address);
        self.table.learn(addresses);
    }

    /// Counts a dropped datagram.
    pub(super) fn drop_datagram(&mut self, reason: DropReason) {
        *self.drops.entry(reason).or_default() += 1;
    }

    /// Sends messages in as few datagrams as possible. What does not fit into a
    /// datagram is announced by its digest and fetched over TCP.
    pub(super) fn send(
        &mut self,
        targets: &[SocketAddr],
        messages: Vec<PeerMessage>,
        out: &mut Vec<ExchangeAction>,
    ) {
        if targets.is_empty() || messages.is_empty() {
            return;
        }
        let mut packer = DatagramPacker::default();
        let mut oversize = false;
        for message in messages {
            oversize |= !packer.push(message);
        }
        if oversize {
            packer.push(PeerMessage::DomainDigests {
                domains: self.domains.clone(),
                last: true,
            });
        }
        for messages in packer.finish() {
            self.sequence += 1;
            let datagram = PeerDatagram {
                boot: self.heartbeat.boot,
                sequence: self.sequence,
                messages,
            };
            out.push(ExchangeAction::Send {
                targets: SmallVec::from_slice(targets),
                bytes: self.codec.seal(SealKind::Datagram, &datagram),
            });
        }
    }
}
