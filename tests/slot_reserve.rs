//! Replays demand above the capacity of the groups, seen by many gateways whose load reports lag.

mod node_fixtures;

use {
    node_fixtures::{GatewayWorld, at, head, request},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::time::Duration,
    toucanring::core::{
        fleet::BackendEntry,
        placement::{AttemptKey, PeerLoad, PlacementDecision, PlacementScheduler, SchedulerTick},
    },
};

/// Slots of each group in the fixtures.
const SLOTS: usize = 26;

/// Number of groups, in one failure domain.
const GROUPS: usize = 6;

/// Mean time for which a request runs.
const RUN_TIME: Duration = at(2_000);

/// Interval of the load reports, and the time that each is on its way.
const REPORT_INTERVAL: Duration = at(80);
const REPORT_DELAY: Duration = at(60);

/// Step of the replay.
const STEP: Duration = at(10);

struct RunningAttempt {
    gateway: usize,
    group: String,
    attempt: AttemptKey,
    ends_at: Duration,
}

/// Load that a gateway reported, on its way to the others.
struct SentReport {
    sender: usize,
    arrives_at: Duration,
    loads: Vec<PeerLoad>,
}

struct OverloadReplay {
    now: Duration,
    gateways: Vec<GatewayWorld>,
    running: Vec<RunningAttempt>,
    reports: Vec<SentReport>,
    random: SmallRng,
    /// Requests that arrive in one step, on average.
    arrivals: f64,
}

/// A gateway with random numbers of its own.
fn gateway_world(heads: &[BackendEntry], gateway: usize) -> GatewayWorld {
    let mut world = GatewayWorld::new(heads.to_vec());
    world.scheduler = PlacementScheduler::new("kochi", 7_919 * (gateway as u64 + 1));
    world.scheduler.enable_slot_division();
    world.sync();
    world
}

impl OverloadReplay {
    /// Demand of `pressure` times what the slots of all groups can run.
    fn new(gateways: usize, pressure: f64, seed: u64) -> Self {
        let heads: Vec<_> = (0..GROUPS)
            .map(|group| head(&format!("i-{group}")))
            .collect();
        let worlds = (0..gateways).map(|gateway| gateway_world(&heads, gateway));
        #[allow(clippy::cast_precision_loss)] // small counts
        let capacity = (GROUPS * SLOTS) as f64 * STEP.as_secs_f64() / RUN_TIME.as_secs_f64();
        Self {
            now: at(1_000),
            gateways: worlds.collect(),
            running: Vec::new(),
            reports: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            arrivals: capacity * pressure,
        }
    }

    fn begin(&mut self, gateway: usize, decision: PlacementDecision) {
        let PlacementDecision::Place(placement) = decision else {
            return;
        };
        let scheduler = &mut self.gateways[gateway].scheduler;
        scheduler.note_event(self.now, placement.attempt);
        let run_time = RUN_TIME.mul_f64(self.random.random_range(0.4..1.6));
        self.running.push(RunningAttempt {
            gateway,
            group: placement.group,
            attempt: placement.attempt,
            ends_at: self.now + run_time,
        });
    }

    fn step(&mut self) {
        self.now += STEP;
        self.end_attempts();
        let count = self.arrivals + self.random.random::<f64>();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // a small count
        for _ in 0..count as usize {
            let gateway = self.random.random_range(0..self.gateways.len());
            let request = request(self.now);
            let decision = self.gateways[gateway].scheduler.arrive(self.now, &request);
            self.begin(gateway, decision);
        }
        self.exchange_reports();
        for gateway in 0..self.gateways.len() {
            let tick = self.gateways[gateway].scheduler.tick(self.now);
            self.begin_queued(gateway, tick);
        }
    }

    fn begin_queued(&mut self, gateway: usize, tick: SchedulerTick) {
        for (_, decision) in tick.queue_decisions {
            self.begin(gateway, decision);
        }
    }

    fn end_attempts(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self
            .running
            .extract_if(.., |one| now >= one.ends_at)
            .collect();
        for one in ended {
            let scheduler = &mut self.gateways[one.gateway].scheduler;
            scheduler.ended(one.attempt);
            let mut tick = SchedulerTick::default();
            scheduler.pump(now, &mut tick);
            self.begin_queued(one.gateway, tick);
        }
    }

    fn exchange_reports(&mut self) {
        let steps = REPORT_INTERVAL.as_millis() / STEP.as_millis();
        let round = self.now.as_millis() / STEP.as_millis();
        for (sender, world) in self.gateways.iter().enumerate() {
            if (round + sender as u128).is_multiple_of(steps) {
                self.reports.push(SentReport {
                    sender,
                    arrives_at: self.now + REPORT_DELAY,
                    loads: world.scheduler.own_loads(),
                });
            }
        }
        let now = self.now;
        let arrived: Vec<_> = self
            .reports
            .extract_if(.., |one| now >= one.arrives_at)
            .collect();
        for report in arrived {
            for (gateway, world) in self.gateways.iter_mut().enumerate() {
                if gateway != report.sender {
                    let boot = report.sender as u64;
                    world.scheduler.peers.take(now, boot, report.loads.clone());
                }
            }
        }
    }

    /// Requests at each group.
    fn running_by_group(&self) -> Vec<usize> {
        let count = |group| {
            let name = format!("g-i-{group}");
            self.running.iter().filter(|one| one.group == name).count()
        };
        (0..GROUPS).map(count).collect()
    }
}

/// Guards against free slots that many gateways fill at once, so that requests wait in the queues
/// of the heads until they are late.
#[rstest]
fn many_gateways_do_not_fill_the_same_slot(
    #[values(22, 40)] gateways: usize,
    #[values(1.5, 2.5)] pressure: f64,
    #[values(1, 2)] seed: u64,
) {
    let mut replay = OverloadReplay::new(gateways, pressure, seed);
    let (mut above, mut used, mut samples) = (0, 0, 0);

    for step in 0..800 {
        replay.step();
        if step < 300 {
            continue;
        }
        for running in replay.running_by_group() {
            above += running.saturating_sub(SLOTS);
            used += running.min(SLOTS);
            samples += SLOTS;
        }
    }

    assert!(
        above * 10 <= samples,
        "{above} requests above {samples} slots"
    );
    assert!(used * 10 >= samples * 9, "{used} of {samples} slots used");
}
