use {
    super::action_runner::ActionRunner,
    crate::{
        adapters::MinuteWriter,
        core::{
            groups::{GroupAction, GroupEvent, GroupManager, ManagerStatus},
            view::ClusterView,
        },
        wire::GroupEntry,
    },
    ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// Time between two gauges of missing groups and stranded accelerators. The ledger of the
/// service-level minutes needs one every 2 s.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Message to the controller actor.
#[derive(Debug)]
pub(super) enum ControllerMessage {
    /// Time has passed; sent every 100 ms, unless a tick still waits in the mailbox.
    Tick,
    /// Result of an action of the group manager.
    Event(GroupEvent),
    /// Newest view of the configuration and the peers.
    View(Arc<ClusterView>),
    /// Requests the state of the groups and services for `/status`.
    Status(RpcReplyPort<ManagerStatus>),
}

/// Arguments of the controller actor.
pub(super) struct ControllerArguments {
    pub manager: GroupManager,
    pub runner: ActionRunner,
    pub minutes: MinuteWriter,
    /// True while a tick waits in the mailbox; no further tick is sent meanwhile.
    pub tick_pending: Arc<AtomicBool>,
}

/// State of the controller actor.
pub(super) struct ControllerState {
    manager: GroupManager,
    runner: ActionRunner,
    minutes: MinuteWriter,
    next_gauge: Duration,
    /// True if the last gauge was written while this controller held the lease, so that an empty
    /// one has to end its count.
    gauge_active: bool,
    tick_pending: Arc<AtomicBool>,
    view: Arc<ClusterView>,
}

/// Passes events to the group manager and carries out its actions.
///
/// The mailbox stays bounded: each instance has at most four polls and one
/// order under way, the platform two calls, and one tick waits at most.
pub(super) struct ControllerActor;

impl Actor for ControllerActor {
    type Msg = ControllerMessage;
    type State = ControllerState;
    type Arguments = ControllerArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(ControllerState {
            manager: arguments.manager,
            runner: arguments.runner,
            minutes: arguments.minutes,
            next_gauge: Duration::ZERO,
            gauge_active: false,
            tick_pending: arguments.tick_pending,
            view: Arc::new(ClusterView::default()),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = state.runner.now();
        let mut actions = Vec::new();
        match message {
            ControllerMessage::Tick => {
                state.tick_pending.store(false, Ordering::Release);
                state.manager.step(now, GroupEvent::Tick, &mut actions);
                state.gauge(now);
            }
            ControllerMessage::Event(event) => state.manager.step(now, event, &mut actions),
            ControllerMessage::View(view) => {
                for event in state.view_events(view) {
                    state.manager.step(now, event, &mut actions);
                }
            }
            ControllerMessage::Status(reply) => {
                // The prober may have closed its connection.
                let _ = reply.send(state.manager.status(now));
            }
        }
        for action in actions {
            state.carry_out(&myself, action);
        }
        Ok(())
    }
}

impl ControllerState {
    /// Hands the minute writer a gauge of missing groups and stranded accelerators every
    /// [`GAUGE_INTERVAL`].
    fn gauge(&mut self, now: Duration) {
        if now < self.next_gauge {
            return;
        }
        self.next_gauge = now + GAUGE_INTERVAL;
        let gauge = self.manager.gauge(now);
        let holds_lease = gauge.is_some();
        // After the loss of the lease, one empty gauge ends the count.
        if holds_lease || self.gauge_active {
            self.minutes.gauge(gauge.unwrap_or_default());
        }
        self.gauge_active = holds_lease;
    }

    /// Stores a new view and returns the events for what changed in it.
    fn view_events(&mut self, view: Arc<ClusterView>) -> Vec<GroupEvent> {
        let mut events = Vec::new();
        let domain = &self.runner.failure_domain;
        let previous = std::mem::replace(&mut self.view, view);
        let version = |view: &ClusterView| view.configuration.as_ref().map(|text| text.version);
        if version(&previous) != version(&self.view)
            && let Some(configuration) = &self.view.configuration
        {
            events.push(GroupEvent::Configured(Arc::new(configuration.text.clone())));
        }
        if previous.leaving != self.view.leaving {
            events.push(GroupEvent::Leaving(self.view.leaving.clone()));
        }
        if previous.controllers.get(domain) != self.view.controllers.get(domain) {
            events.push(GroupEvent::HolderHeartbeat);
        }
        let changed = |entry: &&GroupEntry| {
            entry.failure_domain == *domain && previous.groups.get(&entry.id) != Some(*entry)
        };
        let entries: Vec<GroupEntry> = self.view.groups.values().filter(changed).cloned().collect();
        if !entries.is_empty() {
            events.push(GroupEvent::Seen(entries));
        }
        events
    }

    fn carry_out(&self, myself: &ActorRef<ControllerMessage>, action: GroupAction) {
        match &action {
            GroupAction::Publish(entries) => {
                for entry in entries {
                    slog::info!(self.runner.runtime.logger,
                        "publishing the changed entry of a replica group";
                        "group" => &entry.id.0, "service" => &entry.service,
                        "state" => ?entry.state, "epoch" => entry.epoch);
                }
            }
            GroupAction::Order {
                instance, order, ..
            } => {
                slog::info!(self.runner.runtime.logger, "sending an order to a backend server";
                    "instance" => instance, "term" => order.fencing.term,
                    "sequence" => order.fencing.sequence, "order" => ?order.order);
            }
            _ => {}
        }
        let runner = self.runner.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            if let Some(event) = runner.run(action).await {
                // Fails if the actor has stopped; the result is then of no use.
                let _ = myself.cast(ControllerMessage::Event(event));
            }
        });
    }
}
