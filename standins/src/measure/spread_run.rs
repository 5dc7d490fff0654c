use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
    toucanring::{
        core::view::{
            ClusterView, EXCHANGE_TICK_INTERVAL, ExchangeAction, ExchangeEvent, ExchangeSettings,
            PeerCodec, PeerExchange, SealKind,
        },
        wire::{PeerHeartbeat, PeerReply, PeerRequest, ProcessRole, ReplyEnvelope},
    },
};

/// Key with which all processes seal their messages.
const EXCHANGE_KEY: [u8; 32] = [7; 32];
/// Bytes of the IPv4 and UDP headers of a datagram.
const UDP_HEADER_BYTES: u64 = 28;
/// Bytes of the headers of a whole TCP connection, of about ten segments in both directions.
const TCP_HEADER_BYTES: u64 = 400;
/// Bytes of a sealed request, sent over TCP.
const REQUEST_BYTES: u64 = 64;
/// Time after which a request over TCP to an unreachable process fails.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Decides whether messages pass from the first process to the second; the processes are given by
/// their indices.
pub type LinkRule = Box<dyn Fn(usize, usize) -> bool>;

/// Size, loss and seed of a run.
#[derive(Debug, Clone)]
pub struct SpreadSettings {
    /// Number of processes. The first two for each failure domain are controllers, the others
    /// gateways.
    pub nodes: usize,
    /// Number of failure domains, to which the processes are assigned in turn.
    pub failure_domains: usize,
    /// Number of random peer addresses that each process has in its settings.
    pub seeds: usize,
    /// Share of datagrams that are lost, from 0 to 1; requests over TCP are never lost.
    pub loss: f64,
    /// Seed of all random choices: peer addresses, boot numbers, start times, delays and losses.
    pub seed: u64,
}

/// Events that one process handled, and its state before the first of them.
struct Recording {
    node: usize,
    before: PeerExchange,
    events: Vec<(Duration, ExchangeEvent)>,
}

/// Runs the exchanges of many processes in virtual time, with delays, lost datagrams and network
/// partitions.
pub struct SpreadRun {
    settings: SpreadSettings,
    nodes: Vec<PeerExchange>,
    /// Hops of each process from the one that read its configuration from the platform.
    hops: Vec<u32>,
    adopted_at: Vec<Duration>,
    /// Events by time and id, each with the index and the generation of its process.
    queue: BTreeMap<(Duration, u64), (usize, u64, ExchangeEvent)>,
    /// Restarts of each process so far; events of an earlier generation are dropped.
    generations: Vec<u64>,
    next_id: u64,
    now: Duration,
    rng: ChaCha8Rng,
    link_rule: LinkRule,
    /// Bytes sent by each process so far, with IP, UDP and TCP headers; a caller may reset them.
    pub sent_bytes: Vec<u64>,
    /// Datagrams that the processes have handled so far.
    pub datagrams: u64,
    recording: Option<Recording>,
}

impl SpreadRun {
    /// Creates the processes and schedules their starts at random times within the first tick
    /// interval.
    #[must_use]
    pub fn new(settings: SpreadSettings) -> Self {
        let count = settings.nodes;
        let mut run = Self {
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            settings,
            nodes: Vec::new(),
            hops: vec![0; count],
            adopted_at: vec![Duration::ZERO; count],
            queue: BTreeMap::new(),
            generations: vec![0; count],
            next_id: 0,
            now: Duration::ZERO,
            link_rule: Box::new(|_, _| true),
            sent_bytes: vec![0; count],
            datagrams: 0,
            recording: None,
        };
        for node in 0..count {
            let exchange = run.create_exchange(node);
            run.nodes.push(exchange);
            run.schedule_start(node);
        }
        run
    }

    /// Virtual time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns what a process currently knows.
    #[must_use]
    pub fn view(&self, node: usize) -> &ClusterView {
        self.nodes[node].view()
    }

    /// Returns the heartbeat that a process sends of itself.
    #[must_use]
    pub fn heartbeat(&self, node: usize) -> &PeerHeartbeat {
        self.nodes[node].heartbeat()
    }

