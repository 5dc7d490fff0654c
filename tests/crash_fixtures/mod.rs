//! Gateways, servers and callers in virtual time, of which some requests crash their servers. Only
//! the crash tracker and the exchange of its news are the real code.
#![allow(dead_code, missing_docs, unused_imports)]

mod crash_load;

pub use crash_load::{CrashCounts, CrashLoad, RepeatedRequest};

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        time::Duration,
    },
    toucanring::core::retry::{CrashNews, CrashSubject, CrashTracker, CrashVerdict, SubjectList},
};

/// Time after which a crashed server is back, as another incarnation.
const RESTART: Duration = Duration::from_secs(3);

/// Time after the fifth crash from which on sends count, as in the load pattern of the incident.
pub const SETTLING: Duration = Duration::from_secs(3);

/// Attempts that one gateway makes for a request, and times that its caller comes.
const MAX_ATTEMPTS: u32 = 2;
const MAX_VISITS: u32 = 2;

/// Time until the answer of a caller's visit has reached it and its next one the gateway.
const CALLER_DELAY: Duration = Duration::from_millis(6);

/// Time from the last sound run of a request to its first deadly one.
const SOUND_BEFORE: Duration = Duration::from_millis(2_500);

#[derive(Debug, Clone)]
struct Caller {
    subjects: SubjectList,
    digest: u32,
    /// The deadly part, or 0 for a whole request that crashes servers.
    deadly: Option<u64>,
    attempts: u32,
    visits: u32,
    gateway: usize,
}

#[derive(Debug, Clone)]
enum Event {
    Arrival,
    /// A round of the repeated request.
    Round,
    /// A gateway starts anew and knows nothing.
    Roll(usize),
    Visit(Box<Caller>),
    Begin {
        server: usize,
        incarnation: u32,
        request: usize,
    },
    Crash,
    /// A server is lost, whatever it runs.
    Loss(usize),
    Restart(usize),
    News {
        gateway: usize,
        news: CrashNews,
    },
    Send(usize),
    Sample,
}

#[derive(Debug, Default, Clone)]
struct Server {
    incarnation: u32,
    down: bool,
    waiting: Vec<usize>,
}

#[derive(Debug)]
pub struct CrashWorld {
    load: CrashLoad,
    rng: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize)>>,
    payloads: Vec<Option<Event>>,
    trackers: Vec<CrashTracker>,
    /// Time of the next scheduled send, by gateway.
    sends: Vec<Option<Duration>>,
    /// Time of the start of each gateway that started anew.
    rolled: Vec<Option<Duration>>,
    servers: Vec<Server>,
    requests: Vec<Caller>,
    next_id: u64,
    /// Number of crashes and time of the one after which sends are to stop, by deadly part.
    settling_crash: HashMap<u64, (usize, Duration)>,
    late_sends: HashMap<u64, usize>,
    counts: CrashCounts,
}

/// Plays a load from its start to its end.
pub fn play(load: CrashLoad) -> CrashCounts {
    let mut world = CrashWorld::new(load);
    world.run();
    world.counts
}

impl CrashWorld {
    fn new(load: CrashLoad) -> Self {
        let seeds = 0..u64::try_from(load.gateways).unwrap();
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(load.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            trackers: seeds.map(|seed| CrashTracker::new(seed * 7_919)).collect(),
            sends: vec![None; load.gateways],
            rolled: vec![None; load.gateways],
            servers: vec![Server::default(); load.servers],
            requests: Vec::new(),
            next_id: 1_000,
            settling_crash: HashMap::new(),
            late_sends: HashMap::new(),
            counts: CrashCounts::default(),
            load,
        };
        world.schedule(Duration::ZERO, Event::Arrival);
        world.schedule(Duration::from_secs(1), Event::Sample);
        if let Some(interval) = world.load.crash_interval {
            world.schedule(interval, Event::Crash);
        }
        if world.load.repeated.is_some() {
            world.schedule(world.load.deadly.0, Event::Round);
        }
        if let Some(at) = world.load.rolled_at {
            for gateway in 0..world.load.gateways {
                let delay = Duration::from_millis(world.rng.random_range(0..1_000));
                world.schedule(at + delay, Event::Roll(gateway));
            }
        }
        world
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events
            .push(Reverse((self.now + delay, self.payloads.len())));
        self.payloads.push(Some(event));
    }

