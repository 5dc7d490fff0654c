//! Claims with lost, late and refused writes, stale reads and killed gateways, in virtual time.

use {
    proptest::prelude::*,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        core::claims::{
            ClaimAction, ClaimDecision, ClaimEvent, ClaimManager, ClaimRequest, ClaimRow,
            ClaimState, CommitResult, ReadResult, RecordedOutcome,
        },
        wire::{CommitRequest, RowCondition},
    },
};

const GATEWAYS: usize = 3;
const STEP: Duration = Duration::from_millis(2);

/// Table service that keeps all versions of each row, oldest first.
#[derive(Default)]
struct FakeTable {
    rows: BTreeMap<String, Vec<(u64, ClaimRow)>>,
    version: u64,
}

impl FakeTable {
    fn commit(&mut self, request: &CommitRequest) -> CommitResult {
        let newest = |key: &String| self.rows.get(key).and_then(|row| row.last());
        let conflicts: Vec<RowCondition> = request
            .conditions
            .iter()
            .map(|condition| {
                let version = newest(&condition.key).map_or(0, |(version, _)| *version);
                (condition.version != version, condition.key.clone(), version)
            })
            .filter(|(failed, ..)| *failed)
            .map(|(_, key, version)| RowCondition { key, version })
            .collect();
        if !conflicts.is_empty() {
            return CommitResult::Conflict(conflicts);
        }
        self.version += 1;
        for write in &request.writes {
            let row = serde_json::from_value(write.value.clone()).expect("claim row");
            let versions = self.rows.entry(write.key.clone()).or_default();
            versions.push((self.version, row));
        }
        CommitResult::Committed(self.version)
    }

    fn read(&self, key: &str, stale: bool) -> ReadResult {
        let versions = self.rows.get(key).map_or(&[][..], Vec::as_slice);
        let versions_back = usize::from(stale) + 1;
        match versions.len().checked_sub(versions_back) {
            Some(index) => ReadResult::Found(versions[index].0, versions[index].1.clone()),
            None => ReadResult::Missing,
        }
    }
}

/// Effect of a call that happens at a later time.
enum DelayedEffect {
    /// A commit whose caller was told that its result is unknown.
    Apply(CommitRequest),
    /// An event for a gateway, dropped when the gateway has another boot by then.
    Event(usize, u64, ClaimEvent),
}

#[derive(Default)]
struct RunCounts {
    runs: u32,
    granted: u32,
    recorded: bool,
    refused: Vec<u64>,
}

struct ClaimWorld {
    rng: ChaCha8Rng,
    now: Duration,
    table: FakeTable,
    /// Boot number and claims of each gateway.
    managers: Vec<(u64, ClaimManager)>,
    delayed: Vec<(Duration, DelayedEffect)>,
    counts: RunCounts,
    /// Probability of a fault in each call.
    faults: f64,
}

fn outcome() -> RecordedOutcome {
    RecordedOutcome {
        status: 200,
        content_type: "application/json".to_owned(),
        body: "booked".to_owned(),
    }
}

impl ClaimWorld {
    fn new(seed: u64, faults: f64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::ZERO,
            table: FakeTable::default(),
            managers: (0..GATEWAYS)
                .map(|boot| (boot as u64, ClaimManager::default()))
                .collect(),
            delayed: Vec::new(),
            counts: RunCounts::default(),
            faults,
        }
    }

    fn step(&mut self, gateway: usize, event: ClaimEvent) {
        let mut out = Vec::new();
        self.managers[gateway].1.step(self.now, event, &mut out);
        for action in out {
            self.perform(gateway, action);
        }
    }

    fn after(&mut self, min_ms: u64, max_ms: u64) -> Duration {
        self.now + Duration::from_millis(self.rng.random_range(min_ms..max_ms))
    }

    fn answer(&mut self, at: Duration, gateway: usize, event: ClaimEvent) {
        let boot = self.managers[gateway].0;
        self.delayed
            .push((at, DelayedEffect::Event(gateway, boot, event)));
    }

    fn perform(&mut self, gateway: usize, action: ClaimAction) {
        match action {
            ClaimAction::Commit(batch, request) => {
                let faulty = self.rng.random_bool(self.faults);
                if !faulty {
                    let result = self.table.commit(&request);
                    let at = self.after(1, 20);
                    self.answer(at, gateway, ClaimEvent::Committed(batch, result));
                    return;
                }
                if self.rng.random_bool(0.7) {
                    let at = self.after(1, 6_000);
                    self.delayed.push((at, DelayedEffect::Apply(request)));
                }
                let at = self.after(100, 2_000);
                let event = ClaimEvent::Committed(batch, CommitResult::Unknown);
                self.answer(at, gateway, event);
            }
            ClaimAction::Read(ticket, key) => {
                let result = if self.rng.random_bool(self.faults) {
                    ReadResult::Failed
                } else {
                    let stale = self.rng.random_bool(self.faults / 2.0);
                    self.table.read(&key, stale)
                };
                let at = self.after(1, 100);
                self.answer(at, gateway, ClaimEvent::Read(ticket, result));
            }
            ClaimAction::Decision(ticket, decision) => self.verify(gateway, ticket, decision),
        }
    }

    fn verify(&mut self, gateway: usize, ticket: u64, decision: ClaimDecision) {
        match decision {
            ClaimDecision::Granted => {
                assert!(
                    !self.counts.refused.contains(&ticket),
                    "granted after a refusal"
                );
                self.counts.granted += 1;
                let choice = self.rng.random_range(0..10);
                let event = if choice < 3 {
                    ClaimEvent::Release(ticket)
                } else {
                    self.counts.runs += 1;
                    if choice < 8 {
                        self.counts.recorded = true;
                        ClaimEvent::Record(ticket, outcome())
                    } else {
                        ClaimEvent::Abandon(ticket)
                    }
                };
                let at = self.after(1, 300);
                self.answer(at, gateway, event);
            }
            ClaimDecision::NotWritten => self.counts.refused.push(ticket),
            ClaimDecision::Recorded(given) => {
                assert!(self.counts.recorded, "an outcome that was never recorded");
                assert_eq!(given, outcome());
            }
            ClaimDecision::Held => {}
            ClaimDecision::KeyReused => panic!("all arrivals carry the same body"),
        }
    }

    fn run_until(&mut self, end: Duration) {
        while self.now < end {
            self.now += STEP;
            let (due, delayed) = std::mem::take(&mut self.delayed)
                .into_iter()
                .partition(|(at, _)| *at <= self.now);
            self.delayed = delayed;
            for (_, event) in due {
                match event {
                    DelayedEffect::Apply(request) => {
                        self.table.commit(&request);
                    }
                    DelayedEffect::Event(gateway, boot, event)
                        if self.managers[gateway].0 == boot =>
                    {
                        self.step(gateway, event);
                    }
                    DelayedEffect::Event(..) => {}
                }
            }
            for gateway in 0..GATEWAYS {
                self.step(gateway, ClaimEvent::Tick);
            }
        }
    }

    fn arrive(&mut self, ticket: u64) {
        let gateway = self.rng.random_range(0..GATEWAYS);
        let wait = self.rng.random_range(50..3_000);
        let request = ClaimRequest {
            ticket,
            key: "claim/caster/one".to_owned(),
            token: 1_000 + ticket,
            fingerprint: 7,
            deadline: self.now + Duration::from_millis(wait),
        };
        self.step(gateway, ClaimEvent::Request(request));
    }

    fn kill(&mut self, gateway: usize) {
        self.managers[gateway].0 += 100;
        self.managers[gateway].1 = ClaimManager::default();
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // Guards against a second run of a non-repeatable request when writes are lost or late, reads
    // are stale, gateways are killed and callers send the request again.
    #[test]
    fn one_key_runs_at_most_once(seed: u64, faults in 0.0..0.7_f64, kills: bool) {
        let mut world = ClaimWorld::new(seed, faults);
        for ticket in 0..8 {
            world.arrive(ticket);
            let pause = world.rng.random_range(1..1_500);
            world.run_until(world.now + Duration::from_millis(pause));
            if kills && world.rng.random_bool(0.4) {
                let gateway = world.rng.random_range(0..GATEWAYS);
                world.kill(gateway);
            }
        }
        world.run_until(world.now + Duration::from_secs(10));
        prop_assert!(world.counts.runs <= 1, "{} runs", world.counts.runs);
    }
}

