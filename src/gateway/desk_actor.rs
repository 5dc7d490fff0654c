use {
    super::call_order::{CallOrder, DeskMessage},
    crate::{
        adapters::{
            AdapterError, CommitOutcome, JsonClient, LocalUpdate, MinuteWriter, NodeRuntime,
        },
        core::{
            burn::{FinishedRequest, RequestOutcome},
            claims::{ClaimRow, CommitResult, ReadResult},
            dispatch::{DeskAction, DeskEvent, RequestDesk},
        },
        wire::{CommitRequest, InstanceReport},
    },
    bytes::Bytes,
    cadence::Counted,
    hyper::{Method, StatusCode},
    ractor::{Actor, ActorProcessingErr, ActorRef},
    slog::debug,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
    tokio::sync::mpsc,
};

/// Time between two ticks; claims are batched over a few milliseconds.
const TICK: Duration = Duration::from_millis(4);

/// Bound of a question to an instance.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects the request desk with the calls, the platform and the peers.
///
/// Its mailbox needs no bound of its own: each open request has at most a few
/// messages in it, and the number of open requests is bounded.
#[derive(Debug)]
pub(super) struct DeskActor;

/// What the actor starts with.
#[derive(Debug)]
pub(super) struct DeskArguments {
    pub(super) desk: RequestDesk,
    pub(super) runtime: NodeRuntime,
    pub(super) client: JsonClient,
    pub(super) minutes: MinuteWriter,
}

/// What the actor keeps.
#[derive(Debug)]
pub(super) struct DeskState {
    desk: RequestDesk,
    runtime: NodeRuntime,
    client: JsonClient,
    minutes: MinuteWriter,
    calls: HashMap<u64, mpsc::Sender<CallOrder>>,
    actions: Vec<DeskAction>,
}

