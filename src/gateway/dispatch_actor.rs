use {
    super::{
        call_order::{CallOrder, DispatchMessage},
        tick_pacer::TickPacer,
    },
    crate::{
        adapters::{
            AdapterError, CommitOutcome, JsonClient, LocalUpdate, MinuteWriter, ProcessRuntime,
        },
        core::{
            burn::{FinishedRequest, RequestOutcome},
            claims::{ClaimRow, CommitResult, ReadResult},
            dispatch::{DispatchAction, DispatchEvent, RequestDispatcher},
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

/// Longest wait for the answer to a report request.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Passes events to the request dispatcher and carries out its actions.
///
/// The mailbox needs no bound of its own: each open request has at most a few messages in it, and
/// the number of open requests is bounded.
#[derive(Debug)]
pub(super) struct DispatchActor;

/// Arguments of the dispatcher actor.
#[derive(Debug)]
pub(super) struct DispatchArguments {
    pub(super) dispatcher: RequestDispatcher,
    pub(super) runtime: ProcessRuntime,
    pub(super) client: JsonClient,
    pub(super) minutes: MinuteWriter,
}

/// State of the dispatcher actor.
#[derive(Debug)]
pub(super) struct DispatchState {
    dispatcher: RequestDispatcher,
    runtime: ProcessRuntime,
    client: JsonClient,
    minutes: MinuteWriter,
    pacer: TickPacer,
    /// Order queue of each open request, by ticket.
    calls: HashMap<u64, mpsc::Sender<CallOrder>>,
    /// Buffer that is reused for the actions of each step; empty between two steps.
    actions: Vec<DispatchAction>,
}

impl Actor for DispatchActor {
    type Msg = DispatchMessage;
    type State = DispatchState;
    type Arguments = DispatchArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<DispatchMessage>,
        arguments: DispatchArguments,
    ) -> Result<DispatchState, ActorProcessingErr> {
        let mut view = arguments.runtime.view.clone();
        let events = myself.clone();
        tokio::spawn(async move {
            loop {
                let newest = view.borrow_and_update().clone();
                if send_event(&events, DispatchEvent::View(newest)).is_err()
                    || view.changed().await.is_err()
                {
                    return;
                }
            }
        });
        let pacer = TickPacer::default();
        tokio::spawn(pacer.clone().run(myself));
        Ok(DispatchState {
            dispatcher: arguments.dispatcher,
            runtime: arguments.runtime,
            client: arguments.client,
            minutes: arguments.minutes,
            pacer,
            calls: HashMap::new(),
            actions: Vec::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<DispatchMessage>,
        message: DispatchMessage,
        state: &mut DispatchState,
    ) -> Result<(), ActorProcessingErr> {
        let event = match message {
            DispatchMessage::Status(reply) => {
                let _ = reply.send(state.dispatcher.status());
                return Ok(());
            }
            DispatchMessage::Open(event, ticket, orders) => {
                state.calls.insert(ticket, orders);
                event
            }
            DispatchMessage::Event(event) => event,
        };
        if let DispatchEvent::Completed(ticket, ..) | DispatchEvent::CallerLeft(ticket) = &event {
            state.calls.remove(ticket);
        }
        let now = state.runtime.started.elapsed();
        let mut actions = std::mem::take(&mut state.actions);
        state.dispatcher.step(now, event, &mut actions);
        for action in actions.drain(..) {
            state.carry_out(&myself, action);
        }
        state.actions = actions;
        state.pacer.set_busy(!state.dispatcher.is_idle());
        Ok(())
    }
}

impl DispatchState {
    fn carry_out(&mut self, myself: &ActorRef<DispatchMessage>, action: DispatchAction) {
        match action {
            DispatchAction::Start(order) => {
                let Some(orders) = self.calls.get(&order.ticket) else {
                    return;
                };
                // The queue has room for two orders, and a call has one attempt at a time.
                let _ = orders.try_send(CallOrder::Start(order));
            }
            DispatchAction::Refuse(ticket, refusal) => {
                debug!(self.runtime.logger, "refused a request";
                    "ticket" => ticket, "reason" => refusal.reason.name());
                self.end_call(ticket, CallOrder::Refuse(refusal));
            }
            DispatchAction::Replay(ticket, outcome) => {
                self.end_call(ticket, CallOrder::Replay(outcome));
            }
            DispatchAction::Finished(request) => self.count_outcome(request),
            DispatchAction::Commit(batch, request) => self.commit_claims(myself, batch, request),
            DispatchAction::Read(ticket, key) => self.read_claim(myself, ticket, key),
            DispatchAction::Ask(instance, address) => self.poll_report(myself, instance, address),
            DispatchAction::PublishUsage(entries) => self.publish(LocalUpdate::Usage(entries)),
            DispatchAction::PublishSuspects(entries) => {
                self.publish(LocalUpdate::Suspects(entries));
            }
        }
    }

    fn count_outcome(&self, request: FinishedRequest) {
        let name = match &request.outcome {
            RequestOutcome::Completed => "requests.completed",
            RequestOutcome::Late => "requests.late",
            RequestOutcome::Incomplete => "requests.incomplete",
            RequestOutcome::Refused { .. } => "requests.refused",
        };
        // Failures to send metrics are ignored.
        let _ = self.runtime.metrics.count(name, 1);
        self.minutes.note(request);
    }

    fn end_call(&mut self, ticket: u64, order: CallOrder) {
        if let Some(orders) = self.calls.remove(&ticket) {
            let _ = orders.try_send(order);
        }
    }

    fn publish(&self, update: LocalUpdate) {
        // A full queue drops the update; the next round or the next crash repeats it.
        let _ = self.runtime.updates.try_send(update);
    }

    fn commit_claims(
        &self,
        myself: &ActorRef<DispatchMessage>,
        batch: u64,
        request: CommitRequest,
    ) {
        let (platform, events) = (self.runtime.platform.clone(), myself.clone());
        tokio::spawn(async move {
            let result = match platform.commit(&request).await {
                Ok(CommitOutcome::Committed(version)) => CommitResult::Committed(version),
                Ok(CommitOutcome::Conflict(rows)) => CommitResult::Conflict(rows),
                Err(_) => CommitResult::Unknown,
            };
            let _ = send_event(&events, DispatchEvent::ClaimCommitted(batch, result));
        });
    }

    fn read_claim(&self, myself: &ActorRef<DispatchMessage>, ticket: u64, key: String) {
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
            let _ = send_event(&events, DispatchEvent::ClaimRead(ticket, result));
        });
    }

    fn poll_report(
        &self,
        myself: &ActorRef<DispatchMessage>,
        instance: String,
        address: SocketAddr,
    ) {
        let (client, events) = (self.client.clone(), myself.clone());
        let requested_at = self.runtime.started.elapsed();
        tokio::spawn(async move {
            let report = fetch_report(&client, address, REPORT_TIMEOUT).await.ok();
            let event = DispatchEvent::Asked(instance, requested_at, report.map(Box::new));
            let _ = send_event(&events, event);
        });
    }
}

/// Requests the report of the instance at this address.
pub(super) async fn fetch_report(
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

fn send_event(actor: &ActorRef<DispatchMessage>, event: DispatchEvent) -> Result<(), ()> {
    let message = DispatchMessage::Event(event);
    actor.send_message(message).map_err(|_| ())
}
