//! Holds the leases of failure domains and carries out the actions of their formation managers.

use {
    super::{
        ControlMessage, NodeContext, StoreClient,
        attempt_slot::millis,
        lease_calls::{LeaseReply, commit_lease, read_lease},
        node_clock::now,
        order_sender::OrderSender,
    },
    crate::{
        core::{
            formation::{
                CapacityReport, EngineOrder, FormationAction, FormationManager, FormationScope,
            },
            lease::{LeaseAction, LeaseEvent, LeaseManager, LeaseTiming},
        },
        wire::CommitRequest,
    },
    ractor::{Actor, ActorProcessingErr, ActorRef},
    slog::{Logger, info, warn},
    std::{
        collections::BTreeMap,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Longest time between two ticks of the leases and formation managers; changes of the fleet cause
/// ticks in between.
const TICK_INTERVAL: Duration = Duration::from_millis(60);

/// Timing of the lease: a holder that dies is replaced in less time than a member needs to load a
/// model from its host.
const LEASE_TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_millis(1_800),
    margin: Duration::from_millis(200),
    renew_interval: Duration::from_millis(700),
    read_interval: Duration::from_millis(700),
    retry_after: Duration::from_millis(150),
};

/// Silence of all nodes of another failure domain after which a node contends for the lease of that
/// domain.
const REMOTE_LEASE_DELAY: Duration = Duration::from_secs(4);

/// Most nodes that contend for a lease. Only a few do, since each contender reads the lease row
/// from the store periodically.
const MAX_CONTENDERS: usize = 2;

/// The lease of one failure domain, and the formation managers of its services.
#[derive(Debug)]
struct DomainControl {
    lease: LeaseManager,
    term: Option<u64>,
    managers: BTreeMap<String, FormationManager>,
}

/// What a control actor starts with.
#[derive(Debug)]
pub struct ControlStart {
    /// State of the node.
    pub context: Arc<NodeContext>,
    /// Number of control actors that have ended in this process. Each is a lease holder of its own:
    /// the row may name an earlier one, of whose attempts this one knows nothing.
    pub number: u32,
}

/// State of the control actor: the failure domains for whose leases it contends.
#[derive(Debug)]
pub struct ControlState {
    context: Arc<NodeContext>,
    /// Name under which it holds leases, unique over all starts of all nodes.
    holder: String,
    client: Arc<StoreClient>,
    domains: BTreeMap<String, DomainControl>,
}

/// Actor that forms the replica groups of the failure domains whose lease this node holds.
#[derive(Debug)]
pub struct ControlActor;

impl Actor for ControlActor {
    type Msg = ControlMessage;
    type State = ControlState;
    type Arguments = ControlStart;

    async fn pre_start(
        &self,
        myself: ActorRef<ControlMessage>,
        start: ControlStart,
    ) -> Result<ControlState, ActorProcessingErr> {
        let ControlStart { context, number } = start;
        let holder = format!("{}-{:x}-{number}", context.settings.name, context.boot);
        let client = StoreClient::new(context.settings.store, context.codec);
        tokio::spawn(send_ticks(Arc::clone(&context), myself));
        Ok(ControlState {
            client: Arc::new(client),
            holder,
            domains: BTreeMap::new(),
            context,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<ControlMessage>,
        message: ControlMessage,
        state: &mut ControlState,
    ) -> Result<(), ActorProcessingErr> {
        state.dispatch(&myself, message);
        Ok(())
    }
}

async fn send_ticks(context: Arc<NodeContext>, actor: ActorRef<ControlMessage>) {
    loop {
        // The wait ends early when the fleet changes.
        let _ = timeout(TICK_INTERVAL, context.fleet_changed.notified()).await;
        let suspects = std::mem::take(&mut *super::node_context::lock(&context.suspects));
        for (group, epoch) in suspects {
            let _ = actor.cast(ControlMessage::GroupSuspected(group, epoch));
        }
        if actor.cast(ControlMessage::Tick).is_err() {
            return;
        }
    }
}

impl ControlState {
    fn dispatch(&mut self, myself: &ActorRef<ControlMessage>, message: ControlMessage) {
        match message {
            ControlMessage::Tick => self.tick(myself),
            ControlMessage::Lease(domain, reply) => self.end_lease_call(myself, &domain, reply),
            ControlMessage::Outranked(domain) => {
                self.step_lease(myself, &domain, LeaseEvent::Outranked);
            }
            ControlMessage::OrderFinished {
                domain,
                service,
                server,
                number,
                outcome,
            } => {
                self.with_manager(myself, &domain, &service, |manager, out| {
                    manager.answered(now(), &server, number, outcome, out);
                });
                // The next order to this server, or a group that it can join now, need not wait for
                // the end of the tick interval.
                self.context.fleet_changed.notify_one();
            }
            ControlMessage::ProbeFinished {
                domain,
                service,
                server,
                outcome,
            } => {
                self.with_manager(myself, &domain, &service, |manager, _| {
                    manager.reported(now(), &server, &outcome);
                });
            }
            ControlMessage::CallsDeferred {
                domain,
                service,
                server,
                pause,
            } => {
                self.with_manager(myself, &domain, &service, |manager, _| {
                    manager.defer_calls(now(), &server, pause);
                });
            }
            ControlMessage::GroupSuspected(group, epoch) => self.suspect(myself, &group, epoch),
        }
    }

    fn suspect(&mut self, myself: &ActorRef<ControlMessage>, group: &str, epoch: u64) {
        let domains: Vec<String> = self.domains.keys().cloned().collect();
        for domain in domains {
            let services = self.services_of(&domain);
            for service in services {
                self.with_manager(myself, &domain, &service, |manager, out| {
                    manager.probe_group(now(), group, epoch, out);
                });
            }
        }
    }

    fn services_of(&self, domain: &str) -> Vec<String> {
        let control = self.domains.get(domain);
        control.map_or_else(Vec::new, |control| {
            control.managers.keys().cloned().collect()
        })
    }

    fn tick(&mut self, myself: &ActorRef<ControlMessage>) {
        self.choose_lease_domains();
        let names: Vec<String> = self.domains.keys().cloned().collect();
        let mut held = Vec::new();
        for name in names {
            self.step_lease(myself, &name, LeaseEvent::Tick);
            self.yield_to_later_term(myself, &name);
            self.run_managers(myself, &name);
            if let Some(term) = self.held_term(&name) {
                held.push((name, term));
            }
        }
        self.context.set_held_terms(held);
    }

    fn held_term(&self, domain: &str) -> Option<u64> {
        let control = self.domains.get(domain)?;
        control.lease.rights(now()).term()
    }

    /// Gives up a lease when another node announces a later term of it.
    fn yield_to_later_term(&mut self, myself: &ActorRef<ControlMessage>, domain: &str) {
        let Some(term) = self.held_term(domain) else {
            return;
        };
        if self.context.is_outranked(domain, term) {
            warn!(self.context.logger, "giving up a lease of which a peer announced a later term";
                "failure_domain" => domain,
                "term" => term);
            self.step_lease(myself, domain, LeaseEvent::Outranked);
        }
    }

    /// Decides for which leases this node contends: that of its own failure domain, and those of
    /// other domains while none of their nodes is heard.
    fn choose_lease_domains(&mut self) {
        let own = self.context.settings.failure_domain.clone();
        let at = now();
        let rank = self.context.peers().rank(at);
        let is_first = self
            .context
            .peers()
            .is_among_first(MAX_CONTENDERS, &own, at);
        for name in &self.context.settings.failure_domains {
            let silence = self.context.domain_silence(name, at);
            let holds = self
                .domains
                .get(name)
                .is_some_and(|control| control.lease.rights(at).term().is_some());
            let contends = if *name == own {
                holds || is_first
            } else {
                silence >= REMOTE_LEASE_DELAY && (holds || rank < MAX_CONTENDERS)
            };
            if !contends {
                if self.domains.remove(name).is_some() {
                    info!(self.context.logger,
                        "stopped contending for the lease of a failure domain";
                        "failure_domain" => name);
                }
                continue;
            }
            if self.domains.contains_key(name) {
                continue;
            }
            let mut lease = LeaseManager::new(name, &self.holder, LEASE_TIMING);
            if !self.is_first_start() {
                lease = lease.with_distrusted_absence();
            }
            let control = DomainControl {
                lease,
                term: None,
                managers: BTreeMap::new(),
            };
            self.domains.insert(name.clone(), control);
        }
    }

    fn end_lease_call(
        &mut self,
        myself: &ActorRef<ControlMessage>,
        domain: &str,
        reply: LeaseReply,
    ) {
        if let Some(era) = reply.era {
            self.context.observe_era(era);
            self.step_lease(myself, domain, LeaseEvent::EraSeen(era));
        }
        self.step_lease(myself, domain, reply.event);
    }

    fn step_lease(&mut self, myself: &ActorRef<ControlMessage>, domain: &str, event: LeaseEvent) {
        let Some(control) = self.domains.get_mut(domain) else {
            return;
        };
        let mut actions = Vec::new();
        control.lease.step(now(), event, &mut actions);
        for action in actions {
            match action {
                LeaseAction::Read => self.read_lease(myself, domain),
                LeaseAction::Commit(request) => self.commit_lease(myself, domain, request),
                LeaseAction::Taken(term) => {
                    info!(self.context.logger, "acquired the lease of a failure domain";
                        "failure_domain" => domain, "term" => term);
                }
                LeaseAction::Lost => {
                    warn!(self.context.logger, "lost the lease of a failure domain";
                        "failure_domain" => domain);
                }
                LeaseAction::Settled { .. } => {}
            }
        }
    }

    fn read_lease(&self, myself: &ActorRef<ControlMessage>, domain: &str) {
        let context = Arc::clone(&self.context);
        let client = Arc::clone(&self.client);
        let actor = myself.clone();
        let domain = domain.to_owned();
        tokio::spawn(async move {
            let reply = read_lease(&context, &client, &domain).await;
            // A failed send needs no handling: the actor ends only with the process.
            let _ = actor.cast(ControlMessage::Lease(domain, reply));
        });
    }

    fn commit_lease(
        &self,
        myself: &ActorRef<ControlMessage>,
        domain: &str,
        request: CommitRequest,
    ) {
        let client = Arc::clone(&self.client);
        let actor = myself.clone();
        let domain = domain.to_owned();
        tokio::spawn(async move {
            let reply = commit_lease(&client, &domain, request).await;
            // A failed send needs no handling: the actor ends only with the process.
            let _ = actor.cast(ControlMessage::Lease(domain, reply));
        });
    }

    /// Creates and ticks the formation managers of a failure domain; a new term starts with new
    /// managers.
    fn run_managers(&mut self, myself: &ActorRef<ControlMessage>, domain: &str) {
        let Some(routes) = self.context.routes() else {
            return;
        };
        let Some(control) = self.domains.get_mut(domain) else {
            return;
        };
        // Without rights nothing is ordered, but the managers stay: epochs must not start again
        // from the beginning when the rights of the same term come back.
        let Some(term) = control.lease.rights(now()).term() else {
            return;
        };
        if control.term != Some(term) {
            control.managers.clear();
            control.term = Some(term);
        }
        let domains = self.context.settings.failure_domains.len();
        let domains = u32::try_from(domains).unwrap_or(u32::MAX);
        for service in &routes.table.rules().services {
            let Some(profile) = service
                .engine
                .as_ref()
                .filter(|profile| !profile.models.is_empty())
            else {
                continue;
            };
            if control.managers.contains_key(&service.name) {
                continue;
            }
            let scope = FormationScope {
                service: service.name.clone(),
                failure_domain: domain.to_owned(),
                domains,
            };
            let manager = FormationManager::new(scope, term, profile.clone());
            control.managers.insert(service.name.clone(), manager);
        }
        let preparing = self.is_first_start();
        let drained =
            self.context.has_outdated_drains() || self.context.drains().is_drained(domain);
        for service in self.services_of(domain) {
            let context = Arc::clone(&self.context);
            self.with_manager(myself, domain, &service, |manager, out| {
                manager.set_drained(drained);
                manager.set_preparing(preparing);
                manager.set_work_shares(|model| context.scheduler().work_share(model));
                manager.set_busy_shares(|model| context.scheduler().busy_share(now(), model));
                let at = now();
                manager.set_cold_ends(context.cold.limiter().cold_ends(at));
                manager.tick(at, &context.fleet(), out);
            });
        }
    }

    /// True from the first start of the whole deployment until its first request.
    fn is_first_start(&self) -> bool {
        let serving = self.context.serving.load(Ordering::Relaxed);
        self.context.settings.first_start.unwrap_or(false) && !serving
    }

    /// Runs one step of a formation manager and carries out the actions that it returns. Does
    /// nothing if the manager doesn't exist.
    fn with_manager(
        &mut self,
        myself: &ActorRef<ControlMessage>,
        domain: &str,
        service: &str,
        step: impl FnOnce(&mut FormationManager, &mut Vec<FormationAction>),
    ) {
        let Some(control) = self.domains.get_mut(domain) else {
            return;
        };
        let Some(manager) = control.managers.get_mut(service) else {
            return;
        };
        let term = manager.term();
        let mut actions = Vec::new();
        step(manager, &mut actions);
        let sender = OrderSender {
            context: Arc::clone(&self.context),
            actor: myself.clone(),
            domain: domain.to_owned(),
            service: service.to_owned(),
        };
        let mut outranked = false;
        for action in actions {
            match action {
                FormationAction::Order {
                    number,
                    server,
                    address,
                    fence,
                    body,
                } => {
                    let order = EngineOrder {
                        server,
                        fence,
                        body,
                    };
                    tokio::spawn(sender.clone().send_order(number, address, order));
                }
                FormationAction::Probe { server, address } => {
                    tokio::spawn(sender.clone().probe(server, address));
                }
                FormationAction::Outranked => outranked = true,
                FormationAction::Dismissed {
                    server,
                    group,
                    epoch,
                    row_version,
                    left_for,
                } => {
                    info!(self.context.logger,
                        "dismissed an engine from a group to which it is not assigned";
                        "server" => server, "group" => group, "epoch" => epoch,
                        "row_version" => %row_version,
                        "left_for_ms" => left_for.map(millis), "term" => term);
                }
                FormationAction::LoadEnded {
                    server,
                    model,
                    is_finished,
                    took,
                } => {
                    info!(self.context.logger, "a load of weights has ended";
                        "server" => server, "model" => model, "finished" => is_finished,
                        "took_ms" => millis(took), "term" => term);
                }
                FormationAction::Capacity(report) => {
                    log_capacity(&self.context.logger, domain, term, &report);
                }
                FormationAction::Phase {
                    group,
                    epoch,
                    model,
                    phase,
                    reason,
                    server,
                } => {
                    info!(self.context.logger, "replica group changed phase";
                        "group" => group, "epoch" => epoch,
                        "model" => model, "phase" => phase, "reason" => reason,
                        "server" => server, "term" => term);
                }
            }
        }
        if outranked {
            // The lease is read again; if it still names this process, it is acquired again under a
            // higher term.
            let _ = myself.cast(ControlMessage::Outranked(domain.to_owned()));
            warn!(self.context.logger,
                "an engine refused an order because it knows a later term or epoch";
                "failure_domain" => domain, "term" => term);
        }
    }
}

/// Writes one line for each model, which shows a shortage of one model beside a surplus of another.
fn log_capacity(logger: &Logger, domain: &str, term: u64, report: &CapacityReport) {
    let free = report.free.iter();
    let free: Vec<String> = free
        .map(|(fabric, count)| format!("{fabric}:{count}"))
        .collect();
    for model in &report.models {
        info!(logger, "reported the capacity of a model";
            "failure_domain" => domain, "term" => term,
            "model" => &model.model, "open" => model.open, "forming" => model.forming,
            "ending" => model.ending, "holders" => model.holders,
            "work_share" => model.work_share, "busy_share" => model.busy_share,
            "usable" => report.usable, "loading" => report.loading,
            "oldest_load_ms" => report.oldest_load.map(millis), "free" => free.join(" "));
    }
}
