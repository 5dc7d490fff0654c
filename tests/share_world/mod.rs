//! Nodes with the real scheduler, replica groups, and accounts that send more requests than these
//! can run, in virtual time.
#![allow(dead_code)]

use {
    super::node_fixtures::{at, head, model, profile, request, routes, row_version, stream_route},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
        time::Duration,
    },
    toucanring::core::{
        fairness::{AccountTag, CountSource, ReportScope, ShareReport, ShortageState, report_turn},
        fleet::FleetView,
        placement::{
            AttemptKey, PeerLoad, Placement, PlacementDecision, PlacementRequest,
            PlacementScheduler, RefusalCause, TicketKey,
        },
        routes::RouteTable,
    },
};

/// Requests that a group runs at once.
const SLOTS: usize = 26;

/// Steps of [`PROGRESS_INTERVAL`] for which a request runs; 1.2 s on average.
const RUN_STEPS: std::ops::RangeInclusive<u32> = 10..=30;

/// Requests that a group completes in a second.
pub const GROUP_RATE: f64 = 21.6;

const PROGRESS_INTERVAL: Duration = at(60);
const TICK_INTERVAL: Duration = at(30);
const BEACON_INTERVAL: Duration = at(80);
const DOMAINS: [&str; 3] = ["kochi", "kottayam", "thrissur"];

/// An account and what it sends.
#[derive(Debug, Clone)]
pub struct Demand {
    pub rate: f64,
    pub priority: u32,
    /// How often a refused request is sent again, 50 ms later.
    pub hasty_retries: u32,
}

/// Requests of an account in the measured time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tally {
    /// Requests, without those sent again.
    pub offered: f64,
    pub served: f64,
    pub by_plan: f64,
}

#[derive(Debug, Clone, Copy)]
struct Call {
    node: usize,
    account: usize,
    retries_left: u32,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Beacon(usize),
    Loads(usize, usize, Vec<PeerLoad>),
    Counts(usize, usize, ShareReport),
    Arrive(usize),
    Resend(Call),
    Progress(usize, AttemptKey, String, u32),
}

struct SimNode {
    scheduler: PlacementScheduler,
    fleet: FleetView,
    waiting: HashMap<TicketKey, Call>,
    sequence: u64,
}

#[derive(Default)]
struct Engine {
    running: usize,
    queue: VecDeque<(usize, AttemptKey)>,
}

/// The whole site.
pub struct ShareWorld {
    pub now: Duration,
    pub demands: Vec<Demand>,
    /// Tallies by side of the cut and account; all are on side 0 without a cut.
    pub tallies: BTreeMap<(usize, usize), Tally>,
    /// Time and state of each change of the shortage at any node.
    pub changes: Vec<(Duration, ShortageState)>,
    /// Time of the last request rejected by the plan; zero without one.
    pub last_by_plan: Duration,
    nodes: Vec<SimNode>,
    engines: BTreeMap<String, Engine>,
    table: RouteTable,
    is_cut: bool,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    bodies: HashMap<u64, Event>,
    next_event: u64,
    random: SmallRng,
    busy_slot_s: f64,
    measured_s: f64,
    busy_at: Duration,
}

impl ShareWorld {
    pub fn new(nodes: usize, groups: usize, demands: Vec<Demand>, with_shares: bool) -> Self {
        let rules = vec![stream_route("r-1", "/draft/", at(300))];
        let table = RouteTable::new(routes(1, rules, profile(vec![model("m-0", 1, 1.0)])));
        let mut world = Self {
            now: at(10_000),
            tallies: BTreeMap::new(),
            changes: Vec::new(),
            last_by_plan: Duration::ZERO,
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            table,
            is_cut: false,
            events: BinaryHeap::new(),
            bodies: HashMap::new(),
            next_event: 0,
            random: SmallRng::seed_from_u64(5),
            busy_slot_s: 0.0,
            measured_s: 0.0,
            busy_at: at(10_000),
            demands,
        };
        for index in 0..nodes {
            let mut scheduler = PlacementScheduler::new(domain_of(index), index as u64);
            if with_shares {
                scheduler.enable_account_shares();
            }
            world.nodes.push(SimNode {
                scheduler,
                fleet: FleetView::new(),
                waiting: HashMap::new(),
                sequence: 0,
            });
            let offset = world.random.random_range(0..80);
            world.schedule(at(offset), Event::Tick(index));
            world.schedule(at(offset), Event::Beacon(index));
        }
        for group in 0..groups {
            world.open_group(group);
        }
        for account in 0..world.demands.len() {
            world.schedule_arrival(account);
        }
        world
    }

