use {
    super::{
        DispatchAction, Refusal, RefusalReason, RequestDispatcher,
        open_request::RequestStage,
        request_outcome::{completion_outcome, refusal_outcome},
    },
    crate::{
        core::claims::{ClaimAction, ClaimDecision, ClaimEvent},
        wire::Execution,
    },
    std::time::Duration,
};

impl RequestDispatcher {
    /// Passes an event to the claim manager and carries out its actions.
    pub(super) fn step_claims(
        &mut self,
        now: Duration,
        event: ClaimEvent,
        out: &mut Vec<DispatchAction>,
    ) {
        let mut actions = Vec::new();
        self.claims.step(now, event, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Commit(batch, request) => {
                    out.push(DispatchAction::Commit(batch, request));
                }
                ClaimAction::Read(ticket, key) => out.push(DispatchAction::Read(ticket, key)),
                ClaimAction::Decision(ticket, decision) => {
                    self.apply_decision(now, ticket, decision, out);
                }
            }
        }
    }

    fn apply_decision(
        &mut self,
        now: Duration,
        ticket: u64,
        decision: ClaimDecision,
        out: &mut Vec<DispatchAction>,
    ) {
        use RefusalReason as Reason;
        let refusal = match decision {
            ClaimDecision::Granted => {
                let Some(request) = self.open.get_mut(&ticket) else {
                    return;
                };
                request.stage = RequestStage::Delayed(now);
                self.pending_tickets.insert(ticket);
                return;
            }
            ClaimDecision::Recorded(outcome) => {
                self.count_end(ticket, |request| completion_outcome(request, now), out);
                self.close(now, ticket, None);
                out.push(DispatchAction::Replay(ticket, outcome));
                return;
            }
            ClaimDecision::NotWritten => {
                let detail = "the claim could not be written in time";
                let refusal = Refusal::not_run(Reason::ClaimNotWritten, detail);
                refusal.after(Duration::from_secs(1)).before_claim()
            }
            ClaimDecision::Held => {
                let detail = "a request with the same key was accepted and its outcome is unknown";
                Refusal::new(Reason::ClaimHeld, Execution::Unknown, detail)
            }
            ClaimDecision::KeyReused => {
                let detail = "the key was used for a different request";
                Refusal::not_run(Reason::KeyReused, detail)
            }
        };
        if self.open.contains_key(&ticket) {
            self.count_end(ticket, |_| refusal_outcome(&refusal), out);
            self.close(now, ticket, None);
            out.push(DispatchAction::Refuse(ticket, refusal));
        }
    }
}
