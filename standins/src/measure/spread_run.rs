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
        wire::{PeerAnswer, PeerHeartbeat, PeerReply, PeerRequest, ProcessRole},
    },
};

/// Key of the exchange in a run.
const EXCHANGE_KEY: [u8; 32] = [7; 32];
/// Bytes of IP and UDP headers.
const UDP_HEADER_BYTES: u64 = 28;
/// Bytes of a TCP connection without its payload: about ten segments.
const TCP_BYTES: u64 = 400;
/// Bytes of a sealed request over TCP.
const CALL_BYTES: u64 = 64;
/// Time after which a call over TCP to an unreachable process fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Says whether messages pass between two processes.
pub type LinkRule = Box<dyn Fn(usize, usize) -> bool>;

/// Size and faults of a run.
#[derive(Debug, Clone)]
pub struct SpreadSettings {
    /// Number of processes.
    pub nodes: usize,
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Peer addresses that each process has in its settings.
    pub seeds: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Seed of delays, losses and choices.
    pub seed: u64,
}

/// Events of one process, with its state before them.
struct Recording {
    node: usize,
    before: PeerExchange,
    events: Vec<(Duration, ExchangeEvent)>,
}

/// Exchange of many processes in virtual time, with delays, losses and cuts.
pub struct SpreadRun {
    settings: SpreadSettings,
    nodes: Vec<PeerExchange>,
    /// Hops that each process is away from the source of its configuration.
    hops: Vec<u32>,
    adopted_at: Vec<Duration>,
    queue: BTreeMap<(Duration, u64), (usize, u64, ExchangeEvent)>,
    lives: Vec<u64>,
    next_id: u64,
    now: Duration,
    rng: ChaCha8Rng,
    link: LinkRule,
    /// Bytes sent by each process, with IP, UDP and TCP headers.
    pub sent_bytes: Vec<u64>,
    /// Datagrams handled.
    pub datagrams: u64,
    recording: Option<Recording>,
}

