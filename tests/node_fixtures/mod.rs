//! Fixtures for tests of fleets, engines, routes and group formation.
#![allow(dead_code, unused_imports)]

mod gateway_world;
mod timed_loads;

pub use {
    gateway_world::{GatewayWorld, head, plain_server, request, restarted},
    timed_loads::TimedLoads,
};

use {
    std::time::Duration,
    toucanring::core::{
        cold::ColdRule,
        fleet::{BackendEntry, EngineMembership, FleetView, MemberState},
        formation::{
            CapacityReport, FormationAction, FormationManager, FormationScope, OrderBody,
            OrderOutcome, ProbeOutcome,
        },
        routes::{
            AccountRule, CallerLimits, EngineProfile, ModelProfile, OperatorRoutes, RouteKind,
            RouteRule, RouteSplit, ServiceRule,
        },
        store::StoreVersion,
    },
};

/// A duration, or a time since the start of the test, in milliseconds.
pub const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Version of a row in the first era of the store.
pub const fn row_version(number: u64) -> StoreVersion {
    StoreVersion::new(1, number)
}

/// Fleet entry of a free engine without weights, in failure domain `kochi`.
pub fn engine(id: &str, fabric: &str) -> BackendEntry {
    BackendEntry {
        id: id.to_owned(),
        service: "model".to_owned(),
        address: "127.0.0.1:9000".parse().unwrap(),
        failure_domain: "kochi".to_owned(),
        leaving: false,
        slots: 8,
        born_ms: 1,
        fabric: fabric.to_owned(),
        staged: Vec::new(),
        model: None,
        membership: None,
        write_count: 0,
        cold_left_ms: None,
    }
}

/// A fleet of `groups` open groups of two members each, which serve the model `m-0`.
pub fn open_groups(groups: usize) -> FleetView {
    let mut fleet = FleetView::new();
    for group in 0..groups {
        for rank in 0..2 {
            let mut entry = engine(&format!("i-{group}-{rank}"), "f");
            entry.model = Some("m-0".to_owned());
            let state = if rank == 0 {
                MemberState::Open
            } else {
                MemberState::Ready
            };
            entry.membership = Some(EngineMembership {
                group: format!("g-{group}"),
                epoch: 1,
                rank,
                state,
            });
            fleet.put(row_version(1), entry);
        }
    }
    fleet
}

/// A model with groups of `size` members; `share` is its configured share of the
/// servers' time.
pub fn model(name: &str, size: usize, share: f64) -> ModelProfile {
    ModelProfile {
        name: name.to_owned(),
        size,
        share,
        pace: 1.0,
        load: at(16_000),
        warm: at(1_600),
    }
}

/// Speed and capacity of the engines, with the figures of the deployments.
pub fn profile(models: Vec<ModelProfile>) -> EngineProfile {
    EngineProfile {
        slots: 26,
        step_ms: 5.95,
        per_sequence_ms: 0.0445,
        context_ms_per_kilotoken: 0.008,
        prefill_per_s: 50_700.0,
        pair_ms_per_million: 0.368,
        stride: 7,
        loads_per_s: 4.5,
        loads_at_once: 6,
        form: at(300),
        models,
    }
}

/// A route for resumable streams of the model service.
pub fn stream_route(name: &str, prefix: &str, objective: Duration) -> RouteRule {
    RouteRule {
        name: name.to_owned(),
        host: "models.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: at(8_000),
        objective,
        pause_objective: Some(at(300)),
        priority: 1,
        splits: [RouteSplit {
            service: "model".to_owned(),
            weight: 1,
        }]
        .into_iter()
        .collect(),
        max_attempts: 2,
        public: false,
    }
}

