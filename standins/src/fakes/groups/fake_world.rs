use {
    super::{
        FakeInstance, FakeNode, FakeTable, GroupMeter, InvariantCheck, WorldEvent, WorldFault,
    },
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::{cmp::Ordering, collections::BinaryHeap, sync::Arc, time::Duration},
    toucanring::{
        conf::OperatorText,
        core::groups::{GroupAction, GroupEvent},
    },
};

/// Time between ticks of a controller.
const TICK_EVERY: Duration = Duration::from_millis(100);

/// An event with its time; ties keep the order of their creation.
#[derive(Debug)]
struct QueuedEvent {
    at: Duration,
    number: u64,
    event: WorldEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Controllers, instances, table and weight store in virtual time.
#[derive(Debug)]
pub struct FakeWorld {
    /// Time of the present event.
    pub now: Duration,
    /// Operator text of all controllers.
    pub text: Arc<OperatorText>,
    /// Table service.
    pub table: FakeTable,
    /// Backend servers.
    pub instances: Vec<FakeInstance>,
    /// Controllers.
    pub nodes: Vec<FakeNode>,
    /// Bytes per second of the weight store, shared by all that load.
    pub store_bytes_per_s: f64,
    /// Invariants.
    pub check: InvariantCheck,
    /// Downtime and stranded accelerators.
    pub meter: GroupMeter,
    /// One line for each order, publication, commit and fault; empty unless enabled.
    pub log: Option<Vec<String>>,
    queue: BinaryHeap<QueuedEvent>,
    number: u64,
    rng: ChaCha8Rng,
}

impl FakeWorld {
    /// Creates a world at time zero.
    #[must_use]
    pub fn new(
        text: &Arc<OperatorText>,
        instances: Vec<FakeInstance>,
        nodes: Vec<FakeNode>,
        store_bytes_per_s: f64,
        rng: ChaCha8Rng,
    ) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            meter: GroupMeter::new(text, store_bytes_per_s),
            table: FakeTable::default(),
            check: InvariantCheck::new(text, &instances),
            text: text.clone(),
            instances,
            nodes,
            store_bytes_per_s,
            log: None,
            queue: BinaryHeap::new(),
            number: 0,
            rng,
        };
        for node in 0..world.nodes.len() {
            let configured = GroupEvent::Configured(text.clone());
            world.push(Duration::ZERO, WorldEvent::Deliver(node, configured));
            let start = world.latency();
            world.push(start, WorldEvent::Tick(node));
        }
        world
    }

    /// Schedules a fault.
    pub fn fault(&mut self, at: Duration, fault: WorldFault) {
        self.push(at, WorldEvent::Fault(fault));
    }

    /// Gives one controller another operator text.
    pub fn configure(&mut self, at: Duration, node: usize, text: Arc<OperatorText>) {
        self.push(at, WorldEvent::Deliver(node, GroupEvent::Configured(text)));
    }

    /// Schedules an event after the present one.
    pub(super) fn push(&mut self, at: Duration, event: WorldEvent) {
        self.number += 1;
        self.queue.push(QueuedEvent {
            at,
            number: self.number,
            event,
        });
    }

    /// Time of one message, 1 to 4 ms.
    pub(super) fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(1_000..4_000))
    }

    /// Adds a line to the log.
    pub(super) fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now;
        if let Some(log) = &mut self.log {
            log.push(format!("{:>9.3} {}", now.as_secs_f64(), line()));
        }
    }

    /// Runs all events up to `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(next) = self.queue.peek()
            && next.at <= end
        {
            let Some(next) = self.queue.pop() else { return };
            self.advance(next.at);
            self.handle(next.event);
            self.check.groups(self.now, &self.instances);
        }
        self.advance(end);
    }

    /// Runs until a condition holds; false when it does not before `limit`.
    pub fn run_until_true(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        while self.now < limit {
            if holds(self) {
                return true;
            }
            self.run_until(self.now + Duration::from_millis(50));
        }
        holds(self)
    }

    /// Moves time on; members load and the meters run.
    fn advance(&mut self, to: Duration) {
        let step = to.saturating_sub(self.now);
        if step.is_zero() {
            return;
        }
        let (now, instances) = (self.now, &self.instances);
        self.meter.add(now, step, instances, &self.check);
        let loading = self
            .instances
            .iter()
            .filter(|instance| instance.is_loading(now));
        let sharing = loading.count().max(1);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let bytes = (self.store_bytes_per_s * step.as_secs_f64() / sharing as f64) as u64;
        for instance in &mut self.instances {
            if instance.is_loading(now) {
                instance.bytes_left = instance.bytes_left.saturating_sub(bytes);
            }
        }
        self.now = to;
    }

    fn handle(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(node) => {
                if self.defer(node, &WorldEvent::Tick(node)) {
                    return;
                }
                self.push(self.now + TICK_EVERY, WorldEvent::Tick(node));
                self.step(node, GroupEvent::Tick);
            }
            WorldEvent::Deliver(node, event) => {
                if !self.defer(node, &WorldEvent::Deliver(node, event.clone())) {
                    self.step(node, event);
                }
            }
            WorldEvent::Poll {
                node,
                instance,
                sent,
            } => self.polled(node, instance, sent),
            WorldEvent::Order {
                node,
                instance,
                arrived,
                order,
            } => self.ordered(node, instance, arrived, order),
            WorldEvent::LateCommit(request) => {
                let outcome = self.table.commit(&request);
                self.note(|| {
                    format!(
                        "late commit {}",
                        if outcome.is_ok() {
                            "applied"
                        } else {
                            "refused"
                        }
                    )
                });
                self.check.table(self.now, &self.table);
            }
            WorldEvent::Publish(from, entries) => self.published(from, &entries),
            WorldEvent::Beat(from, beat) => self.beat(from, &beat),
            WorldEvent::Fault(fault) => self.begin(fault),
            WorldEvent::Restart(instance) => {
                self.note(|| format!("instance {instance} restarts"));
                self.instances[instance].leaving = false;
                self.instances[instance].restart();
                let name = self.instances[instance].name.clone();
                self.check.restarted(&name);
            }
            WorldEvent::Recover(instance) => self.instances[instance].step_ms = 20.0,
        }
    }

    /// Puts an event off while its controller is paused; drops it when it is dead.
    fn defer(&mut self, node: usize, event: &WorldEvent) -> bool {
        if self.nodes[node].dead {
            return true;
        }
        let resumes = self.nodes[node].paused_until;
        if self.now >= resumes {
            return false;
        }
        self.push(resumes, event.clone());
        true
    }

    fn step(&mut self, node: usize, event: GroupEvent) {
        let mut out: Vec<GroupAction> = Vec::new();
        self.nodes[node].keeper.step(self.now, event, &mut out);
        for action in out {
            self.carry_out(node, action);
        }
    }
}
