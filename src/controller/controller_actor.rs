use {
    super::action_runner::CallRunner,
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

/// Time between two gauges for the service-level minutes; the ledger needs one every 2 s.
const GAUGE_EVERY: Duration = Duration::from_secs(1);

/// Message to the controller actor.
#[derive(Debug)]
pub(super) enum ControllerMessage {
    /// Time passed.
    Tick,
    /// An answer to one of the keeper's actions.
    Event(GroupEvent),
    /// The view of configuration and peers changed.
    View(Arc<ClusterView>),
    /// Asks for the state of groups and services.
    Status(RpcReplyPort<ManagerStatus>),
}

/// What the actor starts with.
pub(super) struct ControllerArguments {
    pub keeper: GroupManager,
    pub runner: CallRunner,
    pub minutes: MinuteWriter,
    /// True while a tick waits in the mailbox, so that ticks do not pile up.
    pub tick_waits: Arc<AtomicBool>,
}

/// State of the actor.
pub(super) struct ControllerState {
    keeper: GroupManager,
    runner: CallRunner,
    minutes: MinuteWriter,
    gauge_at: Duration,
    /// True while the last gauge counts.
    gauged: bool,
    tick_waits: Arc<AtomicBool>,
    view: Arc<ClusterView>,
}

/// Feeds events to the group keeper and carries out its actions.
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
            keeper: arguments.keeper,
            runner: arguments.runner,
            minutes: arguments.minutes,
            gauge_at: Duration::ZERO,
            gauged: false,
            tick_waits: arguments.tick_waits,
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
        let mut out = Vec::new();
        match message {
            ControllerMessage::Tick => {
                state.tick_waits.store(false, Ordering::Release);
                state.keeper.step(now, GroupEvent::Tick, &mut out);
                state.gauge(now);
            }
            ControllerMessage::Event(event) => state.keeper.step(now, event, &mut out),
            ControllerMessage::View(view) => {
                for event in state.view_events(view) {
                    state.keeper.step(now, event, &mut out);
                }
            }
            ControllerMessage::Status(reply) => {
                // The caller may have gone away.
                let _ = reply.send(state.keeper.status(now));
            }
        }
        for action in out {
            state.carry_out(&myself, action);
        }
        Ok(())
    }
}

impl ControllerState {
    /// Hands missing groups and stranded accelerators to the minute writer.
    fn gauge(&mut self, now: Duration) {
        if now < self.gauge_at {
            return;
        }
        self.gauge_at = now + GAUGE_EVERY;
        let gauge = self.keeper.gauge(now);
        let holds = gauge.is_some();
        // One empty gauge after the loss of the lease ends the count.
        if holds || self.gauged {
            self.minutes.gauge(gauge.unwrap_or_default());
        }
        self.gauged = holds;
    }

    /// Events that follow from a new view.
    fn view_events(&mut self, view: Arc<ClusterView>) -> Vec<GroupEvent> {
        let mut events = Vec::new();
        let domain = &self.runner.failure_domain;
        let former = std::mem::replace(&mut self.view, view);
        let version = |view: &ClusterView| view.configuration.as_ref().map(|text| text.version);
        if version(&former) != version(&self.view)
            && let Some(configuration) = &self.view.configuration
        {
            events.push(GroupEvent::Configured(Arc::new(configuration.text.clone())));
        }
        if former.leaving != self.view.leaving {
            events.push(GroupEvent::Leaving(self.view.leaving.clone()));
        }
        if former.controllers.get(domain) != self.view.controllers.get(domain) {
            events.push(GroupEvent::HolderHeartbeat);
        }
        let changed = |entry: &&GroupEntry| {
            entry.failure_domain == *domain && former.groups.get(&entry.id) != Some(*entry)
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
                    slog::info!(self.runner.runtime.logger, "group changed";
                        "group" => &entry.id.0, "service" => &entry.service,
                        "state" => ?entry.state, "epoch" => entry.epoch);
                }
            }
            GroupAction::Order {
                instance, order, ..
            } => {
                slog::info!(self.runner.runtime.logger, "order sent";
                    "instance" => instance, "term" => order.fencing.term,
                    "sequence" => order.fencing.sequence, "order" => ?order.order);
            }
            _ => {}
        }
        let runner = self.runner.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            if let Some(event) = runner.run(action).await {
                // After the actor has stopped, answers have no receiver.
                let _ = myself.cast(ControllerMessage::Event(event));
            }
        });
    }
}
