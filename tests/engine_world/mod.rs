//! A formation manager and engines that follow their protocol, in virtual time. Orders and rows of
//! the store may come late, and engines crash, start again and lose their connections. Each join of
//! an engine whose former group may still serve is recorded as a violation.
#![allow(dead_code)]

mod engine_state;

pub use engine_state::{EngineHealth, EngineState};

use {
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
    toucanring::core::{
        fleet::{BackendEntry, FleetView, MemberState},
        formation::{
            FormationAction, FormationManager, FormationScope, OrderBody, OrderOutcome,
            ProbeOutcome,
        },
        routes::EngineProfile,
        store::StoreVersion,
    },
};

const TICK: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Silence after which the store drops an entry: three heartbeats.
const LAPSE_TIME: Duration = Duration::from_millis(3_600);

/// Time until the sender of an order gives up.
const ORDER_WAIT: Duration = Duration::from_millis(500);

/// Time from a write to the store until the manager sees it.
const FEED_LAG: Duration = Duration::from_millis(20);

/// What happens to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderFate {
    /// It is carried out and answered.
    Answered,
    /// It gets no answer and is carried out after this time.
    Late(Duration),
    /// It is not carried out, and the answer is a failure that names no reason.
    Rejected,
}

/// Chooses the fate of an order by the server, the order and the number of such orders to it so far.
pub type FateChoice = Box<dyn FnMut(&str, &OrderBody, u32) -> OrderFate>;

struct LateOrder {
    due: Duration,
    server: String,
    fence: u64,
    body: OrderBody,
}

struct OrderAnswer {
    due: Duration,
    server: String,
    number: u64,
    outcome: OrderOutcome,
}

struct LateRow {
    due: Duration,
    entry: BackendEntry,
}

/// A row on its way to the manager; without an entry it is a removal.
struct FeedRow {
    due: Duration,
    version: StoreVersion,
    server: String,
    entry: Option<BackendEntry>,
}

pub struct EngineWorld {
    pub now: Duration,
    pub engines: Vec<EngineState>,
    /// Joins that were accepted while the former group of the engine could still serve.
    pub violations: Vec<String>,
    /// False when the engines ignore fencing numbers.
    pub checks_fences: bool,
    /// Orders that were carried out late, with the answers that nobody received.
    pub late_answers: Vec<(OrderBody, OrderOutcome)>,
    choose_fate: FateChoice,
    fleet: FleetView,
    manager: FormationManager,
    store_version: u64,
    feed: VecDeque<FeedRow>,
    late_rows: Vec<LateRow>,
    late_orders: Vec<LateOrder>,
    answers: Vec<OrderAnswer>,
    order_counts: BTreeMap<(String, &'static str, u64), u32>,
}

impl EngineWorld {
    /// Creates `count` engines of one fabric domain, whose hosts hold the weights of the first model.
    pub fn new(count: usize, profile: EngineProfile, choose_fate: FateChoice) -> Self {
        let scope = FormationScope {
            service: "model".to_owned(),
            failure_domain: "kochi".to_owned(),
            domains: 1,
        };
        let ids = (0..count).map(|index| format!("i-{index:02}"));
        let model = &profile.models[0].name;
        Self {
            now: Duration::ZERO,
            engines: ids.map(|id| EngineState::new(&id, model)).collect(),
            violations: Vec::new(),
            checks_fences: true,
            late_answers: Vec::new(),
            choose_fate,
            fleet: FleetView::new(),
            manager: FormationManager::new(scope, 1, profile),
            store_version: 0,
            feed: VecDeque::new(),
            late_rows: Vec::new(),
            late_orders: Vec::new(),
            answers: Vec::new(),
            order_counts: BTreeMap::new(),
        }
    }

    pub fn engine(&mut self, id: &str) -> &mut EngineState {
        let engine = self.engines.iter_mut().find(|engine| engine.id == id);
        engine.expect("a known engine")
    }

