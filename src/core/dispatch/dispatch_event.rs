use {
    super::{AttemptReport, RequestIntake},
    crate::{
        core::{
            claims::{CommitResult, ReadResult, RecordedOutcome},
            view::ClusterView,
        },
        wire::InstanceReport,
    },
    std::{sync::Arc, time::Duration},
};

/// Inputs of the request dispatcher. A leading number is the ticket of a request, unless stated
/// otherwise.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// The view of the cluster changed.
    View(Arc<ClusterView>),
    /// A request was received completely.
    Arrived(Box<RequestIntake>),
    /// The first chunk of an answer arrived.
    FirstToken(u64),
    /// An attempt ended without a complete answer.
    AttemptEnded(AttemptReport),
    /// The answer is complete. Holds the answer tokens used, 0 for plain services, and the outcome
    /// if it has to be recorded for the claim.
    Completed(u64, u32, Option<RecordedOutcome>),
    /// The caller closed its connection before the answer was complete.
    CallerLeft(u64),
    /// A report request to an instance ended. Holds the time when it was sent and the report;
    /// `None` if the instance did not answer.
    Asked(String, Duration, Option<Box<InstanceReport>>),
    /// The platform answered the claim commit of this batch number, or its outcome is unknown.
    ClaimCommitted(u64, CommitResult),
    /// The read of a claim row ended.
    ClaimRead(u64, ReadResult),
    /// Runs everything that is due by now.
    Tick,
    /// The gateway shuts down: new requests are refused, open ones continue.
    Stop,
}