    /// Configuration version of each process; 0 where none is known yet.
    #[must_use]
    pub fn versions(&self) -> Vec<u64> {
        let versions = self.nodes.iter().map(|node| node.view().config_version());
        versions.collect()
    }

    /// Virtual time at which a process last adopted a configuration; zero if it never did.
    #[must_use]
    pub fn adopted_at(&self, node: usize) -> Duration {
        self.adopted_at[node]
    }

    /// Hops of each process from the one that read its configuration from the platform.
    #[must_use]
    pub fn hops(&self) -> &[u32] {
        &self.hops
    }

    /// Replaces the rule that decides which messages pass; initially all do.
    pub fn set_link_rule(&mut self, rule: LinkRule) {
        self.link_rule = rule;
    }

    /// Index of the failure domain of a process.
    #[must_use]
    pub fn domain_of(&self, node: usize) -> usize {
        node % self.settings.failure_domains
    }

    /// Restarts a process, which loses its state and the events scheduled for it.
    pub fn restart(&mut self, node: usize) {
        self.generations[node] += 1;
        self.nodes[node] = self.create_exchange(node);
        self.schedule_start(node);
    }

    /// Makes a process handle an event at the current virtual time.
    pub fn inject(&mut self, node: usize, event: ExchangeEvent) {
        if matches!(event, ExchangeEvent::Stored(_)) {
            self.hops[node] = 0;
        }
        self.handle(node, event);
    }

