use {
    super::{DispatchAction, Refusal, RequestDispatcher, RequestIntake, open_request::OpenRequest},
    crate::core::burn::{FinishedRequest, RequestOutcome},
    std::time::Duration,
};

impl RequestDispatcher {
    /// Appends the action that counts an open request; `outcome` computes its outcome. Does nothing
    /// if the request has ended already.
    pub(super) fn count_end(
        &self,
        ticket: u64,
        outcome: impl FnOnce(&OpenRequest) -> RequestOutcome,
        out: &mut Vec<DispatchAction>,
    ) {
        if let Some(request) = self.open.get(&ticket) {
            let outcome = outcome(request);
            out.push(finished_action(&request.intake, outcome));
        }
    }
}

/// Builds the action that counts a request.
pub(super) fn finished_action(intake: &RequestIntake, outcome: RequestOutcome) -> DispatchAction {
    DispatchAction::Finished(FinishedRequest {
        service: intake.service().to_owned(),
        account: intake.account.clone(),
        kind: intake.kind.clone(),
        weight: intake.weight,
        outcome,
    })
}

/// Outcome of a complete answer. The deadline applies to the first token, or to `now` if none was
/// reported.
pub(super) fn completion_outcome(request: &OpenRequest, now: Duration) -> RequestOutcome {
    if request.first_token_at.unwrap_or(now) <= request.intake.deadline {
        RequestOutcome::Completed
    } else {
        RequestOutcome::Late
    }
}

/// Outcome of a refusal.
pub(super) fn refusal_outcome(refusal: &Refusal) -> RequestOutcome {
    RequestOutcome::Refused {
        reason: refusal.reason.name().to_owned(),
        execution: refusal.execution,
    }
}

/// Outcome of a refused request: incomplete if the caller got a part of the answer.
pub(super) fn open_refusal_outcome(request: &OpenRequest, refusal: &Refusal) -> RequestOutcome {
    if request.delivered > 0 {
        return RequestOutcome::Incomplete;
    }
    refusal_outcome(refusal)
}