    /// Heads of the groups that accept requests and in which every member is.
    pub fn whole_heads(&self) -> Vec<String> {
        let mut heads = Vec::new();
        for engine in self.engines.iter().filter(|engine| engine.is_up()) {
            let Some(own) = &engine.membership else {
                continue;
            };
            let is_head = own.members[0] == engine.id && own.state == MemberState::Open;
            if is_head && is_whole(&self.engines, &own.members, &own.group, own.epoch) {
                heads.push(engine.id.clone());
            }
        }
        heads
    }

    /// Members of the group of an engine, the head first.
    pub fn members_of(&self, id: &str) -> Vec<String> {
        let engine = self.engines.iter().find(|engine| engine.id == id);
        let own = engine.and_then(|engine| engine.membership.as_ref());
        own.expect("a member").members.clone()
    }

    /// Ends an engine. With `late_row` the store performs its last heartbeat after that time.
    pub fn crash(&mut self, id: &str, late_row: Option<Duration>) {
        let due = late_row.map(|delay| self.now + delay);
        let engine = self.engine(id);
        let entry = engine.next_entry();
        engine.crash();
        if let Some(due) = due {
            self.late_rows.push(LateRow { due, entry });
        }
    }

    pub fn restart(&mut self, id: &str) {
        let now = self.now;
        self.engine(id).restart(now);
    }

    /// Reports to the manager that a gateway suspects the group of an engine.
    pub fn suspect_group_of(&mut self, id: &str) {
        let Some(own) = self.engine(id).membership.clone() else {
            return;
        };
        let mut out = Vec::new();
        self.manager
            .probe_group(self.now, &own.group, own.epoch, &mut out);
        self.apply_actions(out);
    }

