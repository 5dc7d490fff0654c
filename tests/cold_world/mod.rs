//! A failure domain with cold servers and the nodes of all failure domains, in virtual time.

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    toucanring::core::cold::{
        ColdBound, ColdLimiter, ColdPermit, ColdRule, EntryFacts, NodeSighting,
    },
};

/// Time between two steps of the world, and between two looks of a node at its waiting requests.
const STEP: Duration = Duration::from_millis(10);

/// Time between two beacons of a node, and most nodes of the failure domain that get one.
const BEACON_INTERVAL: Duration = Duration::from_millis(80);
const MAX_PER_ROUND: usize = 40;

/// Time between two updates of a node's list of nodes.
const UPDATE_INTERVAL: Duration = Duration::from_millis(90);

/// Longest way of a request to its server.
const MAX_LATENCY_MS: f64 = 30.0;

/// Time for which a request waits for a permit.
const MAX_WAIT: Duration = Duration::from_millis(250);

pub const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What happens in a world. Times are on its own clock.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Nodes in the failure domain of the servers; there are twice as many in others.
    pub nodes: usize,
    pub servers: usize,
    pub per_s: f64,
    pub bound: ColdBound,
    /// Time from which every third node and the others don't hear each other.
    pub cut_at: Option<Duration>,
    /// Nodes of the failure domain that start late, at equal distances up to `cold_at`.
    pub late_starts: usize,
    /// Nodes of the failure domain that are lost, at equal distances while the servers are cold.
    pub losses: usize,
    /// Share of the pairs of nodes of which one doesn't hear the other.
    pub deaf_share: f64,
    pub cold_at: Duration,
    pub cold_for: Duration,
    /// Requests of the nodes of the failure domain, relative to the rate that all servers tolerate.
    pub demand: f64,
    /// False to send without permits.
    pub limited: bool,
    pub seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            nodes: 22,
            servers: 74,
            per_s: 14.0,
            bound: ColdBound {
                overage: 1.5,
                tolerance: 5.0,
            },
            cut_at: None,
            late_starts: 0,
            losses: 0,
            deaf_share: 0.0,
            cold_at: at(3_000),
            cold_for: at(6_000),
            demand: 2.0,
            limited: true,
            seed: 1,
        }
    }
}

struct WorldNode {
    address: SocketAddr,
    is_local: bool,
    limiter: ColdLimiter,
    /// Own time minus that of the world, and length of a second of the world on its clock.
    offset: Duration,
    rate: f64,
    started: Duration,
    lost_at: Duration,
    next_beacon: Duration,
    beacons: usize,
    next_update: Duration,
    /// Last beacon from each other node of the failure domain, on the own clock.
    heard: Vec<Option<Duration>>,
    deaf_to: Vec<bool>,
    /// Latest times of use of the waiting requests, on the clock of the world.
    waiting: Vec<Duration>,
    demand: f64,
    /// Times before which the servers need not be looked at, on the own clock.
    closed_until: Vec<Duration>,
}

pub struct ColdWorld {
    scenario: Scenario,
    nodes: Vec<WorldNode>,
    random: ChaCha8Rng,
    /// Arrivals of requests at each server.
    arrivals: Vec<Vec<Duration>>,
}

fn server_name(index: usize) -> String {
    format!("i-kochi-{index}")
}

fn facts(index: usize, cold_left: Option<Duration>) -> EntryFacts {
    EntryFacts {
        server: server_name(index),
        service: "model".to_owned(),
        failure_domain: "kochi".to_owned(),
        born_ms: 1,
        cold_left,
        age: Some(Duration::from_mins(5)),
    }
}

