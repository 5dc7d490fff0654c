use {
    super::RequestIntake,
    crate::{
        core::keys::GroupKey,
        wire::{Execution, GroupId},
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Where a request stands.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RequestStage {
    /// Waits in the queue of its service.
    Queued,
    /// Waits for its claim.
    Claiming,
    /// Waits until this time before it is placed again.
    Pausing(Duration),
    /// Runs on a group.
    OnGroup(GroupRun),
    /// Runs on a plain server.
    OnServer(String),
}

/// An attempt on a group.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct GroupRun {
    pub(super) key: GroupKey,
    pub(super) id: GroupId,
    pub(super) epoch: u64,
    pub(super) started_at: Duration,
    pub(super) predicted_s: f64,
    /// True when the request runs as a suspect, apart from other suspects.
    pub(super) apart: bool,
    pub(super) first_token: bool,
}

/// A request between its arrival and its end.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub(super) intake: RequestIntake,
    pub(super) stage: RequestStage,
    pub(super) attempts: u32,
    pub(super) tried: SmallVec<[GroupId; 2]>,
    pub(super) tried_servers: SmallVec<[String; 2]>,
    pub(super) delivered: u64,
    /// A byte went to a backend server that did not say that it did not start.
    pub(super) sent: bool,
    /// A backend server is known to have run the request.
    pub(super) ran: bool,
    /// When the first token came.
    pub(super) first_token_at: Option<Duration>,
    /// Since when the request has waited for a group to continue on.
    pub(super) stalled_at: Option<Duration>,
}

impl OpenRequest {
    pub(super) fn new(intake: RequestIntake, stage: RequestStage) -> Self {
        Self {
            intake,
            stage,
            attempts: 0,
            tried: SmallVec::new(),
            tried_servers: SmallVec::new(),
            delivered: 0,
            sent: false,
            ran: false,
            first_token_at: None,
            stalled_at: None,
        }
    }

    /// What is known about the execution.
    pub(super) const fn execution(&self) -> Execution {
        if self.ran {
            return Execution::Ran;
        }
        if self.sent {
            return Execution::Unknown;
        }
        Execution::NotRun
    }
}