// Guards against a claim that remains after its request was refused as not run, because its write
// takes effect late, after the row was read as missing.
#[test]
fn late_claim_of_a_refused_request_is_withdrawn() {
    let mut manager = ClaimManager::default();
    let mut table = FakeTable::default();
    let mut late = None;
    let mut refused = false;
    let mut now = Duration::ZERO;
    let key = "claim/caster/one";
    let request = ClaimRequest {
        ticket: 0,
        key: key.to_owned(),
        token: 5,
        fingerprint: 7,
        deadline: Duration::from_millis(500),
    };
    let mut events = vec![ClaimEvent::Request(request)];
    while now < Duration::from_secs(5) {
        now += STEP;
        events.push(ClaimEvent::Tick);
        let mut out = Vec::new();
        for event in std::mem::take(&mut events) {
            manager.step(now, event, &mut out);
        }
        for action in out {
            match action {
                ClaimAction::Commit(batch, request) if late.is_none() => {
                    late = Some(request);
                    events.push(ClaimEvent::Committed(batch, CommitResult::Unknown));
                }
                // Until the refusal, the table answers no call.
                ClaimAction::Commit(batch, _) if !refused => {
                    events.push(ClaimEvent::Committed(batch, CommitResult::Unknown));
                }
                ClaimAction::Commit(batch, request) => {
                    if let Some(first) = late.as_mut().filter(|_| table.rows.is_empty()) {
                        table.commit(first);
                    }
                    let result = table.commit(&request);
                    events.push(ClaimEvent::Committed(batch, result));
                }
                ClaimAction::Read(ticket, key) => {
                    let result = if refused {
                        table.read(&key, false)
                    } else {
                        ReadResult::Failed
                    };
                    events.push(ClaimEvent::Read(ticket, result));
                }
                ClaimAction::Decision(_, decision) => {
                    assert_eq!(decision, ClaimDecision::NotWritten);
                    refused = true;
                }
            }
        }
    }

    assert!(refused);
    let ReadResult::Found(_, row) = table.read(key, false) else {
        panic!("the row of the late write does not exist");
    };
    assert_eq!(row.state, ClaimState::Withdrawn);
    assert_eq!(manager.open(), 0);
}

// Guards against one commit per claim, which would exceed the write rate of the table service.
#[test]
fn concurrent_claims_share_a_commit() {
    let mut manager = ClaimManager::default();
    let mut out = Vec::new();
    for ticket in 0..40 {
        let request = ClaimRequest {
            ticket,
            key: format!("claim/caster/{ticket}"),
            token: ticket,
            fingerprint: ticket,
            deadline: Duration::from_secs(2),
        };
        manager.step(Duration::ZERO, ClaimEvent::Request(request), &mut out);
    }
    manager.step(Duration::from_millis(5), ClaimEvent::Tick, &mut out);
    let commits: Vec<usize> = out
        .iter()
        .filter_map(|action| match action {
            ClaimAction::Commit(_, request) => Some(request.writes.len()),
            _ => None,
        })
        .collect();
    assert_eq!(commits, [40]);
}