impl ColdWorld {
    pub fn new(scenario: Scenario) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        let mut nodes = Vec::new();
        let total = 3 * scenario.nodes;
        for index in 0..total {
            let is_local = index < scenario.nodes;
            nodes.push(new_node(&scenario, index, is_local, &mut random));
        }
        Self {
            arrivals: vec![Vec::new(); scenario.servers],
            scenario,
            nodes,
            random,
        }
    }

    /// Runs from the start of the nodes until the servers are warm.
    pub fn run(&mut self) {
        let end = self.scenario.cold_at + self.scenario.cold_for;
        let mut now = Duration::ZERO;
        let mut is_cold = false;
        while now < end {
            if !is_cold && now >= self.scenario.cold_at {
                is_cold = true;
                self.announce_cold(now);
            }
            self.exchange_beacons(now);
            for node in 0..self.nodes.len() {
                self.update_node(node, now);
                if is_cold {
                    self.place_requests(node, now);
                }
            }
            now += STEP;
        }
    }

    fn announce_cold(&mut self, now: Duration) {
        let left = self.scenario.cold_for;
        for node in &mut self.nodes {
            let at = node.time(now);
            for server in 0..self.scenario.servers {
                node.limiter.note_entry(at, &facts(server, Some(left)));
            }
        }
    }

    fn exchange_beacons(&mut self, now: Duration) {
        let local = self.scenario.nodes;
        for sender in 0..local {
            let node = &mut self.nodes[sender];
            if !node.is_alive(now) || now < node.next_beacon {
                continue;
            }
            node.next_beacon += BEACON_INTERVAL;
            node.beacons += 1;
            let turns = (local - 1).div_ceil(MAX_PER_ROUND).max(1);
            let turn = node.beacons % turns;
            for receiver in (0..local).filter(|receiver| receiver % turns == turn) {
                let cut = self.scenario.cut_at.is_some_and(|cut_at| now >= cut_at);
                let is_parted = cut && (sender % 3 == 0) != (receiver % 3 == 0);
                let receiver = &mut self.nodes[receiver];
                if is_parted || receiver.deaf_to[sender] || !receiver.is_alive(now) {
                    continue;
                }
                let at = receiver.time(now);
                receiver.heard[sender] = Some(at);
            }
        }
    }

    fn update_node(&mut self, index: usize, now: Duration) {
        if now < self.nodes[index].next_update {
            return;
        }
        let local = &self.nodes[..self.scenario.nodes];
        let addresses: Vec<SocketAddr> = local.iter().map(|node| node.address).collect();
        let known = local.iter().map(|node| node.limiter.known_nodes());
        let known: Vec<u16> = known.map(|known| known.try_into().unwrap()).collect();
        let node = &mut self.nodes[index];
        if !node.is_alive(now) || !node.is_local {
            return;
        }
        node.next_update = now + UPDATE_INTERVAL;
        let at = node.time(now);
        let mut sightings = Vec::new();
        for (other, heard_at) in node.heard.iter().enumerate() {
            if let Some(heard_at) = heard_at.filter(|_| other != index) {
                sightings.push(NodeSighting {
                    address: addresses[other],
                    heard_at,
                    stopping: false,
                    known_nodes: known[other],
                });
            }
        }
        node.limiter.update_nodes(at, sightings);
        node.closed_until.fill(Duration::ZERO);
    }

    /// Places the waiting requests of a node at servers for which it has permits.
    fn place_requests(&mut self, index: usize, now: Duration) {
        let scenario = &self.scenario;
        let node = &mut self.nodes[index];
        if !node.is_alive(now) {
            return;
        }
        #[allow(clippy::cast_precision_loss)]
        let share = scenario.servers as f64 / scenario.nodes as f64;
        node.demand += scenario.demand * scenario.per_s * share * STEP.as_secs_f64();
        while node.demand >= 1.0 {
            node.demand -= 1.0;
            node.waiting.push(now + MAX_WAIT);
        }
        node.waiting.retain(|until| now < *until);
        let at = node.time(now);
        let first = self.random.random_range(0..scenario.servers);
        for step in 0..scenario.servers {
            let server = (first + step) % scenario.servers;
            let name = server_name(server);
            while !node.waiting.is_empty() && node.may_send(at, server, &name, scenario.limited) {
                node.waiting.pop();
                node.limiter.spend(at, &name);
                let latency = self.random.random::<f64>() * MAX_LATENCY_MS / 1_000.0;
                self.arrivals[server].push(now + Duration::from_secs_f64(latency));
                if !scenario.limited {
                    break;
                }
            }
        }
    }

    /// Most requests that reached one server in any second.
    pub fn most_in_second(&mut self) -> u32 {
        let mut most = 0;
        for arrivals in &mut self.arrivals {
            arrivals.sort_unstable();
            let mut first = 0;
            for (index, arrival) in arrivals.iter().enumerate() {
                while arrivals[first] + at(1_000) < *arrival {
                    first += 1;
                }
                most = most.max(index - first + 1);
            }
        }
        u32::try_from(most).unwrap()
    }

    /// Requests at all servers relative to those that they tolerate in the time for which they are
    /// cold.
    #[allow(clippy::cast_precision_loss)]
    pub fn used_share(&self) -> f64 {
        let sent: usize = self.arrivals.iter().map(Vec::len).sum();
        let tolerated = self.scenario.per_s * self.scenario.cold_for.as_secs_f64();
        sent as f64 / (tolerated * self.scenario.servers as f64)
    }
}