/// Routes with one engine service and one client account.
pub fn routes(version: u64, rules: Vec<RouteRule>, profile: EngineProfile) -> OperatorRoutes {
    OperatorRoutes {
        version,
        routes: rules,
        services: vec![ServiceRule {
            name: "model".to_owned(),
            max_connections: 64,
            engine: Some(profile),
            cold: ColdRule::default(),
        }],
        accounts: vec![AccountRule {
            name: "account-a".to_owned(),
            keys: vec!["key-a".to_owned()],
            priority: None,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 100_000,
            head_timeout: at(3_000),
            idle_timeout: at(15_000),
        },
    }
}

/// A formation manager and simulated engines that carry out its orders, in virtual time.
pub struct FormationWorld {
    pub now: Duration,
    pub version: u64,
    pub fleet: FleetView,
    pub manager: FormationManager,
    /// Orders sent so far, with the identifier of the server.
    pub orders: Vec<(String, OrderBody)>,
    /// Servers that accept no connections.
    pub unreachable: Vec<String>,
    /// Servers that accept connections but answer neither orders nor probes.
    pub silent: Vec<String>,
    /// Servers whose entries are not in the fleet.
    pub hidden: Vec<String>,
    /// Latest capacity report of the manager.
    pub capacity: Option<CapacityReport>,
    /// Joins and loads in progress; without it they complete at once.
    pub timed_loads: Option<TimedLoads>,
    profile: EngineProfile,
    entries: Vec<BackendEntry>,
}

impl FormationWorld {
    /// Creates engines and a manager with lease term `term`, in the startup phase.
    pub fn new(entries: Vec<BackendEntry>, profile: EngineProfile, term: u64) -> Self {
        let scope = FormationScope {
            service: "model".to_owned(),
            failure_domain: "kochi".to_owned(),
            domains: 1,
        };
        let mut world = Self {
            now: at(0),
            version: 0,
            fleet: FleetView::new(),
            orders: Vec::new(),
            unreachable: Vec::new(),
            silent: Vec::new(),
            hidden: Vec::new(),
            capacity: None,
            timed_loads: None,
            manager: FormationManager::new(scope, term, profile.clone()),
            profile,
            entries,
        };
        world.manager.set_preparing(true);
        world.publish();
        world
    }

    /// Creates engines of which those in `late` have not registered yet.
    pub fn with_late(entries: Vec<BackendEntry>, profile: EngineProfile, late: &[String]) -> Self {
        let mut world = Self::new(Vec::new(), profile, 1);
        world.entries = entries;
        world.hidden = late.to_vec();
        world.publish();
        world
    }

    /// Registers all hidden servers in the fleet.
    pub fn show_hidden(&mut self) {
        self.hidden.clear();
        self.publish();
    }

    /// Puts the entries of all servers that are not hidden into the fleet.
    pub fn publish(&mut self) {
        for entry in self.entries.clone() {
            if self.hidden.contains(&entry.id) {
                continue;
            }
            self.version += 1;
            self.fleet.put(row_version(self.version), entry);
        }
    }

    /// Removes the entry of a server from the fleet.
    pub fn hide(&mut self, id: &str) {
        self.hidden.push(id.to_owned());
        self.version += 1;
        self.fleet.remove(self.now, row_version(self.version), id);
    }

    /// Changes the state of a server and publishes its entry.
    pub fn change(&mut self, id: &str, change: impl FnOnce(&mut BackendEntry)) {
        let entry = self.entries.iter_mut().find(|entry| entry.id == id);
        change(entry.expect("a known server"));
        self.publish();
    }

    /// Advances the time by `time` and ticks the manager every 50 ms.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += at(50);
            self.advance_loads(at(50));
            let mut out = Vec::new();
            self.manager.tick(self.now, &self.fleet, &mut out);
            self.apply_actions(out);
        }
    }

    /// Reports to the manager that a gateway suspects a group.
    pub fn suspect(&mut self, group: &str, epoch: u64) {
        let mut out = Vec::new();
        self.manager.probe_group(self.now, group, epoch, &mut out);
        self.apply_actions(out);
    }

    fn apply_actions(&mut self, actions: Vec<FormationAction>) {
        let mut next_actions = Vec::new();
        for action in actions {
            match action {
                FormationAction::Order {
                    number,
                    server,
                    body,
                    ..
                } => {
                    let outcome = self.execute_order(&server, &body);
                    self.orders.push((server.clone(), body));
                    self.manager
                        .answered(self.now, &server, number, outcome, &mut next_actions);
                }
                FormationAction::Probe { server, .. } => {
                    let report = self.probe_report(&server);
                    self.manager.reported(self.now, &server, &report);
                }
                FormationAction::Capacity(report) => self.capacity = Some(report),
                FormationAction::Outranked
                | FormationAction::Dismissed { .. }
                | FormationAction::LoadEnded { .. }
                | FormationAction::Phase { .. } => {}
            }
        }
        self.publish();
        if !next_actions.is_empty() {
            self.apply_actions(next_actions);
        }
    }

    /// Makes joins and loads take their time from now on.
    pub fn use_timed_loads(&mut self) {
        self.timed_loads = Some(TimedLoads::default());
    }

    /// Adds a server and publishes its entry.
    pub fn add(&mut self, entry: BackendEntry) {
        self.entries.push(entry);
        self.publish();
    }

    /// Makes a server unreachable and removes its entry.
    pub fn remove(&mut self, id: &str) {
        self.unreachable.push(id.to_owned());
        self.hide(id);
        if let Some(loads) = &mut self.timed_loads {
            loads.leave(id);
        }
    }

    /// Restarts a lost server; its host has kept the staged weights.
    pub fn restart(&mut self, id: &str) {
        self.unreachable.retain(|unreachable| unreachable != id);
        self.hidden.retain(|hidden| hidden != id);
        self.change(id, |entry| {
            entry.born_ms += 1;
            entry.model = None;
            entry.membership = None;
        });
    }

    /// Heads of the open groups of a model in which every member answers.
    pub fn heads_of(&self, model: &str) -> Vec<String> {
        let mut heads = self.open_heads();
        heads.retain(|head| {
            let members = self.members_of(head);
            let all_answer = members.iter().all(|id| !self.unreachable.contains(id));
            all_answer && self.entry(head).model.as_deref() == Some(model)
        });
        heads
    }

    fn advance_loads(&mut self, time: Duration) {
        let Some(loads) = &mut self.timed_loads else {
            return;
        };
        let finished = loads.advance(time, &self.profile);
        for entry in &mut self.entries {
            if finished.ready.contains(&entry.id) {
                set_state(entry, MemberState::Ready);
            }
            let staged = finished.staged.iter().find(|(id, _)| *id == entry.id);
            if let Some((_, model)) = staged {
                entry.staged = vec![model.clone()];
            }
        }
        self.publish();
    }

    /// What a state query of an engine gives.
    pub fn probe_report(&self, id: &str) -> ProbeOutcome {
        if self.unreachable.iter().any(|unreachable| unreachable == id) {
            return ProbeOutcome::Unreachable;
        }
        if self.silent.iter().any(|silent| silent == id) {
            return ProbeOutcome::Silent;
        }
        let entry = self.entries.iter().find(|entry| entry.id == id);
        let Some(entry) = entry else {
            return ProbeOutcome::Unreachable;
        };
        ProbeOutcome::Report(Box::new(toucanring::core::fleet::EngineReport {
            born_ms: entry.born_ms,
            membership: entry.membership.clone(),
            model: entry.model.clone(),
            staged: entry.staged.clone(),
            queued: 0,
            running: 0,
            pace: 1.0,
        }))
    }

    fn execute_order(&mut self, id: &str, body: &OrderBody) -> OrderOutcome {
        if self.unreachable.iter().any(|unreachable| unreachable == id) {
            return OrderOutcome::Unreachable;
        }
        if self.silent.iter().any(|silent| silent == id) {
            return OrderOutcome::Unanswered;
        }
        let entry = self.entries.iter_mut().find(|entry| entry.id == id);
        let entry = entry.expect("a known server");
        let in_group = body
            .group()
            .is_some_and(|(group, epoch)| entry.is_in(group, epoch));
        match body {
            OrderBody::Join {
                group,
                epoch,
                model,
                members,
            } => {
                let rank = members.iter().position(|member| *member == id).unwrap();
                let mut state = MemberState::Ready;
                if let Some(loads) = &mut self.timed_loads {
                    let last = entry.model.as_deref();
                    loads.join(id, model, last, &entry.staged, &self.profile);
                    state = MemberState::Joining;
                }
                entry.membership = Some(EngineMembership {
                    group: group.clone(),
                    epoch: *epoch,
                    rank: u32::try_from(rank).unwrap(),
                    state,
                });
                entry.model = Some(model.clone());
                if self.timed_loads.is_none() {
                    entry.staged = vec![model.clone()];
                }
            }
            OrderBody::Stage { model } => match &mut self.timed_loads {
                Some(loads) => loads.stage(id, model, &self.profile),
                None => entry.staged = vec![model.clone()],
            },
            _ if !in_group => return OrderOutcome::Unfit,
            OrderBody::Open { .. } => set_state(entry, MemberState::Open),
            OrderBody::Close { .. } => set_state(entry, MemberState::Closing),
            OrderBody::Leave { .. } => {
                entry.membership = None;
                if let Some(loads) = &mut self.timed_loads {
                    loads.leave(id);
                }
            }
        }
        OrderOutcome::Begun
    }

    /// Current entry of a server, also when it is hidden.
    pub fn entry(&self, id: &str) -> &BackendEntry {
        let mut entries = self.entries.iter();
        entries
            .find(|entry| entry.id == id)
            .expect("a known server")
    }

    /// Heads that report an open group, also unreachable ones.
    pub fn open_heads(&self) -> Vec<String> {
        let open = self.entries.iter().filter(|entry| entry.leads_open_group());
        open.map(|entry| entry.id.clone()).collect()
    }

    /// Servers that report the same group and epoch as `head`.
    pub fn members_of(&self, head: &str) -> Vec<String> {
        let member = self.entry(head).membership.clone().expect("a member");
        let same = |entry: &&BackendEntry| entry.is_in(&member.group, member.epoch);
        let members = self.entries.iter().filter(same);
        members.map(|entry| entry.id.clone()).collect()
    }
}

fn set_state(entry: &mut BackendEntry, state: MemberState) {
    if let Some(member) = &mut entry.membership {
        member.state = state;
    }
}
