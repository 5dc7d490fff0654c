use {
    super::capacity_fixture::{address, configuration, domain, group, text, usage},
    std::{
        collections::HashMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    toucanring::{
        core::view::{
            ExchangeAction, ExchangeEvent, ExchangeSettings, LocalUpdate, PeerCodec, PeerExchange,
            SealKind,
        },
        wire::{ControllerHeartbeat, FencingNumber, ProcessRole},
    },
};

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Number of failure domains, each with two controllers. The first of the two holds the lease.
const DOMAINS: u32 = 9;

/// Number of client accounts with traffic on every gateway; the deployments have about ten.
const ACTIVE_ACCOUNTS: u32 = 10;

/// Time between two ticks of the exchange, and step of the virtual time.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Traffic and real time of all processes since the start.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MeshCounts {
    pub datagrams: u64,
    /// Bytes of the datagrams with their IPv4 and UDP headers.
    pub datagram_bytes: u64,
    pub pulls: u64,
    /// Bytes of the sealed replies, without TCP and IP headers.
    pub pull_bytes: u64,
    pub publishes: u64,
    /// Real time of the steps that handle a datagram; part of `step_time`.
    pub receive_time: Duration,
    /// Real time of all steps.
    pub step_time: Duration,
}

/// Runs the exchanges of all processes in virtual time; datagrams arrive at once and none is lost.
pub(super) struct CapacityMesh {
    pub now: Duration,
    pub counts: MeshCounts,
    pub nodes: Vec<PeerExchange>,
    /// Whether lease holders send heartbeats.
    pub sends_heartbeats: bool,
    /// Whether gateways send account usage.
    pub sends_usage: bool,
    /// Index in `nodes` of the process at each address.
    nodes_by_address: HashMap<SocketAddr, usize>,
    queue: Vec<(usize, ExchangeEvent)>,
    tick_count: u64,
}

impl CapacityMesh {
    /// Creates `processes` exchanges, of which the first 18 belong to controllers. Each knows the
    /// first ten addresses and one configuration.
    pub fn new(processes: u32, groups: u32) -> Self {
        let seeds: Vec<SocketAddr> = (0..10).map(address).collect();
        let first = configuration(1, text(84, 10));
        let mut mesh = Self {
            now: Duration::ZERO,
            counts: MeshCounts::default(),
            nodes: Vec::new(),
            sends_heartbeats: true,
            sends_usage: true,
            nodes_by_address: HashMap::new(),
            queue: Vec::new(),
            tick_count: 0,
        };
        for number in 0..processes {
            let role = if number < 2 * DOMAINS {
                ProcessRole::Controller
            } else {
                ProcessRole::Gateway
            };
            mesh.nodes_by_address
                .insert(address(number), number as usize);
            mesh.nodes.push(PeerExchange::new(ExchangeSettings {
                process: format!("{}-process-{number}", domain(number)),
                role,
                failure_domain: domain(number),
                boot: u64::from(number) + 1,
                started_ms: 1_800_000_000_000,
                address: address(number),
                seeds: seeds.clone(),
                key: [7; 32],
                seed: u64::from(number),
            }));
            let node = number as usize;
            mesh.push(node, ExchangeEvent::Start);
            mesh.push(node, ExchangeEvent::Stored(first.clone()));
        }
        for number in 0..groups {
            let holder = (number % DOMAINS) as usize;
            let update = LocalUpdate::Groups(vec![group(number, 8)]);
            mesh.push(holder, ExchangeEvent::Local(update));
        }
        mesh.deliver();
        mesh
    }

    /// Queues an event, which the process handles in the next call of `run`.
    pub fn push(&mut self, node: usize, event: ExchangeEvent) {
        self.queue.push((node, event));
    }

    /// Runs for a span of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.tick_count += 1;
            for node in 0..self.nodes.len() {
                self.push(node, ExchangeEvent::Tick);
                self.push_local_updates(node);
            }
            self.deliver();
        }
    }

    /// Queues the heartbeats of the lease holders twice and the usage of the gateways once a
    /// second.
    fn push_local_updates(&mut self, node: usize) {
        let number = u64::try_from(node).unwrap_or(0);
        if self.sends_heartbeats
            && node < DOMAINS as usize
            && (self.tick_count + number).is_multiple_of(5)
        {
            let heartbeat = ControllerHeartbeat {
                failure_domain: domain(u32::try_from(node).unwrap_or(0)),
                version: FencingNumber {
                    term: 1,
                    sequence: 1_000 + self.tick_count,
                },
            };
            self.push(
                node,
                ExchangeEvent::Local(LocalUpdate::Controller(heartbeat)),
            );
        }
        if self.sends_usage
            && node >= 2 * DOMAINS as usize
            && (self.tick_count + number).is_multiple_of(10)
        {
            let entries = (0..ACTIVE_ACCOUNTS).map(|account| usage(account, self.tick_count));
            let update = LocalUpdate::Usage(entries.collect());
            self.push(node, ExchangeEvent::Local(update));
        }
    }

    /// Handles queued events until none is left.
    fn deliver(&mut self) {
        while !self.queue.is_empty() {
            for (node, event) in std::mem::take(&mut self.queue) {
                self.step(node, event);
            }
        }
    }

    fn step(&mut self, node: usize, event: ExchangeEvent) {
        let received = matches!(event, ExchangeEvent::Datagram { .. });
        let mut out = Vec::new();
        let started = Instant::now();
        self.nodes[node].step(self.now, event, &mut out);
        let elapsed = started.elapsed();
        self.counts.step_time += elapsed;
        if received {
            self.counts.receive_time += elapsed;
        }
        for action in out {
            self.run_action(node, action);
        }
    }

    fn run_action(&mut self, node: usize, action: ExchangeAction) {
        match action {
            ExchangeAction::Send { targets, bytes } => {
                let from = address(u32::try_from(node).unwrap_or(0));
                for target in targets {
                    let Some(receiver) = self.nodes_by_address.get(&target).copied() else {
                        continue;
                    };
                    self.counts.datagrams += 1;
                    self.counts.datagram_bytes += bytes.len() as u64 + HEADER_BYTES;
                    let bytes = bytes.clone();
                    self.push(receiver, ExchangeEvent::Datagram { from, bytes });
                }
            }
            ExchangeAction::Pull { from, request } => {
                let Some(peer) = self.nodes_by_address.get(&from).copied() else {
                    return;
                };
                let reply = self.nodes[peer].answer(self.now, &request);
                let bytes = PeerCodec::new([7; 32]).seal(SealKind::Answer, &reply).len();
                self.counts.pulls += 1;
                self.counts.pull_bytes += bytes as u64;
                self.push(node, ExchangeEvent::Pulled { from, reply });
            }
            ExchangeAction::Publish => self.counts.publishes += 1,
            ExchangeAction::Adopted(_) => {}
        }
    }
}
