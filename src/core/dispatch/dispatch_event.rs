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

/// Events of the request dispatcher.
#[derive(Debug, Clone)]
pub enum DispatchEvent {
    /// A new view of the cluster.
    View(Arc<ClusterView>),
    /// A request arrived whole.
    Arrived(Box<RequestIntake>),
    /// The first token of a request arrived.
    FirstToken(u64),
    /// An attempt ended without a complete answer.
    AttemptEnded(AttemptReport),
    /// The answer is complete; tokens of the answer, and its outcome when it is to be recorded.
    Completed(u64, u32, Option<RecordedOutcome>),
    /// The caller left.
    CallerLeft(u64),
    /// An instance was asked at this time and answered or not.
    Asked(String, Duration, Option<Box<InstanceReport>>),
    /// A claim commit was answered.
    ClaimCommitted(u64, CommitResult),
    /// A claim row was read.
    ClaimRead(u64, ReadResult),
    /// Time passes.
    Tick,
    /// No new requests from now on.
    Stop,
}
