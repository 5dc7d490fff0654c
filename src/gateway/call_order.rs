use {
    crate::core::{
        claims::RecordedOutcome,
        dispatch::{AttemptOrder, DispatchEvent, DispatchStatus, Refusal},
    },
    tokio::sync::{mpsc, oneshot},
};

/// What the dispatcher tells the task of a call.
#[derive(Debug)]
pub(super) enum CallOrder {
    /// Start an attempt.
    Start(AttemptOrder),
    /// Refuse the request, or end its broken answer.
    Refuse(Refusal),
    /// Answer with a recorded outcome.
    Replay(RecordedOutcome),
}

/// Messages of the dispatcher actor.
#[derive(Debug)]
pub(super) enum DispatchMessage {
    /// An event for the decisions.
    Event(DispatchEvent),
    /// A request with the queue for its orders.
    Open(DispatchEvent, u64, mpsc::Sender<CallOrder>),
    /// Asks for the counts.
    Status(oneshot::Sender<DispatchStatus>),
}
