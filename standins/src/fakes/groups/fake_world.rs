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

/// Time between two ticks of a controller.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Event with its virtual time. The earliest event is the greatest, for the max-heap; events of the
/// same time keep the order in which they were scheduled.
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

/// Simulated controllers, instances, table service and weight store in virtual time.
#[derive(Debug)]
pub struct FakeWorld {
    /// Virtual time of the event being handled, or the end of the last run.
    pub now: Duration,
    /// Operator text with which all controllers start.
    pub text: Arc<OperatorText>,
    /// Table service of the platform.
    pub table: FakeTable,
    /// Backend servers, in the order of the operator text.
    pub instances: Vec<FakeInstance>,
    /// Controllers, ordered by failure domain.
    pub nodes: Vec<FakeNode>,
    /// Bytes per second of the weight store, shared equally by all loading instances.
    pub store_bytes_per_s: f64,
    /// Checks of the invariants, with the violations found so far.
    pub check: InvariantCheck,
    /// Sums of downtime and stranded accelerators.
    pub meter: GroupMeter,
    /// One line for each order, refusal of an order, publication, commit that changes more than the
    /// lease row, fault and restart; kept only when set to `Some` before the run.
    pub log: Option<Vec<String>>,
    queue: BinaryHeap<QueuedEvent>,
    last_number: u64,
    rng: ChaCha8Rng,
}

impl FakeWorld {
    /// Creates a world at virtual time zero. Every controller gets the operator text first.
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
            last_number: 0,
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

    /// Schedules a fault that begins at `at`.
    pub fn fault(&mut self, at: Duration, fault: WorldFault) {
        self.push(at, WorldEvent::Fault(fault));
    }

    /// Schedules that one controller gets another operator text.
    pub fn configure(&mut self, at: Duration, node: usize, text: Arc<OperatorText>) {
        self.push(at, WorldEvent::Deliver(node, GroupEvent::Configured(text)));
    }

    /// Schedules an event; at the same time it comes after those scheduled before.
    pub(super) fn push(&mut self, at: Duration, event: WorldEvent) {
        self.last_number += 1;
        self.queue.push(QueuedEvent {
            at,
            number: self.last_number,
            event,
        });
    }

    /// Draws the latency of one message, 1 to 4 ms.
    pub(super) fn latency(&mut self) -> Duration {
        Duration::from_micros(self.rng.random_range(1_000..4_000))
    }

    /// Adds a line with the virtual time to the log, if it is enabled.
    pub(super) fn log_line(&mut self, line: impl FnOnce() -> String) {
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
            self.handle_event(next.event);
            self.check.check_serving_groups(self.now, &self.instances);
        }
        self.advance(end);
    }

    /// Runs until a condition holds, which is checked every 50 ms; returns false when it does not
    /// hold by `limit`.
    pub fn run_until_true(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        while self.now < limit {
            if holds(self) {
                return true;
            }
            self.run_until(self.now + Duration::from_millis(50));
        }
        holds(self)
    }

    /// Advances virtual time: instances load and the meter counts.
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
        let loading_count = loading.count().max(1);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let bytes = (self.store_bytes_per_s * step.as_secs_f64() / loading_count as f64) as u64;
        for instance in &mut self.instances {
            if instance.is_loading(now) {
                instance.bytes_left = instance.bytes_left.saturating_sub(bytes);
            }
        }
        self.now = to;
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(node) => {
                if self.defer(node, &WorldEvent::Tick(node)) {
                    return;
                }
                self.push(self.now + TICK_INTERVAL, WorldEvent::Tick(node));
                self.step_node(node, GroupEvent::Tick);
            }
            WorldEvent::Deliver(node, event) => {
                if !self.defer(node, &WorldEvent::Deliver(node, event.clone())) {
                    self.step_node(node, event);
                }
            }
            WorldEvent::Poll {
                node,
                instance,
                sent,
            } => self.deliver_poll(node, instance, sent),
            WorldEvent::Order {
                node,
                instance,
                arrived,
                order,
            } => self.deliver_order(node, instance, arrived, order),
            WorldEvent::LateCommit(request) => {
                let outcome = self.table.commit(&request);
                self.log_line(|| {
                    format!(
                        "late commit {}",
                        if outcome.is_ok() {
                            "applied"
                        } else {
                            "refused"
                        }
                    )
                });
                self.check.check_table(self.now, &self.table);
            }
            WorldEvent::Publish(from, entries) => self.deliver_entries(from, &entries),
            WorldEvent::Heartbeat(from, heartbeat) => self.deliver_heartbeat(from, &heartbeat),
            WorldEvent::Fault(fault) => self.begin_fault(fault),
            WorldEvent::Restart(instance) => {
                self.log_line(|| format!("instance {instance} restarts"));
                self.instances[instance].leaving = false;
                self.instances[instance].restart();
                let name = self.instances[instance].name.clone();
                self.check.forget_join(&name);
            }
            WorldEvent::Recover(instance) => self.instances[instance].step_ms = 20.0,
        }
    }

    /// Reschedules an event of a paused controller and drops one of a stopped controller; returns
    /// true in both cases.
    fn defer(&mut self, node: usize, event: &WorldEvent) -> bool {
        if self.nodes[node].stopped {
            return true;
        }
        let resumes = self.nodes[node].paused_until;
        if self.now >= resumes {
            return false;
        }
        self.push(resumes, event.clone());
        true
    }

    fn step_node(&mut self, node: usize, event: GroupEvent) {
        let mut actions: Vec<GroupAction> = Vec::new();
        self.nodes[node].manager.step(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(node, action);
        }
    }
}