    fn run(&mut self) {
        while let Some(Reverse((at, index))) = self.events.pop() {
            if at > self.load.end {
                return;
            }
            self.now = at;
            let event = self.payloads[index].take().expect("an event");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / self.load.rate;
                self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
                let caller = self.new_caller();
                self.visit(caller);
            }
            Event::Round => self.begin_round(),
            Event::Roll(gateway) => {
                let seed = u64::try_from(gateway).unwrap() * 7_919 + 1;
                self.trackers[gateway] = CrashTracker::new(seed);
                self.rolled[gateway] = Some(self.now);
            }
            Event::Visit(caller) => self.visit(*caller),
            Event::Begin {
                server,
                incarnation,
                request,
            } => self.begin(server, incarnation, request),
            Event::Crash => {
                let interval = self.load.crash_interval.expect("an interval");
                self.schedule(interval, Event::Crash);
                for server in 0..self.servers.len() {
                    if !self.rng.random_bool(self.load.crash_share) {
                        continue;
                    }
                    if self.load.crash_spread.is_zero() {
                        self.crash(server);
                        continue;
                    }
                    let delay = self
                        .rng
                        .random_range(Duration::ZERO..self.load.crash_spread);
                    self.schedule(delay, Event::Loss(server));
                }
            }
            Event::Loss(server) => self.crash(server),
            Event::Restart(server) => {
                self.servers[server].down = false;
                self.servers[server].incarnation += 1;
            }
            Event::News { gateway, news } => {
                self.trackers[gateway].merge(self.now, &news);
                self.arm(gateway);
            }
            Event::Send(gateway) => {
                self.sends[gateway] = None;
                self.trackers[gateway].review(self.now);
                let news = self.trackers[gateway].take_news(self.now);
                self.broadcast(gateway, &news);
                self.arm(gateway);
            }
            Event::Sample => {
                self.schedule(Duration::from_secs(1), Event::Sample);
                for gateway in 0..self.load.gateways {
                    self.trackers[gateway].expire(self.now);
                    let news = self.trackers[gateway].sample_blocks(self.now);
                    for _ in 0..3 {
                        let peer = self.rng.random_range(0..self.load.gateways);
                        self.send(peer, &news);
                    }
                }
            }
        }
    }

    /// Sends the copies of the repeated request, and schedules the next round.
    fn begin_round(&mut self) {
        let Some(request) = self.load.repeated.clone() else {
            return;
        };
        if self.now >= self.load.deadly.1 {
            return;
        }
        self.schedule(request.pause, Event::Round);
        if request.was_sound && self.now == self.load.deadly.0 {
            let sound_at = self.now.saturating_sub(SOUND_BEFORE);
            for tracker in &mut self.trackers {
                tracker.record_sound(sound_at, &[CrashSubject::Request(1)]);
            }
        }
        for _ in 0..request.copies {
            let mut digest = 1;
            let mut subjects = SubjectList::new();
            if request.is_part {
                self.next_id += 1;
                digest = self.next_id;
                subjects.push(CrashSubject::PromptPart(0));
                subjects.push(CrashSubject::PromptPart(500));
            }
            subjects.push(CrashSubject::Request(digest));
            self.visit(Caller {
                subjects,
                digest: u32::try_from(digest).unwrap(),
                deadly: Some(0),
                attempts: 0,
                visits: 0,
                gateway: 0,
            });
        }
    }

    fn new_caller(&mut self) -> Caller {
        let deadly = self.now >= self.load.deadly.0
            && self.now < self.load.deadly.1
            && self.rng.random_bool(self.load.deadly_share);
        if !deadly {
            self.counts.sound_arrivals += 1;
        }
        self.next_id += 1;
        // The square prefers low numbers, as popular first parts are.
        let share: f64 = self.rng.random();
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss
        )]
        let first = (share * share * self.load.parts as f64) as u64;
        let mut digest = self.next_id;
        if let Some(count) = self.load.sound_requests {
            digest = 100 + self.rng.random_range(0..count);
        }
        let mut subjects = SubjectList::from_slice(&[CrashSubject::PromptPart(first)]);
        let mut deadly_part = None;
        if deadly && self.load.whole_request {
            deadly_part = Some(0);
            digest = 1;
            subjects = SubjectList::from_slice(&[CrashSubject::PromptPart(0)]);
        } else if deadly {
            let part = 500 + self.next_id % self.load.deadly_parts;
            deadly_part = Some(part);
            subjects.push(CrashSubject::PromptPart(part));
        }
        subjects.push(CrashSubject::Request(digest));
        Caller {
            subjects,
            digest: u32::try_from(digest).unwrap(),
            deadly: deadly_part,
            attempts: 0,
            visits: 0,
            gateway: 0,
        }
    }

    fn is_blocked(&self, caller: &Caller) -> bool {
        let verdict = self.trackers[caller.gateway].verdict(self.now, &caller.subjects);
        self.load.tracked && matches!(verdict, CrashVerdict::Blocked(_))
    }

    fn visit(&mut self, mut caller: Caller) {
        caller.gateway = self.rng.random_range(0..self.load.gateways);
        caller.visits += 1;
        caller.attempts = 0;
        self.attempt(caller);
    }

    fn attempt(&mut self, mut caller: Caller) {
        if self.is_blocked(&caller) {
            if caller.deadly.is_none() {
                self.counts.sound_refused += 1;
            }
            self.come_back(caller);
            return;
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|server| !self.servers[*server].down)
            .collect();
        if up.is_empty() || caller.attempts >= MAX_ATTEMPTS {
            self.come_back(caller);
            return;
        }
        caller.attempts += 1;
        if let Some(part) = caller.deadly {
            self.count_deadly_send(part, caller.gateway);
        }
        let server = up[self.rng.random_range(0..up.len())];
        let request = self.requests.len();
        self.requests.push(caller);
        self.servers[server].waiting.push(request);
        let wait = Duration::from_millis(self.rng.random_range(60..400));
        let wait = match &self.load.repeated {
            Some(repeated) if self.requests[request].deadly.is_some() => repeated.run,
            _ => wait,
        };
        let incarnation = self.servers[server].incarnation;
        self.schedule(
            wait,
            Event::Begin {
                server,
                incarnation,
                request,
            },
        );
    }

    fn come_back(&mut self, caller: Caller) {
        let mut pause = Duration::from_millis(self.rng.random_range(100..900));
        let mut max_visits = MAX_VISITS;
        if let Some(repeated) = &self.load.repeated
            && caller.deadly.is_some()
        {
            max_visits = repeated.visits;
            pause = CALLER_DELAY;
        }
        if caller.visits < max_visits {
            self.schedule(pause, Event::Visit(Box::new(caller)));
        }
    }

    /// Crash after which the sends are to stop: the fifth by a part, the third by a whole request.
    fn counted_crash(&self) -> usize {
        let repeated = self.load.repeated.as_ref();
        if self.load.whole_request || repeated.is_some_and(|request| !request.is_part) {
            3
        } else {
            5
        }
    }

    fn count_deadly_send(&mut self, part: u64, gateway: usize) {
        self.counts.deadly_sends += 1;
        let Some((crashes, settling)) = self.settling_crash.get(&part).copied() else {
            return;
        };
        if crashes < self.counted_crash() {
            return;
        }
        // Sends of a gateway that has just started are not held against it.
        let has_settled = |at: Duration| self.now > at + SETTLING;
        if !self.rolled[gateway].is_none_or(has_settled) {
            return;
        }
        let since = self.now.saturating_sub(settling);
        self.counts.last_send_after = self.counts.last_send_after.max(since);
        if since > SETTLING {
            let late = self.late_sends.entry(part).or_default();
            *late += 1;
            self.counts.late_sends = self.counts.late_sends.max(*late);
        }
    }

    fn begin(&mut self, server: usize, incarnation: u32, request: usize) {
        let state = &mut self.servers[server];
        if state.down || state.incarnation != incarnation {
            return;
        }
        let caller = self.requests[request].clone();
        if let Some(part) = caller.deadly {
            self.counts.crashes += 1;
            let counted = self.counted_crash();
            let crashes = self.settling_crash.entry(part).or_default();
            crashes.0 += 1;
            if crashes.0 <= counted {
                crashes.1 = self.now;
            }
            self.crash(server);
            return;
        }
        state.waiting.retain(|other| *other != request);
        self.counts.sound_served += 1;
        self.trackers[caller.gateway].record_sound(self.now, &caller.subjects);
        self.arm(caller.gateway);
    }

    /// Breaks the connections of all requests that wait at a server.
    fn crash(&mut self, server: usize) {
        if self.servers[server].down {
            return;
        }
        self.servers[server].down = true;
        self.schedule(RESTART, Event::Restart(server));
        let number = u32::try_from(server).unwrap() << 16 | self.servers[server].incarnation;
        let waiting = std::mem::take(&mut self.servers[server].waiting);
        for request in &waiting {
            let caller = self.requests[*request].clone();
            let tracker = &mut self.trackers[caller.gateway];
            tracker.record_crash(self.now, number, caller.digest, &caller.subjects);
            self.arm(caller.gateway);
        }
        for request in waiting {
            let caller = self.requests[request].clone();
            self.attempt(caller);
        }
    }

    /// Schedules the next send of a gateway that has news.
    fn arm(&mut self, gateway: usize) {
        if let Some(due) = self.trackers[gateway].next_due() {
            let delay = due.saturating_sub(self.now).max(Duration::from_millis(1));
            let at = self.now + delay;
            if self.sends[gateway].is_none_or(|known| at < known) {
                self.sends[gateway] = Some(at);
                self.schedule(delay, Event::Send(gateway));
            }
        }
    }

    fn broadcast(&mut self, gateway: usize, news: &CrashNews) {
        for peer in 0..self.load.gateways {
            if peer != gateway {
                self.send(peer, news);
            }
        }
    }

    fn send(&mut self, peer: usize, news: &CrashNews) {
        if news.is_empty() {
            return;
        }
        self.counts.datagrams += 1;
        if self.rng.random_bool(self.load.loss) {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..40));
        let news = news.clone();
        self.schedule(
            delay,
            Event::News {
                gateway: peer,
                news,
            },
        );
    }
}
