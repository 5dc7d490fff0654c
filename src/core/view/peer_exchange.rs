use {
    super::{
        ClusterView, Configuration, DatagramPacker, DropReason, ExchangeAction, ExchangeEvent,
        LocalUpdate, MAX_BROADCAST_PEERS, PeerCodec, PeerDatagram, PeerTable, ReplayGuard,
        SealKind, alive_table::AliveTable, config_learner::ConfigLearner,
    },
    crate::wire::{
        AgedControllerHeartbeat, AgedHeartbeat, DomainDigest, DropCount, PeerHeartbeat,
        PeerMessage, PeerReply, PeerRequest, ProcessRole, ProcessStatus, SuspectEntry, UsageEntry,
        VersionedText,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    smallvec::SmallVec,
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Time between two [`ExchangeEvent::Tick`]s.
pub const EXCHANGE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two gossip rounds, in which a process sends heartbeats and its digest.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Random peers that receive the messages of a round.
const ROUND_FANOUT: usize = 3;
/// Random peers that receive an update from the process in which it originates.
const SOURCE_FANOUT: usize = 6;
/// Random peers to which a process forwards a change.
pub(super) const FORWARD_FANOUT: usize = 3;
/// Number of peers up to which all of them receive the account usage of one second.
const USAGE_FANOUT: usize = 12;
/// Peers that receive the account usage of one second, in rotation, when there are more. With 12, a
/// process among 390 sent 13.9 KB/s, above its limit of 12 KB/s.
const USAGE_ROTATION_FANOUT: usize = 8;
/// Most account entries in one message; at most 1,000 bytes with names of 64 bytes.
const MAX_USAGE_ENTRIES: usize = 10;
/// Heartbeats of other processes in a round, up to [`MAX_SMALL_CLUSTER_PEERS`]. With 6, heartbeats
/// among 12 processes were up to 2.5 s old; gateways consider a peer unreachable after 3 s.
const MAX_ROUND_HEARTBEATS: usize = 12;
/// Heartbeats of other processes in a round above [`MAX_SMALL_CLUSTER_PEERS`], to stay below
/// 12 KB/s.
const MAX_ROUND_HEARTBEATS_LARGE: usize = 2;
/// Compact heartbeats of other processes in a round, above [`MAX_BROADCAST_PEERS`].
const MAX_ROUND_COMPACT: usize = 40;
/// Number of peers up to which a round carries [`MAX_ROUND_HEARTBEATS`].
const MAX_SMALL_CLUSTER_PEERS: usize = 60;
/// Age above which heartbeats are not forwarded, so that a process that has ended is removed from
/// all views and two peers do not keep sending it back to each other.
const MAX_FORWARD_AGE: Duration = Duration::from_secs(30);
/// Time without a heartbeat, full or compact, after which a process is removed from the view, and
/// age at which usage is removed.
const MAX_SILENCE: Duration = Duration::from_mins(10);
/// Time for which a changed suspect is sent again in each round.
const SUSPECT_REPEAT_TIME: Duration = Duration::from_secs(3);
/// Most suspects in a round.
const MAX_ROUND_SUSPECTS: usize = 4;
/// Most suspects in the view; the one that changed longest ago is dropped first.
const MAX_SUSPECTS: usize = 4_096;
/// Number of peers up to which changed heartbeats are published at each tick. Above it they are
/// published once per round, because copying the view costs up to 1 ms.
const MAX_QUICK_PUBLISH_PEERS: usize = 50;

/// Identity of a process, its peers and the key of the exchange.
#[derive(Debug, Clone)]
pub struct ExchangeSettings {
    /// Process name, unique in the deployment.
    pub process: String,
    /// Whether the process is a gateway or a controller.
    pub role: ProcessRole,
    /// Failure domain in which the process runs.
    pub failure_domain: String,
    /// Boot id: a random number chosen at each start of the process.
    pub boot: u64,
    /// Start time in milliseconds since the Unix epoch, by the wall clock of the process.
    pub started_ms: u64,
    /// Address at which peers reach this process over UDP and TCP.
    pub address: SocketAddr,
    /// Peer addresses from the settings; the address of this process may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates datagrams and calls, shared by all processes of the deployment.
    pub key: [u8; 32],
    /// Seed of the random choice of peers and heartbeats.
    pub seed: u64,
}

/// State machine of the gossip between processes: chooses what is sent to which peers and merges
/// what they send.
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
    /// Time of the last change of each suspect.
    pub(super) suspect_changes: BTreeMap<u64, Duration>,
    /// Boot of each gateway from which the usage in the view comes.
    pub(super) usage_boots: BTreeMap<String, u64>,
    pub(super) alive: AliveTable,
    /// Time of the last forwarded heartbeat of a lease holder, by failure domain.
    pub(super) forwarded_heartbeats: BTreeMap<String, Duration>,
    drop_counts: BTreeMap<DropReason, u64>,
    /// True when the view has changes that were not published.
    pub(super) dirty: bool,
    /// Readiness as last set by [`LocalUpdate::Ready`].
    wants_ready: bool,
    next_round: Duration,
    next_publish: Duration,
}

impl PeerExchange {
    /// Creates an exchange with an empty view.
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
            forwarded_heartbeats: BTreeMap::new(),
            drop_counts: BTreeMap::new(),
            dirty: false,
            wants_ready: false,
            next_round: Duration::ZERO,
            next_publish: Duration::ZERO,
        }
    }

    /// Handles an event at monotonic time `now` and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, event: ExchangeEvent, out: &mut Vec<ExchangeAction>) {
        match event {
            ExchangeEvent::Start => self.start_learning(now, out),
            ExchangeEvent::Tick => self.tick(now, out),
            ExchangeEvent::Datagram { from, bytes } => self.receive(now, from, &bytes, out),
            ExchangeEvent::Local(update) => self.send_update(now, update, out),
            ExchangeEvent::Stored(configuration) => self.receive_config(now, configuration, out),
            ExchangeEvent::StoreEmpty => {
                self.set_config_problem("no configuration has been applied yet", out);
            }
            ExchangeEvent::StoreFailed(error) => {
                let problem = format!("the platform does not answer and no peer has one: {error}");
                self.set_config_problem(&problem, out);
            }
            ExchangeEvent::Leaving(leaving) => {
                if self.view.leaving != leaving {
                    self.view.leaving = leaving;
                    out.push(ExchangeAction::Publish);
                }
            }
            ExchangeEvent::Pulled { from, reply } => self.handle_reply(now, from, reply, out),
            ExchangeEvent::PullFailed { from, request } => {
                self.handle_pull_failure(now, from, &request, out);
            }
        }
    }

    /// The current view.
    #[must_use]
    pub fn view(&self) -> &ClusterView {
        &self.view
    }

    /// The heartbeat of this process, as the next round sends it apart from its sequence.
    #[must_use]
    pub fn heartbeat(&self) -> &PeerHeartbeat {
        &self.heartbeat
    }

    /// Boot id: the random number chosen at the start of this process.
    #[must_use]
    pub fn boot(&self) -> u64 {
        self.heartbeat.boot
    }

    /// Number of datagrams dropped for `reason` since the start.
    #[must_use]
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.drop_counts.get(&reason).copied().unwrap_or(0)
    }

    /// Returns the reply to a call from a peer or an operator.
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
        for record in self.view.peers.values() {
            status.peers.push(AgedHeartbeat {
                heartbeat: record.heartbeat.clone(),
                age_ms: age_ms(record.received_at),
            });
        }
        for record in self.view.controllers.values() {
            status.controllers.push(AgedControllerHeartbeat {
                beat: record.heartbeat.clone(),
                age_ms: age_ms(record.received_at),
            });
        }
        for (reason, count) in &self.drop_counts {
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
            self.next_round = now + ROUND_INTERVAL;
            self.remove_silent_peers(now);
            self.run_round(now, out);
        }
        if self.dirty && now >= self.next_publish {
            self.dirty = false;
            let is_quick = self.table.all().len() <= MAX_QUICK_PUBLISH_PEERS;
            self.next_publish = now
                + if is_quick {
                    EXCHANGE_TICK_INTERVAL
                } else {
                    ROUND_INTERVAL
                };
            out.push(ExchangeAction::Publish);
        }
    }

    fn run_round(&mut self, now: Duration, out: &mut Vec<ExchangeAction>) {
        self.heartbeat.sequence += 1;
        let mut messages = vec![
            PeerMessage::Heartbeat(self.heartbeat.clone()),
            PeerMessage::Digest(self.view.digest(&self.domains)),
        ];
        messages.extend(self.fresh_heartbeats(now));
        if self.table.all().len() > MAX_BROADCAST_PEERS {
            let (alive, view) = (&self.alive, &self.view);
            let compact =
                alive.choose(MAX_ROUND_COMPACT, MAX_FORWARD_AGE, now, view, &mut self.rng);
            messages.push(PeerMessage::Alive(compact));
        }
        let suspects = self.fresh_suspects(now);
        if !suspects.is_empty() {
            messages.push(PeerMessage::Suspects(suspects));
        }
        let targets = self.table.choose(ROUND_FANOUT, None, &mut self.rng);
        self.send(&targets, messages, out);
    }

    fn fresh_heartbeats(&mut self, now: Duration) -> Vec<PeerMessage> {
        let mut fresh = Vec::new();
        for record in self.view.peers.values() {
            if now.saturating_sub(record.received_at) <= MAX_FORWARD_AGE {
                fresh.push(&record.heartbeat);
            }
        }
        let is_small = self.table.all().len() <= MAX_SMALL_CLUSTER_PEERS;
        let limit = if is_small {
            MAX_ROUND_HEARTBEATS
        } else {
            MAX_ROUND_HEARTBEATS_LARGE
        };
        let mut messages = Vec::new();
        while messages.len() < limit && !fresh.is_empty() {
            let chosen = fresh.swap_remove(self.rng.random_range(0..fresh.len()));
            messages.push(PeerMessage::Heartbeat(chosen.clone()));
        }
        messages
    }

    fn fresh_suspects(&self, now: Duration) -> Vec<SuspectEntry> {
        let mut suspects = Vec::new();
        for (fingerprint, changed) in &self.suspect_changes {
            if now.saturating_sub(*changed) > SUSPECT_REPEAT_TIME
                || suspects.len() >= MAX_ROUND_SUSPECTS
            {
                continue;
            }
            suspects.extend(self.view.suspects.get(fingerprint).cloned());
        }
        suspects
    }

    fn send_update(&mut self, now: Duration, update: LocalUpdate, out: &mut Vec<ExchangeAction>) {
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
            LocalUpdate::Controller(heartbeat) => {
                if self.view.merge_controller(heartbeat.clone(), now) {
                    messages.push(PeerMessage::Controller(heartbeat));
                    self.dirty = true;
                }
            }
            LocalUpdate::Usage(entries) => return self.send_usage(&entries, out),
            LocalUpdate::Suspects(entries) => {
                for entry in entries {
                    if self.record_suspect(now, entry.clone()) {
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
        let targets = self.table.choose(SOURCE_FANOUT, None, &mut self.rng);
        self.send(&targets, messages, out);
    }

    fn send_usage(&mut self, entries: &[UsageEntry], out: &mut Vec<ExchangeAction>) {
        let is_small = self.table.all().len() <= USAGE_FANOUT;
        let count = if is_small {
            USAGE_FANOUT
        } else {
            USAGE_ROTATION_FANOUT
        };
        let targets = self.table.rotate(count);
        // The heartbeat makes the boot known, so that receivers replace the usage of a former boot.
        self.heartbeat.sequence += 1;
        let mut messages = vec![PeerMessage::Heartbeat(self.heartbeat.clone())];
        for part in entries.chunks(MAX_USAGE_ENTRIES) {
            messages.push(PeerMessage::Usage {
                process: self.heartbeat.process.clone(),
                entries: part.to_vec(),
            });
        }
        self.send(&targets, messages, out);
    }

    /// Updates the readiness in the heartbeat; a process without a configuration is not ready.
    pub(super) fn update_readiness(&mut self) {
        let configured = self.view.configuration.is_some();
        self.heartbeat.ready = self.wants_ready && configured;
    }

    /// Merges a suspect and, above [`MAX_SUSPECTS`], drops the one that changed longest ago.
    /// Returns true when the entry changed the view.
    pub(super) fn record_suspect(&mut self, now: Duration, entry: SuspectEntry) -> bool {
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

    fn remove_silent_peers(&mut self, now: Duration) {
        let before = self.view.peers.len();
        let peers = &mut self.view.peers;
        peers.retain(|_, record| now.saturating_sub(record.received_at) <= MAX_SILENCE);
        let usage = &mut self.view.usage;
        usage.retain(|_, known| now.saturating_sub(known.received_at) <= MAX_SILENCE);
        self.alive.retain_known(&self.view);
        if self.view.peers.len() != before {
            self.update_addresses();
            let peers = &self.view.peers;
            self.usage_boots
                .retain(|process, _| peers.contains_key(process));
        }
    }

    pub(super) fn update_addresses(&mut self) {
        let peers = self.view.peers.values();
        let addresses = peers.map(|record| record.heartbeat.address);
        self.table.set_learned(addresses);
    }

    /// Adds one to the count of datagrams dropped for `reason`.
    pub(super) fn count_drop(&mut self, reason: DropReason) {
        *self.drop_counts.entry(reason).or_default() += 1;
    }

    /// Packs messages into datagrams and sends them to `targets`. For messages that do not fit into
    /// a datagram, it sends the domain digests instead, on which the peers pull over TCP.
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
