use {
    crate::core::{
        claims::RecordedOutcome,
        dispatch::{AttemptOrder, DeskEvent, DeskStatus, Refusal},
    },
    tokio::sync::{mpsc, oneshot},
};

/// What the desk tells the task of a call.
#[derive(Debug)]
pub(super) enum CallOrder {
    /// Start an attempt.
    Start(AttemptOrder),
    /// Refuse the request, or end its broken answer.
    Refuse(Refusal),
    /// Answer with a recorded outcome.
    Replay(RecordedOutcome),
}

/// Messages of the desk actor.
#[derive(Debug)]
pub(super) enum DeskMessage {
    /// An event for the decisions.
    Event(DeskEvent),
    /// A request with the queue for its orders.
    Open(DeskEvent, u64, mpsc::Sender<CallOrder>),
    /// Asks for the counts.
    Status(oneshot::Sender<DeskStatus>),
}
