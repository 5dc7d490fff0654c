//! A site of nodes and replica groups in virtual time, for tests of the pace of groups.

mod engine_model;

pub use engine_model::{EngineModel, EngineState};

use {
    crate::node_fixtures::{at, head, model, profile, request, routes, row_version, stream_route},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
    toucanring::core::{
        fleet::FleetView,
        placement::{
            AttemptKey, PeerLoad, Placement, PlacementDecision, PlacementRequest,
            PlacementScheduler, SchedulerTick, TicketKey,
        },
        routes::RouteTable,
    },
};

/// Length of a step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Intervals of ticks and load reports, and the nodes that a report reaches in one turn.
const TICK_MS: u64 = 30;
const BEACON_MS: u64 = 80;
const LOCAL_PEERS: usize = 40;
const REMOTE_PEERS: usize = 10;
const DOMAINS: [&str; 3] = ["kochi", "thrissur", "kollam"];
const PROMPT_TOKENS: u32 = 600;
const ANSWER_EVENTS: std::ops::Range<u32> = 12..37;

/// Node of the site with its queue.
pub struct NodeModel {
    pub scheduler: PlacementScheduler,
    domain: usize,
    waiting: HashMap<TicketKey, Duration>,
}

/// A request that runs at a group.
pub struct SentRequest {
    pub node: usize,
    pub attempt: AttemptKey,
    pub arrived: Duration,
    /// Events until the end of the answer.
    pub events_left: u32,
}

/// What happened to the requests of one group.
#[derive(Debug, Clone, Copy, Default)]
pub struct GroupCounts {
    pub sent: u32,
    pub late: u32,
    pub rejected: u32,
}

/// The site.
pub struct PaceWorld {
    pub now: Duration,
    pub nodes: Vec<NodeModel>,
    pub engines: Vec<EngineModel>,
    pub counts: Vec<GroupCounts>,
    pub refused: u32,
    fleet: FleetView,
    table: RouteTable,
    version: u64,
    rate: f64,
    random: SmallRng,
    cut_off: Option<usize>,
}

/// Mean of some counts; zero without any.
pub fn mean(counts: impl Iterator<Item = usize>) -> f64 {
    let counts: Vec<usize> = counts.collect();
    let sum = u32::try_from(counts.iter().sum::<usize>()).unwrap();
    f64::from(sum) / f64::from(u32::try_from(counts.len().max(1)).unwrap())
}

/// Size and load of a site.
pub struct SiteShape {
    pub nodes: usize,
    pub groups: usize,
    /// Requests per second of all callers.
    pub rate: f64,
    pub paced: bool,
    /// Start of the random numbers.
    pub seed: u64,
}

impl PaceWorld {
    /// Creates a site whose groups are all open.
    pub fn new(shape: &SiteShape) -> Self {
        let rules = vec![stream_route("r-1", "/draft/", at(300))];
        let table = RouteTable::new(routes(1, rules, profile(vec![model("m-0", 1, 1.0)])));
        let nodes = (0..shape.nodes).map(|index| {
            let domain = index % DOMAINS.len();
            let boot = shape.seed * 1_000_003 + index as u64;
            let mut scheduler = PlacementScheduler::new(DOMAINS[domain], boot);
            if shape.paced {
                scheduler.enable_pace(boot);
                scheduler.set_gateways(shape.nodes);
            }
            NodeModel {
                scheduler,
                domain,
                waiting: HashMap::new(),
            }
        });
        let mut world = Self {
            now: at(1_000),
            nodes: nodes.collect(),
            engines: (0..shape.groups).map(|_| EngineModel::new()).collect(),
            counts: vec![GroupCounts::default(); shape.groups],
            refused: 0,
            fleet: FleetView::new(),
            table,
            version: 5,
            rate: shape.rate,
            random: SmallRng::seed_from_u64(shape.seed),
            cut_off: None,
        };
        for group in 0..shape.groups {
            world.put(group, false);
        }
        world.sync();
        world
    }

    /// Opens the group again after `close`, under the same name.
    pub fn open(&mut self, group: usize) {
        self.put(group, false);
        self.sync();
    }

    /// Closes a group for new requests.
    pub fn close(&mut self, group: usize) {
        self.put(group, true);
        self.sync();
    }

    fn put(&mut self, group: usize, leaving: bool) {
        let mut entry = head(&format!("i-{group}"));
        DOMAINS[group % DOMAINS.len()].clone_into(&mut entry.failure_domain);
        entry.leaving = leaving;
        self.version += 1;
        self.fleet.put(row_version(self.version), entry);
    }

    fn sync(&mut self) {
        for node in &mut self.nodes {
            node.scheduler.sync(&self.fleet, &self.table);
        }
        for index in 0..self.nodes.len() {
            self.tick(index);
        }
    }

    /// Requests at a group, those in its queue included.
    pub fn load(&self, group: usize) -> usize {
        self.engines[group].load()
    }

    /// Mean number of requests at the groups other than the first.
    pub fn mean_of_others(&self) -> f64 {
        mean((1..self.engines.len()).map(|group| self.load(group)))
    }

    /// Requests that came late or were rejected at a group.
    pub fn troubled(&self, group: usize) -> u32 {
        self.counts[group].late + self.counts[group].rejected
    }

    /// Nodes that bound the first group at present.
    pub fn bounding_nodes(&self) -> usize {
        let bounds = |node: &&NodeModel| node.scheduler.permitted_at("g-i-0").is_some();
        self.nodes.iter().filter(bounds).count()
    }