    /// Runs for a span of virtual time.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((time, _), (node, generation, event)) = entry.remove_entry();
            self.now = time;
            if self.generations[node] != generation {
                continue;
            }
            if event == ExchangeEvent::Tick {
                self.schedule(EXCHANGE_TICK_INTERVAL, node, ExchangeEvent::Tick);
            }
            self.handle(node, event);
        }
        self.now = end;
    }

    /// Runs until the condition holds, and returns false if it does not hold within the limit.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + limit;
        while !holds(self) {
            if self.now >= end {
                return false;
            }
            self.run_for(Duration::from_millis(10));
        }
        true
    }

    /// Starts to record the events of a process, in place of an earlier recording.
    pub fn record_events(&mut self, node: usize) {
        self.recording = Some(Recording {
            node,
            before: self.nodes[node].clone(),
            events: Vec::new(),
        });
    }

    /// Replays the recorded events on a copy of the process and returns the real time that it takes
    /// for the datagrams, and their number; both are zero without a recording.
    ///
    /// The run itself would measure with a cold processor cache, because hundreds of other
    /// processes use it in between.
    #[must_use]
    pub fn replay_recorded(&mut self) -> (Duration, u64) {
        let Some(recording) = self.recording.take() else {
            return (Duration::ZERO, 0);
        };
        let mut exchange = recording.before;
        let (mut time, mut count) = (Duration::ZERO, 0);
        let mut actions = Vec::new();
        for (now, event) in recording.events {
            let is_datagram = matches!(event, ExchangeEvent::Datagram { .. });
            let started = Instant::now();
            exchange.step(now, event, &mut actions);
            if is_datagram {
                time += started.elapsed();
                count += 1;
            }
            actions.clear();
        }
        (time, count)
    }

    fn create_exchange(&mut self, node: usize) -> PeerExchange {
        let mut seeds = Vec::new();
        while seeds.len() < self.settings.seeds.min(self.settings.nodes - 1) {
            let seed = address_of(self.rng.random_range(0..self.settings.nodes));
            if seed != address_of(node) && !seeds.contains(&seed) {
                seeds.push(seed);
            }
        }
        let controllers = 2 * self.settings.failure_domains;
        let now_ms = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        PeerExchange::new(ExchangeSettings {
            process: format!("process-{node:03}"),
            role: if node < controllers {
                ProcessRole::Controller
            } else {
                ProcessRole::Gateway
            },
            failure_domain: format!("domain-{}", self.domain_of(node)),
            boot: self.rng.random(),
            // A timestamp of today's magnitude, so that heartbeats have a realistic length.
            started_ms: 1_800_000_000_000 + now_ms,
            address: address_of(node),
            seeds,
            key: EXCHANGE_KEY,
            seed: self.rng.random(),
        })
    }

    fn schedule_start(&mut self, node: usize) {
        let phase = EXCHANGE_TICK_INTERVAL.mul_f64(self.rng.random::<f64>());
        self.schedule(phase, node, ExchangeEvent::Start);
        self.schedule(phase, node, ExchangeEvent::Tick);
    }

    fn schedule(&mut self, delay: Duration, node: usize, event: ExchangeEvent) {
        self.next_id += 1;
        let generation = self.generations[node];
        self.queue
            .insert((self.now + delay, self.next_id), (node, generation, event));
    }

    fn handle(&mut self, node: usize, event: ExchangeEvent) {
        let mut actions = Vec::new();
        if matches!(event, ExchangeEvent::Datagram { .. }) {
            self.datagrams += 1;
        }
        if let Some(recording) = &mut self.recording
            && recording.node == node
        {
            recording.events.push((self.now, event.clone()));
        }
        self.nodes[node].step(self.now, event, &mut actions);
        for action in actions {
            match action {
                ExchangeAction::Send { targets, bytes } => {
                    for target in targets {
                        self.send(node, target, &bytes);
                    }
                }
                ExchangeAction::Pull { from, request } => self.pull(node, from, request),
                ExchangeAction::Adopted(_) => self.adopted_at[node] = self.now,
                ExchangeAction::Publish => {}
            }
        }
    }

    fn send(&mut self, node: usize, target: SocketAddr, bytes: &[u8]) {
        self.sent_bytes[node] += UDP_HEADER_BYTES + bytes.len() as u64;
        let to = node_at(target);
        let lost = self.rng.random::<f64>() < self.settings.loss;
        if lost || !(self.link_rule)(node, to) {
            return;
        }
        let delay = self.delay(node, to);
        let event = ExchangeEvent::Datagram {
            from: address_of(node),
            bytes: bytes.to_vec(),
        };
        self.schedule(delay, to, event);
    }

    /// Sends a request over TCP; the reply arrives after two round trips and the time of its
    /// transfer.
    fn pull(&mut self, node: usize, from: SocketAddr, request: PeerRequest) {
        let peer = node_at(from);
        self.sent_bytes[node] += REQUEST_BYTES + TCP_HEADER_BYTES / 2;
        if !(self.link_rule)(node, peer) {
            let event = ExchangeEvent::PullFailed { from, request };
            return self.schedule(REQUEST_TIMEOUT, node, event);
        }
        let reply = self.nodes[peer].answer(self.now, &request);
        if let PeerReply::Configuration(Some(found)) = &reply
            && found.version > self.nodes[node].view().config_version()
        {
            self.hops[node] = self.hops[peer] + 1;
        }
        let envelope = ReplyEnvelope { nonce: 0, reply };
        let size = PeerCodec::new(EXCHANGE_KEY)
            .seal(SealKind::Answer, &envelope)
            .len() as u64;
        self.sent_bytes[peer] += size + TCP_HEADER_BYTES / 2;
        // 100 Mbit/s, which is 80 ns per byte.
        let delay = self.delay(node, peer) * 4 + Duration::from_nanos(80 * size);
        let reply = envelope.reply;
        self.schedule(delay, node, ExchangeEvent::Pulled { from, reply });
    }

    /// Random one-way delay: 0.2 to 1.2 ms within a failure domain, 1.2 to 2.2 ms between two.
    fn delay(&mut self, node: usize, other: usize) -> Duration {
        let base_ms = if self.domain_of(node) == self.domain_of(other) {
            0.2
        } else {
            1.2
        };
        Duration::from_secs_f64((base_ms + self.rng.random::<f64>()) / 1_000.0)
    }
}

/// Peer address of the process with this index.
#[must_use]
pub fn address_of(node: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(node).unwrap_or(u32::MAX).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7_100).into()
}

/// Index of the process with this address; the inverse of [`address_of`].
fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 256 + usize::from(low)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}
