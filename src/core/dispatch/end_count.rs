use {
    super::{DispatchAction, Refusal, RequestDispatcher, RequestIntake, open_request::OpenRequest},
    crate::core::burn::{FinishedRequest, RequestOutcome},
    std::time::Duration,
};

impl RequestDispatcher {
    /// Counts an open request that ends with this outcome.
    pub(super) fn count_end(
        &self,
        ticket: u64,
        outcome: impl FnOnce(&OpenRequest) -> RequestOutcome,
        out: &mut Vec<DispatchAction>,
    ) {
        if let Some(request) = self.open.get(&ticket) {
            let outcome = outcome(request);
            out.push(finished(&request.intake, outcome));
        }
    }
}

/// Counts a request that ends with this outcome.
pub(super) fn finished(intake: &RequestIntake, outcome: RequestOutcome) -> DispatchAction {
    DispatchAction::Finished(FinishedRequest {
        service: intake.service().to_owned(),
        account: intake.account.clone(),
        kind: intake.kind.clone(),
        weight: intake.weight,
        outcome,
    })
}

/// Outcome of a whole answer; the deadline is that of the first token.
pub(super) fn completed(request: &OpenRequest, now: Duration) -> RequestOutcome {
    if request.first_token_at.unwrap_or(now) <= request.intake.deadline {
        RequestOutcome::Completed
    } else {
        RequestOutcome::Late
    }
}

/// Outcome of a refusal.
pub(super) fn refused(refusal: &Refusal) -> RequestOutcome {
    RequestOutcome::Refused {
        reason: refusal.reason.name().to_owned(),
        execution: refusal.execution,
    }
}