    /// Cuts the nodes of one failure domain off from the load reports of the others.
    pub fn cut_off_domain(&mut self, domain: usize) {
        self.cut_off = Some(domain);
    }

    /// Runs the site for `time` and calls `look` after each step.
    pub fn run(&mut self, time: Duration, mut look: impl FnMut(&Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += at(STEP_MS);
            self.step();
            look(self);
        }
    }

    /// Lets time pass without requests.
    pub fn pass_idle(&mut self, time: Duration) {
        self.now += time;
        for node in 0..self.nodes.len() {
            self.tick(node);
        }
    }

    fn millis(&self) -> u64 {
        u64::try_from(self.now.as_millis()).unwrap()
    }

    fn step(&mut self) {
        for group in 0..self.engines.len() {
            self.step_engine(group);
        }
        let nodes = f64::from(u32::try_from(self.nodes.len()).unwrap());
        let per_node = self.rate * at(STEP_MS).as_secs_f64() / nodes;
        for node in 0..self.nodes.len() {
            if self.random.random::<f64>() < per_node {
                self.arrive(node);
            }
        }
        let millis = self.millis();
        for index in 0..self.nodes.len() {
            let offset = millis / STEP_MS + index as u64;
            if offset.is_multiple_of(TICK_MS / STEP_MS) {
                self.tick(index);
            }
            if offset.is_multiple_of(BEACON_MS / STEP_MS) {
                self.send_beacon(index);
            }
        }
    }

    fn arrive(&mut self, node: usize) {
        let request = PlacementRequest {
            prompt_tokens: PROMPT_TOKENS,
            ..request(self.now)
        };
        let decision = self.nodes[node].scheduler.arrive(self.now, &request);
        self.decide(node, self.now, decision);
    }

    fn decide(&mut self, node: usize, arrived: Duration, decision: PlacementDecision) {
        match decision {
            PlacementDecision::Place(placement) => self.send(node, arrived, &placement),
            PlacementDecision::Wait(ticket) => {
                self.nodes[node].waiting.insert(ticket, arrived);
            }
            PlacementDecision::Refuse { .. } => self.refused += 1,
        }
    }

    fn send(&mut self, node: usize, arrived: Duration, placement: &Placement) {
        let group: usize = placement.head[2..].parse().unwrap();
        self.counts[group].sent += 1;
        let sent = SentRequest {
            node,
            attempt: placement.attempt,
            arrived,
            events_left: self.random.random_range(ANSWER_EVENTS),
        };
        if !self.engines[group].take(self.now, PROMPT_TOKENS, sent) {
            self.fail(group, node, placement.attempt);
        }
    }

    fn fail(&mut self, group: usize, node: usize, attempt: AttemptKey) {
        self.counts[group].rejected += 1;
        let scheduler = &mut self.nodes[node].scheduler;
        scheduler.note_failure(self.now, attempt);
        scheduler.suspect(self.now, &format!("g-i-{group}"), 1);
        scheduler.ended(attempt);
    }

    fn step_engine(&mut self, group: usize) {
        let step = self.engines[group].advance(self.now);
        for request in step.events {
            let scheduler = &mut self.nodes[request.node].scheduler;
            let first = scheduler.note_event(self.now, request.attempt);
            if first.is_some() && self.now > request.arrived + at(300) {
                self.counts[group].late += 1;
            }
        }
        for request in step.ended {
            self.nodes[request.node].scheduler.ended(request.attempt);
            let mut tick = SchedulerTick::default();
            self.nodes[request.node].scheduler.pump(self.now, &mut tick);
            self.apply(request.node, tick.queue_decisions);
        }
    }

    /// Ends all requests at a group as failed, as when its process ends.
    pub fn crash(&mut self, group: usize) {
        for request in self.engines[group].drain() {
            self.fail(group, request.node, request.attempt);
        }
    }

    fn tick(&mut self, node: usize) {
        let tick = self.nodes[node].scheduler.tick(self.now);
        for attempt in tick.moves {
            for group in 0..self.engines.len() {
                if self.engines[group].remove(node, attempt) {
                    self.counts[group].late += 1;
                    self.nodes[node].scheduler.ended(attempt);
                }
            }
        }
        self.apply(node, tick.queue_decisions);
    }

    fn apply(&mut self, node: usize, decisions: Vec<(TicketKey, PlacementDecision)>) {
        for (ticket, decision) in decisions {
            let arrived = self.nodes[node].waiting.remove(&ticket).unwrap();
            self.decide(node, arrived, decision);
        }
    }

    /// Sends the load report of a node to the nodes that it reaches in this turn.
    fn send_beacon(&mut self, from: usize) {
        let loads: Vec<PeerLoad> = self.nodes[from].scheduler.own_loads();
        let boot = from as u64;
        let domain = self.nodes[from].domain;
        let is_local = |node: &usize| self.nodes[*node].domain == domain;
        let hears = |node: &usize| {
            let is_cut_off = self.cut_off.is_some_and(|cut_off| {
                (cut_off == domain) != (cut_off == self.nodes[*node].domain)
            });
            *node != from && !is_cut_off
        };
        let (local, remote): (Vec<usize>, Vec<usize>) =
            (0..self.nodes.len()).filter(hears).partition(is_local);
        let turn = usize::try_from(self.millis() / BEACON_MS).unwrap();
        for (peers, count) in [(local, LOCAL_PEERS), (remote, REMOTE_PEERS)] {
            for index in 0..count.min(peers.len()) {
                let peer = peers[(turn * count + index) % peers.len()];
                let scheduler = &mut self.nodes[peer].scheduler;
                scheduler.peers.take(self.now, boot, loads.clone());
            }
        }
    }
}
