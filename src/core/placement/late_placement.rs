//! Requests that miss their objective. Load pattern: after the loss of a fabric domain, or beside a
//! few large prompts, no group can send a first event in time, though half of the slots are free. A
//! caller that is refused then comes back later than a request that runs late has its answer.

use {
    super::{
        PlacementClass, PlacementDecision, PlacementRequest, PlacementScheduler, RefusalCause,
    },
    std::time::Duration,
};

impl PlacementScheduler {
    /// Decides about a request that cannot be placed in time now: none when it can wait. One that is
    /// too late for its objective is placed where requests in time leave room; otherwise it is
    /// refused.
    pub(super) fn place_late_or_refuse(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        let refusal = self.refusal(now, request)?;
        if !is_too_late(&refusal) || !may_run_late(now, request) {
            return Some(refusal);
        }
        let late = PlacementRequest {
            placement_class: PlacementClass::Late,
            ..request.clone()
        };
        let placement = self.try_place(now, &late);
        Some(placement.map_or(refusal, PlacementDecision::Place))
    }
}

fn may_run_late(now: Duration, request: &PlacementRequest) -> bool {
    request.placement_class == PlacementClass::InTime && now < request.give_up_at
}

const fn is_too_late(decision: &PlacementDecision) -> bool {
    matches!(
        decision,
        PlacementDecision::Refuse {
            cause: RefusalCause::TooLate,
            ..
        }
    )
}
