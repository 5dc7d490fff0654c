use {
    super::RequestIntake,
    crate::{
        core::keys::GroupKey,
        wire::{Execution, GroupId},
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Processing stage of an open request.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum RequestStage {
    /// In the queue of its service.
    Queued,
    /// Waits for the decision on its claim.
    Claiming,
    /// Not placed before this monotonic time.
    Delayed(Duration),
    /// An attempt runs on a group.
    OnGroup(GroupAttempt),
    /// An attempt runs on the server with this instance name.
    OnServer(String),
}

/// An attempt on a group.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct GroupAttempt {
    pub(super) key: GroupKey,
    pub(super) id: GroupId,
    pub(super) epoch: u64,
    pub(super) started_at: Duration,
    pub(super) predicted_s: f64,
    /// True when the request runs as a suspect, isolated from the other suspects.
    pub(super) isolated: bool,
    pub(super) first_token_seen: bool,
}

/// State of a request from its arrival to its final answer.
#[derive(Debug, Clone)]
pub(super) struct OpenRequest {
    pub(super) intake: RequestIntake,
    pub(super) stage: RequestStage,
    pub(super) attempts: u32,
    /// Groups on which an attempt failed other than by a lost connection; not selected until the
    /// list is cleared.
    pub(super) tried_groups: SmallVec<[GroupId; 2]>,
    /// Instance names of the servers on which an attempt failed; cleared together with
    /// `tried_groups`.
    pub(super) tried_servers: SmallVec<[String; 2]>,
    /// Chunks delivered to the caller over all attempts.
    pub(super) delivered: u64,
    /// A failed attempt may have run: its server was reached and did not refuse to start.
    pub(super) may_have_run: bool,
    /// A backend server is known to have run the request: a part of its answer arrived.
    pub(super) ran: bool,
    /// Arrival of the first token over all attempts.
    pub(super) first_token_at: Option<Duration>,
    /// Since when no target has been available for the request.
    pub(super) stalled_at: Option<Duration>,
}

impl OpenRequest {
    pub(super) fn new(intake: RequestIntake, stage: RequestStage) -> Self {
        Self {
            intake,
            stage,
            attempts: 0,
            tried_groups: SmallVec::new(),
            tried_servers: SmallVec::new(),
            delivered: 0,
            may_have_run: false,
            ran: false,
            first_token_at: None,
            stalled_at: None,
        }
    }

    /// Whether a backend server ran the request, as far as the gateway knows.
    pub(super) const fn execution(&self) -> Execution {
        if self.ran {
            return Execution::Ran;
        }
        if self.may_have_run {
            return Execution::Unknown;
        }
        Execution::NotRun
    }
}
