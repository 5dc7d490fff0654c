use {
    crate::core::{
        claims::RecordedOutcome,
        dispatch::{AttemptOrder, DispatchEvent, DispatchStatus, Refusal},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Order of the dispatcher to the task of a call.
#[derive(Debug)]
pub(super) enum CallOrder {
    /// Start an attempt. Its failure is reported back and may be followed by another order.
    Start(AttemptOrder),
    /// Refuse the request, or end an answer that broke off. No further order follows.
    Refuse(Refusal),
    /// Answer with the outcome recorded under the same idempotency key. No further order follows.
    Replay(RecordedOutcome),
}

/// Message to the dispatcher actor.
#[derive(Debug)]
pub(super) enum DispatchMessage {
    /// Input for the request dispatcher.
    Event(DispatchEvent),
    /// Arrival of a request, with its ticket and the queue for its orders.
    Open(DispatchEvent, u64, mpsc::Sender<CallOrder>),
    /// Requests the counts that `/status` shows.
    Status(oneshot::Sender<DispatchStatus>),
}