impl Actor for DeskActor {
    type Msg = DeskMessage;
    type State = DeskState;
    type Arguments = DeskArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<DeskMessage>,
        arguments: DeskArguments,
    ) -> Result<DeskState, ActorProcessingErr> {
        let mut view = arguments.runtime.view.clone();
        let events = myself.clone();
        tokio::spawn(async move {
            loop {
                let newest = view.borrow_and_update().clone();
                if send(&events, DeskEvent::View(newest)).is_err() || view.changed().await.is_err()
                {
                    return;
                }
            }
        });
        myself.send_interval(TICK, || DeskMessage::Event(DeskEvent::Tick));
        Ok(DeskState {
            desk: arguments.desk,
            runtime: arguments.runtime,
            client: arguments.client,
            minutes: arguments.minutes,
            calls: HashMap::new(),
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<DeskMessage>,
        message: DeskMessage,
        state: &mut DeskState,
    ) -> Result<(), ActorProcessingErr> {
        let event = match message {
            DeskMessage::Status(reply) => {
                let _ = reply.send(state.desk.status());
                return Ok(());
            }
            DeskMessage::Open(event, ticket, orders) => {
                state.calls.insert(ticket, orders);
                event
            }
            DeskMessage::Event(event) => event,
        };
        if let DeskEvent::Completed(ticket, ..) | DeskEvent::CallerLeft(ticket) = &event {
            state.calls.remove(ticket);
        }
        let now = state.runtime.started.elapsed();
        let mut actions = std::mem::take(&mut state.actions);
        state.desk.step(now, event, &mut actions);
        for action in actions.drain(..) {
            state.carry_out(&myself, action);
        }
        state.actions = actions;
        Ok(())
    }
}

impl DeskState {
    fn carry_out(&mut self, myself: &ActorRef<DeskMessage>, action: DeskAction) {
        match action {
            DeskAction::Start(order) => {
                let Some(orders) = self.calls.get(&order.ticket) else {
                    return;
                };
                // The queue holds one order, and a call has one attempt at a time.
                let _ = orders.try_send(CallOrder::Start(order));
            }
            DeskAction::Refuse(ticket, refusal) => {
                debug!(self.runtime.logger, "request refused";
                    "ticket" => ticket, "reason" => refusal.reason.name());
                self.end_call(ticket, CallOrder::Refuse(refusal));
            }
            DeskAction::Replay(ticket, outcome) => {
                self.end_call(ticket, CallOrder::Replay(outcome));
            }
            DeskAction::Finished(request) => self.count(request),
            DeskAction::Commit(batch, request) => self.commit(myself, batch, request),
            DeskAction::Read(ticket, key) => self.read(myself, ticket, key),
            DeskAction::Ask(instance, address) => self.ask(myself, instance, address),
            DeskAction::PublishUsage(entries) => self.publish(LocalUpdate::Usage(entries)),
            DeskAction::PublishSuspects(entries) => self.publish(LocalUpdate::Suspects(entries)),
        }
    }

    fn count(&self, request: FinishedRequest) {
        let name = match &request.outcome {
            RequestOutcome::Completed => "requests.completed",
            RequestOutcome::Late => "requests.late",
            RequestOutcome::Incomplete => "requests.incomplete",
            RequestOutcome::Refused { .. } => "requests.refused",
        };
        // Metrics are sent at best effort.
        let _ = self.runtime.metrics.count(name, 1);
        self.minutes.note(request);
    }

    fn end_call(&mut self, ticket: u64, order: CallOrder) {
        if let Some(orders) = self.calls.remove(&ticket) {
            let _ = orders.try_send(order);
        }
    }

    fn publish(&self, update: LocalUpdate) {
        // A full queue drops the update; the next round or crash repeats it.
        let _ = self.runtime.updates.try_send(update);
    }

    fn commit(&self, myself: &ActorRef<DeskMessage>, batch: u64, request: CommitRequest) {
        let (platform, events) = (self.runtime.platform.clone(), myself.clone());
        tokio::spawn(async move {
            let result = match platform.commit(&request).await {
                Ok(CommitOutcome::Committed(version)) => CommitResult::Committed(version),
                Ok(CommitOutcome::Conflict(rows)) => CommitResult::Conflict(rows),
                Err(_) => CommitResult::Unknown,
            };
            let _ = send(&events, DeskEvent::ClaimCommitted(batch, result));
        });
    }

    fn read(&self, myself: &ActorRef<DeskMessage>, ticket: u64, key: String) {
        let (platform, events) = (self.runtime.platform.clone(), myself.clone());
        tokio::spawn(async move {
            let result = match platform.read(&key).await {
                Ok(None) => ReadResult::Missing,
                Ok(Some(row)) => serde_json::from_value::<ClaimRow>(row.value)
                    .map_or(ReadResult::Failed, |value| {
                        ReadResult::Found(row.version, value)
                    }),
                Err(_) => ReadResult::Failed,
            };
            let _ = send(&events, DeskEvent::ClaimRead(ticket, result));
        });
    }

    fn ask(&self, myself: &ActorRef<DeskMessage>, instance: String, address: SocketAddr) {
        let (client, events) = (self.client.clone(), myself.clone());
        let asked_at = self.runtime.started.elapsed();
        tokio::spawn(async move {
            let report = ask_report(&client, address, ASK_TIMEOUT).await.ok();
            let event = DeskEvent::Asked(instance, asked_at, report.map(Box::new));
            let _ = send(&events, event);
        });
    }
}

/// Asks an instance for its report.
pub(super) async fn ask_report(
    client: &JsonClient,
    address: SocketAddr,
    timeout: Duration,
) -> crate::adapters::Result<InstanceReport> {
    let path = "/control/report";
    let call = client.call(Method::GET, address, path, Bytes::new(), timeout);
    let reply = call.await?;
    if reply.status != StatusCode::OK {
        let status = AdapterError::Status(reply.status.as_u16());
        return Err(error_stack::Report::new(status));
    }
    reply.decode()
}

fn send(actor: &ActorRef<DeskMessage>, event: DeskEvent) -> Result<(), ()> {
    let message = DeskMessage::Event(event);
    actor.send_message(message).map_err(|_| ())
}
