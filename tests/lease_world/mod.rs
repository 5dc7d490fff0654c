//! Processes with a lease manager each, and a store that is away at times and then restored from an
//! older copy.

mod lease_store;

use {
    lease_store::LeaseStore,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
    toucanring::core::lease::{LeaseAction, LeaseEvent, LeaseManager, LeaseRights, LeaseTiming},
};

/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 10;

const PROCESSES: usize = 3;

/// A call of a process on its way to the store, or its answer on its way back.
struct OpenCall {
    due_ms: u64,
    process: usize,
    /// Life of the process that made the call.
    holder: String,
    action: Option<LeaseAction>,
    answer: Option<(Option<u64>, LeaseEvent)>,
}

struct LeaseProcess {
    holder: String,
    lease: LeaseManager,
    frozen_until_ms: u64,
}

pub struct LeaseWorld {
    rng: ChaCha8Rng,
    now_ms: u64,
    store: LeaseStore,
    away_until_ms: u64,
    processes: Vec<LeaseProcess>,
    calls: Vec<OpenCall>,
    lives: u64,
    holders_of_terms: BTreeMap<u64, String>,
    violations: Vec<String>,
    held_ms: u64,
}

impl LeaseWorld {
    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            store: LeaseStore::default(),
            away_until_ms: 0,
            processes: Vec::new(),
            calls: Vec::new(),
            lives: 0,
            holders_of_terms: BTreeMap::new(),
            violations: Vec::new(),
            held_ms: 0,
        };
        for _ in 0..PROCESSES {
            let process = world.start_process(true);
            world.processes.push(process);
        }
        world
    }

    pub fn violations(&self) -> &[String] {
        &self.violations
    }

    pub fn restorations(&self) -> u64 {
        self.store.era() - 1
    }

    /// Time during which a process had full rights, in milliseconds.
    pub fn held_ms(&self) -> u64 {
        self.held_ms
    }

    pub fn run(&mut self, length_ms: u64) {
        while self.now_ms < length_ms {
            self.now_ms += STEP_MS;
            self.draw_faults();
            self.store.advance(self.now_ms, &mut self.rng);
            self.finish_calls();
            for index in 0..PROCESSES {
                self.step(index, LeaseEvent::Tick);
            }
            self.check();
        }
    }

    fn start_process(&mut self, first: bool) -> LeaseProcess {
        self.lives += 1;
        let holder = format!("node-{}", self.lives);
        let mut lease = LeaseManager::new("kochi", &holder, LeaseTiming::default());
        if !first {
            lease = lease.with_distrusted_absence();
        }
        LeaseProcess {
            holder,
            lease,
            frozen_until_ms: 0,
        }
    }

    fn is_away(&self) -> bool {
        self.now_ms < self.away_until_ms
    }

    fn draw_faults(&mut self) {
        if !self.is_away() && self.rng.random_bool(0.001) {
            let copy_age_ms = self.rng.random_range(500..12_000);
            self.store.restore(self.now_ms, copy_age_ms);
            self.away_until_ms = self.now_ms + self.rng.random_range(0..3_000);
        }
        let index = self.rng.random_range(0..PROCESSES);
        if self.rng.random_bool(0.0005) {
            self.processes[index] = self.start_process(false);
        }
        if self.rng.random_bool(0.0005) {
            let frozen_ms = self.rng.random_range(200..8_000);
            self.processes[index].frozen_until_ms = self.now_ms + frozen_ms;
        }
    }

    fn step(&mut self, index: usize, event: LeaseEvent) {
        if self.now_ms < self.processes[index].frozen_until_ms {
            return;
        }
        let process = &mut self.processes[index];
        let mut actions = Vec::new();
        let now = Duration::from_millis(self.now_ms);
        process.lease.step(now, event, &mut actions);
        for action in actions {
            if !matches!(action, LeaseAction::Read | LeaseAction::Commit(_)) {
                continue;
            }
            let due_ms = self.now_ms + self.rng.random_range(0..60);
            self.calls.push(OpenCall {
                due_ms,
                process: index,
                holder: self.processes[index].holder.clone(),
                action: Some(action),
                answer: None,
            });
        }
    }

    /// Carries out the calls that have reached the store, and gives processes the answers that have
    /// come back to them.
    fn finish_calls(&mut self) {
        let mut waiting = Vec::new();
        for mut call in std::mem::take(&mut self.calls) {
            if self.now_ms < call.due_ms {
                waiting.push(call);
                continue;
            }
            if let Some(action) = call.action.take() {
                call.answer = Some(self.carry_out(action));
                call.due_ms = self.now_ms + self.rng.random_range(0..60);
                waiting.push(call);
                continue;
            }
            let is_frozen = self.now_ms < self.processes[call.process].frozen_until_ms;
            if is_frozen {
                waiting.push(call);
                continue;
            }
            self.deliver(call);
        }
        waiting.append(&mut self.calls);
        self.calls = waiting;
    }

    fn carry_out(&mut self, action: LeaseAction) -> (Option<u64>, LeaseEvent) {
        if self.is_away() {
            return (None, LeaseEvent::CallFailed);
        }
        let is_lost = self.rng.random_bool(0.02);
        let event = match action {
            LeaseAction::Commit(request) => self.store.commit(&request),
            _ => self.store.read(),
        };
        if is_lost {
            return (None, LeaseEvent::CallFailed);
        }
        (Some(self.store.era()), event)
    }

    fn deliver(&mut self, call: OpenCall) {
        // The answer to a process that has ended reaches nobody.
        if self.processes[call.process].holder != call.holder {
            return;
        }
        let Some((era, event)) = call.answer else {
            return;
        };
        if let Some(era) = era {
            self.step(call.process, LeaseEvent::EraSeen(era));
        }
        self.step(call.process, event);
    }

    fn check(&mut self) {
        let now = Duration::from_millis(self.now_ms);
        let mut full = Vec::new();
        for process in &self.processes {
            let LeaseRights::Full { term } = process.lease.rights(now) else {
                continue;
            };
            full.push(format!("{} under {term}", process.holder));
            let first = self
                .holders_of_terms
                .entry(term)
                .or_insert_with(|| process.holder.clone());
            if *first != process.holder {
                let both = format!("{first} and {} held term {term}", process.holder);
                self.violations.push(format!("{} ms: {both}", self.now_ms));
            }
        }
        if full.len() > 1 {
            let holders = full.join(", ");
            let text = format!("{} ms: several holders: {holders}", self.now_ms);
            self.violations.push(text);
        }
        self.held_ms += if full.is_empty() { 0 } else { STEP_MS };
    }
}