    /// Opens a group, which all nodes see at once.
    pub fn open_group(&mut self, group: usize) {
        let mut entry = head(&format!("i-{group}"));
        domain_of(group).clone_into(&mut entry.failure_domain);
        self.engines.entry(entry.id.clone()).or_default();
        for node in &mut self.nodes {
            node.fleet.put(row_version(5 + group as u64), entry.clone());
            node.scheduler.sync(&node.fleet, &self.table);
        }
    }

    /// Sends `factor` times as many requests from now on.
    pub fn scale_demand(&mut self, factor: f64) {
        for demand in &mut self.demands {
            demand.rate *= factor;
        }
    }

    /// Cuts the first failure domain off: its nodes and groups see no others.
    pub fn cut(&mut self) {
        self.is_cut = true;
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let entries: Vec<_> = node.fleet.entries().cloned().collect();
            for (number, mut entry) in entries.into_iter().enumerate() {
                let is_same = (entry.failure_domain == DOMAINS[0]) == (index % 3 == 0);
                entry.leaving = !is_same;
                node.fleet.put(row_version(1_000 + number as u64), entry);
            }
            node.scheduler.sync(&node.fleet, &self.table);
        }
    }

    fn side_of(&self, node: usize) -> usize {
        usize::from(self.is_cut && node.is_multiple_of(3))
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.next_event += 1;
        self.events
            .push(Reverse((self.now + after, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }

    fn schedule_arrival(&mut self, account: usize) {
        let draw: f64 = self.random.random();
        let pause = -(1.0 - draw).ln() / self.demands[account].rate.max(1e-9);
        self.schedule(
            Duration::from_secs_f64(pause.min(1e6)),
            Event::Arrive(account),
        );
    }

    /// Runs for some time; the figures of the earlier time are dropped first.
    pub fn measure(&mut self, time: Duration) {
        self.tallies.clear();
        self.changes.clear();
        self.busy_slot_s = 0.0;
        self.measured_s = time.as_secs_f64();
        self.busy_at = self.now;
        let end = self.now + time;
        while let Some(Reverse((due, number))) = self.events.peek().copied() {
            if due > end {
                break;
            }
            self.events.pop();
            self.count_busy(due);
            self.now = due;
            let event = self.bodies.remove(&number).expect("each event has a body");
            self.apply(event);
        }
        self.count_busy(end);
        self.now = end;
    }

    #[allow(clippy::cast_precision_loss)]
    fn count_busy(&mut self, until: Duration) {
        let running: usize = self.engines.values().map(|engine| engine.running).sum();
        self.busy_slot_s += running as f64 * until.saturating_sub(self.busy_at).as_secs_f64();
        self.busy_at = until;
    }

    /// Part of the slots that were in use in the measured time.
    #[allow(clippy::cast_precision_loss)]
    pub fn busy_share(&self) -> f64 {
        self.busy_slot_s / (self.measured_s * (SLOTS * self.engines.len()) as f64)
    }

    /// Tallies of a side by account.
    pub fn tallies_of(&self, side: usize) -> Vec<Tally> {
        let accounts = 0..self.demands.len();
        let tally = |account| self.tallies.get(&(side, account)).copied();
        accounts
            .map(|account| tally(account).unwrap_or_default())
            .collect()
    }

    fn tally(&mut self, call: Call) -> &mut Tally {
        let side = self.side_of(call.node);
        self.tallies.entry((side, call.account)).or_default()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                let tick = self.nodes[node].scheduler.tick(self.now);
                for change in tick.shortages {
                    self.changes.push((self.now, change.state));
                }
                self.decide_waiting(node, tick.queue_decisions);
                self.schedule(TICK_INTERVAL, Event::Tick(node));
            }
            Event::Beacon(node) => self.send_beacon(node),
            Event::Loads(from, to, loads) => {
                let scheduler = &mut self.nodes[to].scheduler;
                scheduler.peers.take(self.now, from as u64, loads);
            }
            Event::Counts(from, to, report) => self.take_report(from, to, &report),
            Event::Arrive(account) => {
                let call = Call {
                    node: self.random.random_range(0..self.nodes.len()),
                    account,
                    retries_left: self.demands[account].hasty_retries,
                };
                self.tally(call).offered += 1.0;
                self.arrive(call);
                self.schedule_arrival(account);
            }
            Event::Resend(call) => self.arrive(call),
            Event::Progress(node, attempt, head, left) => self.progress(node, attempt, head, left),
        }
    }

    fn arrive(&mut self, call: Call) {
        let demand = &self.demands[call.account];
        let request = PlacementRequest {
            priority: demand.priority,
            account: AccountTag::of(Some(&format!("account-{}", call.account))),
            ..request(self.now)
        };
        let decision = self.nodes[call.node].scheduler.arrive(self.now, &request);
        self.decide(call, decision);
    }

    fn decide(&mut self, call: Call, decision: PlacementDecision) {
        match decision {
            PlacementDecision::Place(placement) => {
                self.tally(call).served += 1.0;
                self.start(call.node, &placement);
            }
            PlacementDecision::Wait(ticket) => {
                self.nodes[call.node].waiting.insert(ticket, call);
            }
            PlacementDecision::Refuse { cause, .. } => {
                if cause == RefusalCause::AccountShare {
                    self.tally(call).by_plan += 1.0;
                    self.last_by_plan = self.now;
                }
                if call.retries_left > 0 {
                    let retries_left = call.retries_left - 1;
                    let again = Call {
                        retries_left,
                        ..call
                    };
                    self.schedule(at(50), Event::Resend(again));
                }
            }
        }
    }

    fn decide_waiting(&mut self, node: usize, decisions: Vec<(TicketKey, PlacementDecision)>) {
        for (ticket, decision) in decisions {
            let call = self.nodes[node].waiting.remove(&ticket);
            self.decide(call.expect("a waiting call"), decision);
        }
    }

    fn start(&mut self, node: usize, placement: &Placement) {
        let engine = self.engines.get_mut(&placement.head).expect("an engine");
        if engine.running >= SLOTS {
            engine.queue.push_back((node, placement.attempt));
            return;
        }
        engine.running += 1;
        self.run_at(node, placement.attempt, placement.head.clone());
    }

    fn run_at(&mut self, node: usize, attempt: AttemptKey, head: String) {
        let steps = self.random.random_range(RUN_STEPS);
        let event = Event::Progress(node, attempt, head, steps);
        self.schedule(PROGRESS_INTERVAL, event);
    }

    fn progress(&mut self, node: usize, attempt: AttemptKey, head: String, left: u32) {
        let scheduler = &mut self.nodes[node].scheduler;
        scheduler.note_events(self.now, attempt, 8);
        if left > 1 {
            let event = Event::Progress(node, attempt, head, left - 1);
            self.schedule(PROGRESS_INTERVAL, event);
            return;
        }
        scheduler.ended(attempt);
        let mut tick = toucanring::core::placement::SchedulerTick::default();
        scheduler.pump(self.now, &mut tick);
        let engine = self.engines.get_mut(&head).expect("an engine");
        match engine.queue.pop_front() {
            Some((next_node, next)) => self.run_at(next_node, next, head),
            None => engine.running -= 1,
        }
        self.decide_waiting(node, tick.queue_decisions);
    }

    /// Sends a beacon to all nodes of the own failure domain and to ten others in turn, as nodes
    /// do; it arrives 0.1 to 0.3 s later.
    fn send_beacon(&mut self, from: usize) {
        self.schedule(BEACON_INTERVAL, Event::Beacon(from));
        let now = self.now;
        let node = &mut self.nodes[from];
        node.sequence += 1;
        let sequence = node.sequence;
        let loads = node.scheduler.own_loads();
        let turn = report_turn(from as u64, sequence);
        let reports = turn
            .zip(node.scheduler.shares.as_ref())
            .map(|(turn, shares)| {
                [ReportScope::Node, ReportScope::FailureDomain]
                    .map(|scope| shares.report(now, scope, turn))
            });
        let [own, domain] = reports.unwrap_or_default();
        let count = self.nodes.len();
        let remote = (0..count)
            .filter(|to| to % 3 != from % 3)
            .collect::<Vec<_>>();
        let turns = remote.len().div_ceil(10).max(1);
        let turn = usize::try_from(sequence + sequence / 5).unwrap() % turns;
        let local = (0..count).filter(|to| to % 3 == from % 3 && *to != from);
        for to in local {
            self.send(from, to, &loads, own.clone());
        }
        for to in remote.into_iter().skip(turn).step_by(turns) {
            if !self.is_cut || self.side_of(from) == self.side_of(to) {
                self.send(from, to, &loads, domain.clone());
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, loads: &[PeerLoad], report: Option<ShareReport>) {
        let delay = at(self.random.random_range(20..60));
        self.schedule(delay, Event::Loads(from, to, loads.to_vec()));
        if let Some(report) = report {
            let delay = at(self.random.random_range(100..300));
            self.schedule(delay, Event::Counts(from, to, report));
        }
    }

    fn take_report(&mut self, from: usize, to: usize, report: &ShareReport) {
        let domains = (domain_of(from), domain_of(to));
        let source = CountSource::of(report.scope, from as u64, domains.0, domains.1);
        let shares = &mut self.nodes[to].scheduler.shares;
        let shares = shares.as_mut().expect("only nodes with shares report");
        shares.take(self.now, source.expect("the right scope"), report);
    }
}

fn domain_of(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()]
}