    /// Advances the time and ticks the manager every 20 ms.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.advance_engines();
            self.carry_out_late_orders();
            self.write_rows();
            self.deliver_rows();
            self.deliver_answers();
            let mut out = Vec::new();
            self.manager.tick(self.now, &self.fleet, &mut out);
            self.apply_actions(out);
        }
    }

    fn advance_engines(&mut self) {
        let all = self.engines.clone();
        for engine in self.engines.iter_mut().filter(|engine| engine.is_up()) {
            engine.advance(self.now, |own| {
                is_whole(&all, &own.members, &own.group, own.epoch)
            });
        }
    }

    fn carry_out_late_orders(&mut self) {
        let now = self.now;
        for order in self
            .late_orders
            .extract_if(.., |order| now >= order.due)
            .collect::<Vec<_>>()
        {
            let outcome = self.carry_out(&order.server, order.fence, &order.body);
            self.late_answers.push((order.body, outcome));
        }
    }

    fn carry_out(&mut self, id: &str, fence: u64, body: &OrderBody) -> OrderOutcome {
        let now = self.now;
        let checked_fence = if self.checks_fences { fence } else { 0 };
        let engine = self.engine(id);
        if !engine.is_up() {
            return OrderOutcome::Unreachable;
        }
        let serving_head = self.serving_head_of(id);
        let outcome = self.engine(id).take_order(now, checked_fence, body);
        let is_joined = matches!(body, OrderBody::Join { .. }) && outcome == OrderOutcome::Begun;
        if is_joined && let Some((head, group)) = serving_head {
            self.violations.push(format!(
                "{id} takes {body:?} at {now:?} while {head} serves {group}"
            ));
        }
        outcome
    }

    /// Head and name of the group in which an engine is, if the head is open or closing.
    fn serving_head_of(&mut self, id: &str) -> Option<(String, String)> {
        let own = self.engine(id).membership.clone()?;
        let head = self.engine(&own.members[0]);
        let led = head.membership.as_ref()?;
        let is_same = head.is_up() && head.is_in(&own.group, own.epoch);
        let serves = matches!(led.state, MemberState::Open | MemberState::Closing);
        (is_same && serves).then(|| (head.id.clone(), own.group))
    }

    fn write_rows(&mut self) {
        let now = self.now;
        let mut rows = Vec::new();
        for late in self.late_rows.extract_if(.., |late| now >= late.due) {
            rows.push((late.entry.id.clone(), Some(late.entry)));
        }
        for engine in &mut self.engines {
            let due = engine.written_at.is_none_or(|at| now >= at + HEARTBEAT);
            if engine.is_up() && !engine.cut_off && (engine.dirty || due) {
                engine.written_at = Some(now);
                rows.push((engine.id.clone(), Some(engine.next_entry())));
            }
            let lapsed = |at: &mut Duration| now >= *at + LAPSE_TIME;
            if engine.written_at.take_if(lapsed).is_some() {
                rows.push((engine.id.clone(), None));
            }
        }
        for (server, entry) in rows {
            self.store_version += 1;
            self.feed.push_back(FeedRow {
                due: now + FEED_LAG,
                version: StoreVersion::new(1, self.store_version),
                server,
                entry,
            });
        }
    }

    fn deliver_rows(&mut self) {
        let now = self.now;
        while let Some(row) = self.feed.pop_front_if(|row| now >= row.due) {
            match row.entry {
                Some(entry) => self.fleet.put(row.version, entry),
                None => self.fleet.remove(now, row.version, &row.server),
            };
        }
        self.fleet.expire(now);
    }

    fn deliver_answers(&mut self) {
        let now = self.now;
        let due: Vec<OrderAnswer> = self
            .answers
            .extract_if(.., |answer| now >= answer.due)
            .collect();
        for answer in due {
            let mut out = Vec::new();
            let OrderAnswer { server, number, .. } = answer;
            self.manager
                .answered(now, &server, number, answer.outcome, &mut out);
            self.apply_actions(out);
        }
    }

    fn apply_actions(&mut self, actions: Vec<FormationAction>) {
        for action in actions {
            match action {
                FormationAction::Order {
                    number,
                    server,
                    fence,
                    body,
                    ..
                } => self.send_order(server, number, fence, body),
                FormationAction::Probe { server, .. } => {
                    let now = self.now;
                    let engine = self.engine(&server);
                    let outcome = match engine.health {
                        EngineHealth::Down => ProbeOutcome::Unreachable,
                        EngineHealth::Silent => ProbeOutcome::Silent,
                        EngineHealth::Sound => ProbeOutcome::Report(Box::new(engine.report(now))),
                    };
                    self.manager.reported(now, &server, &outcome);
                }
                _ => {}
            }
        }
    }

    fn send_order(&mut self, server: String, number: u64, fence: u64, body: OrderBody) {
        let epoch = body.group().map_or(0, |(_, epoch)| epoch);
        let count = self
            .order_counts
            .entry((server.clone(), body.label(), epoch));
        let count = count.or_default();
        *count += 1;
        let is_silent = self.engine(&server).health == EngineHealth::Silent;
        let fate = (self.choose_fate)(
            &server,
            &body,
            self.order_counts[&(server.clone(), body.label(), epoch)],
        );
        let (due, outcome) = match fate {
            OrderFate::Late(delay) => {
                self.late_orders.push(LateOrder {
                    due: self.now + delay,
                    server: server.clone(),
                    fence,
                    body,
                });
                (self.now + ORDER_WAIT, OrderOutcome::Unanswered)
            }
            OrderFate::Rejected => (self.now + TICK, OrderOutcome::Rejected),
            OrderFate::Answered => match self.carry_out(&server, fence, &body) {
                OrderOutcome::Unreachable => (self.now + TICK, OrderOutcome::Unreachable),
                _ if is_silent => (self.now + ORDER_WAIT, OrderOutcome::Unanswered),
                outcome => (self.now + TICK, outcome),
            },
        };
        self.answers.push(OrderAnswer {
            due,
            server,
            number,
            outcome,
        });
    }
}

/// True when all members are alive and in the group.
fn is_whole(engines: &[EngineState], members: &[String], group: &str, epoch: u64) -> bool {
    members.iter().all(|member| {
        let mut engines = engines.iter();
        let engine = engines.find(|engine| engine.id == *member);
        engine.is_some_and(|engine| engine.is_up() && engine.is_in(group, epoch))
    })
}