fn new_node(
    scenario: &Scenario,
    index: usize,
    is_local: bool,
    random: &mut ChaCha8Rng,
) -> WorldNode {
    let number = u16::try_from(index).unwrap();
    let ip = Ipv4Addr::from(0x0a00_0000 + u32::from(number) + 1);
    let address = SocketAddr::from((ip, 7_000));
    let is_late = is_local && index < scenario.late_starts;
    let started = if is_late {
        scenario.cold_at.mul_f64(random.random())
    } else {
        Duration::ZERO
    };
    let is_lost = is_local && index >= scenario.nodes - scenario.losses;
    let lost_at = if is_lost {
        scenario.cold_at + scenario.cold_for.mul_f64(random.random())
    } else {
        Duration::MAX
    };
    let offset = Duration::from_secs_f64(100.0 * random.random::<f64>());
    let rate = 1.0 + 0.002 * (random.random::<f64>() - 0.5);
    let domain = if is_local { "kochi" } else { "kollam" };
    let own_start = offset + started.mul_f64(rate);
    let mut limiter = ColdLimiter::new(address, domain, scenario.bound, own_start);
    let rule = ColdRule {
        start: at(3_000),
        per_s: scenario.per_s,
    };
    limiter.set_rules([("model".to_owned(), rule)]);
    for server in 0..scenario.servers {
        limiter.note_entry(own_start, &facts(server, None));
    }
    let deaf_to = (0..scenario.nodes)
        .map(|_| random.random::<f64>() < scenario.deaf_share)
        .collect();
    WorldNode {
        address,
        is_local,
        limiter,
        offset,
        rate,
        started,
        lost_at,
        next_beacon: started + BEACON_INTERVAL.mul_f64(random.random()),
        beacons: index,
        next_update: started + UPDATE_INTERVAL.mul_f64(random.random()),
        heard: vec![None; scenario.nodes],
        deaf_to,
        waiting: Vec::new(),
        demand: random.random(),
        closed_until: vec![Duration::ZERO; scenario.servers],
    }
}

impl WorldNode {
    /// Time on the node's own clock.
    fn time(&self, now: Duration) -> Duration {
        self.offset + now.mul_f64(self.rate)
    }

    fn may_send(&mut self, at: Duration, server: usize, name: &str, is_limited: bool) -> bool {
        if !is_limited {
            return true;
        }
        if at < self.closed_until[server] {
            return false;
        }
        let ColdPermit::At(until) = self.limiter.permit(at, name) else {
            return true;
        };
        self.closed_until[server] = until;
        false
    }

    fn is_alive(&self, now: Duration) -> bool {
        now >= self.started && now < self.lost_at
    }
}