impl SpreadRun {
    /// Creates the processes and starts them within the first tick period.
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
            lives: vec![0; count],
            next_id: 0,
            now: Duration::ZERO,
            link: Box::new(|_, _| true),
            sent_bytes: vec![0; count],
            datagrams: 0,
            recording: None,
        };
        for node in 0..count {
            let exchange = run.create(node);
            run.nodes.push(exchange);
            run.start(node);
        }
        run
    }

    /// Virtual time.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.now
    }

    /// View of a process.
    #[must_use]
    pub fn view(&self, node: usize) -> &ClusterView {
        self.nodes[node].view()
    }

    /// Newest heartbeat of a process, by itself.
    #[must_use]
    pub fn heartbeat(&self, node: usize) -> &PeerHeartbeat {
        self.nodes[node].heartbeat()
    }

    /// Configuration versions of all processes.
    #[must_use]
    pub fn versions(&self) -> Vec<u64> {
        let versions = self.nodes.iter().map(|node| node.view().config_version());
        versions.collect()
    }

    /// Time at which a process adopted its configuration.
    #[must_use]
    pub fn adopted_at(&self, node: usize) -> Duration {
        self.adopted_at[node]
    }

    /// Hops that each process is away from the source of its configuration.
    #[must_use]
    pub fn hops(&self) -> &[u32] {
        &self.hops
    }

    /// Replaces the rule that says which messages pass.
    pub fn set_link(&mut self, link: LinkRule) {
        self.link = link;
    }

    /// Failure domain of a process.
    #[must_use]
    pub fn domain_of(&self, node: usize) -> usize {
        node % self.settings.failure_domains
    }

    /// Replaces a process by one that remembers nothing.
    pub fn restart(&mut self, node: usize) {
        self.lives[node] += 1;
        self.nodes[node] = self.create(node);
        self.start(node);
    }

    /// Hands an event to a process now.
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
            let ((time, _), (node, life, event)) = entry.remove_entry();
            self.now = time;
            if self.lives[node] != life {
                continue;
            }
            if event == ExchangeEvent::Tick {
                self.schedule(EXCHANGE_TICK_INTERVAL, node, ExchangeEvent::Tick);
            }
            self.handle(node, event);
        }
        self.now = end;
    }

    /// Runs until the condition holds; false when it does not within the limit.
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

    /// Starts to keep the events of a process.
    pub fn record(&mut self, node: usize) {
        self.recording = Some(Recording {
            node,
            before: self.nodes[node].clone(),
            events: Vec::new(),
        });
    }

    /// Repeats the kept events on a copy of the process and returns the real
    /// time of its datagrams and their number. The run itself would show the
    /// cost of a cache that hundreds of other processes have emptied.
    #[must_use]
    pub fn time_recorded(&mut self) -> (Duration, u64) {
        let Some(recording) = self.recording.take() else {
            return (Duration::ZERO, 0);
        };
        let mut exchange = recording.before;
        let (mut time, mut count) = (Duration::ZERO, 0);
        let mut actions = Vec::new();
        for (now, event) in recording.events {
            let is_datagram = matches!(event, ExchangeEvent::Datagram { .. });
            let begun = Instant::now();
            exchange.step(now, event, &mut actions);
            if is_datagram {
                time += begun.elapsed();
                count += 1;
            }
            actions.clear();
        }
        (time, count)
    }

    fn create(&mut self, node: usize) -> PeerExchange {
        let mut seeds = Vec::new();
        while seeds.len() < self.settings.seeds.min(self.settings.nodes - 1) {
            let seed = address_of(self.rng.random_range(0..self.settings.nodes));
            if seed != address_of(node) && !seeds.contains(&seed) {
                seeds.push(seed);
            }
        }
        let controllers = 2 * self.settings.failure_domains;
        let started = u64::try_from(self.now.as_millis()).unwrap_or(u64::MAX);
        PeerExchange::new(ExchangeSettings {
            process: format!("process-{node:03}"),
            role: if node < controllers {
                ProcessRole::Controller
            } else {
                ProcessRole::Gateway
            },
            failure_domain: format!("domain-{}", self.domain_of(node)),
            boot: self.rng.random(),
            // A date of the present size, so that heartbeats have a realistic length.
            started_ms: 1_800_000_000_000 + started,
            address: address_of(node),
            seeds,
            key: EXCHANGE_KEY,
            seed: self.rng.random(),
        })
    }

    fn start(&mut self, node: usize) {
        let phase = EXCHANGE_TICK_INTERVAL.mul_f64(self.rng.random::<f64>());
        self.schedule(phase, node, ExchangeEvent::Start);
        self.schedule(phase, node, ExchangeEvent::Tick);
    }

    fn schedule(&mut self, delay: Duration, node: usize, event: ExchangeEvent) {
        self.next_id += 1;
        let life = self.lives[node];
        self.queue
            .insert((self.now + delay, self.next_id), (node, life, event));
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
        if lost || !(self.link)(node, to) {
            return;
        }
        let delay = self.delay(node, to);
        let event = ExchangeEvent::Datagram {
            from: address_of(node),
            bytes: bytes.to_vec(),
        };
        self.schedule(delay, to, event);
    }

    /// Carries out a call over TCP: two round trips, and the answer's transfer.
    fn pull(&mut self, node: usize, from: SocketAddr, request: PeerRequest) {
        let peer = node_at(from);
        self.sent_bytes[node] += CALL_BYTES + TCP_BYTES / 2;
        if !(self.link)(node, peer) {
            let event = ExchangeEvent::PullFailed { from, request };
            return self.schedule(CALL_TIMEOUT, node, event);
        }
        let reply = self.nodes[peer].answer(self.now, &request);
        if let PeerReply::Configuration(Some(found)) = &reply
            && found.version > self.nodes[node].view().config_version()
        {
            self.hops[node] = self.hops[peer] + 1;
        }
        let answer = PeerAnswer { nonce: 0, reply };
        let size = PeerCodec::new(EXCHANGE_KEY)
            .seal(SealKind::Answer, &answer)
            .len() as u64;
        self.sent_bytes[peer] += size + TCP_BYTES / 2;
        // 100 Mbit/s: 80 ns a byte.
        let delay = self.delay(node, peer) * 4 + Duration::from_nanos(80 * size);
        let reply = answer.reply;
        self.schedule(delay, node, ExchangeEvent::Pulled { from, reply });
    }

    fn delay(&mut self, node: usize, other: usize) -> Duration {
        let base = if self.domain_of(node) == self.domain_of(other) {
            0.2
        } else {
            1.2
        };
        Duration::from_secs_f64((base + self.rng.random::<f64>()) / 1_000.0)
    }
}

/// Peer address of a process.
#[must_use]
pub fn address_of(node: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(node).unwrap_or(u32::MAX).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), 7_100).into()
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 256 + usize::from(low)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}
