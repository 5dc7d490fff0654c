//! Requests while the heads of groups are cold. Load pattern: a failure domain comes back from an
//! outage with all servers cold, and more requests arrive than they tolerate. Requests that are held
//! back until they are late get nothing for the wait.

use {
    super::{
        GroupLoad, GroupTarget, PlacementClass, PlacementDecision, PlacementRequest,
        PlacementScheduler, RefusalCause, placement_scheduler::OBJECTIVE_MARGIN,
        request_refusal::RETRY_AFTER_BOUNDS, return_delay,
    },
    crate::core::cold::ColdPermit,
    rand::RngExt,
    std::time::Duration,
};

/// What the cold groups offer to a request, when no other group could take it.
struct ColdOffer {
    /// Earliest time at which one of them may get a request of this gateway.
    first: Duration,
    /// Permits of this gateway that come soon enough for the request.
    permits: u32,
}

impl PlacementScheduler {
    /// Refusal of a request for which no cold group can be used soon enough; none when it can wait,
    /// or when a group could take it that is not cold or for which there is a permit.
    pub(super) fn cold_refusal(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        let offer = self.cold_offer(now, request)?;
        if offer.permits > 0 {
            return None;
        }
        Some(self.refuse_cold(now, offer.first))
    }

    /// Refusal of a new request that would only wait: the requests that wait already take all
    /// permits that come soon enough for it.
    pub(super) fn refuse_beyond_permits(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        let offer = self.cold_offer(now, request)?;
        let before = self.wait_queue.count_before(request);
        let permits = usize::try_from(offer.permits).unwrap_or(usize::MAX);
        if before < permits {
            return None;
        }
        Some(self.refuse_cold(now, deadline(request)))
    }

    fn refuse_cold(&mut self, now: Duration, until: Duration) -> PlacementDecision {
        PlacementDecision::Refuse {
            cause: RefusalCause::Cold,
            retry_after: cold_return_delay(now, until, self.random.random()),
        }
    }

    /// Time at which a request that waits for cold groups alone may be placed; none for others.
    #[must_use]
    pub fn permit_wait(&self, now: Duration, request: &PlacementRequest) -> Option<Duration> {
        let offer = self.cold_offer(now, request)?;
        Some(offer.first.saturating_sub(now))
    }

    /// None when there is no group, or one that is not cold or for which there is a permit.
    fn cold_offer(&self, now: Duration, request: &PlacementRequest) -> Option<ColdOffer> {
        let profile = self.profiles.get(&request.service)?;
        let model = profile.model(&request.model)?;
        let tokens = f64::from(request.prompt_tokens);
        let mut offer: Option<ColdOffer> = None;
        for target in self
            .targets
            .values()
            .filter(|one| may_take(one, now, request) && !self.is_drained(one))
        {
            let ColdPermit::At(at) = self.cold.permit(now, &target.head) else {
                return None;
            };
            let idle = target.predict_first_event(profile, model, &GroupLoad::IDLE, tokens);
            let needed = match request.placement_class {
                PlacementClass::InTime => idle + OBJECTIVE_MARGIN,
                PlacementClass::Late | PlacementClass::Resumed => Duration::ZERO,
            };
            let end = deadline(request).saturating_sub(needed);
            let permits = self.cold.limiter().permits_until(now, &target.head, end);
            let known = offer.get_or_insert(ColdOffer {
                first: at,
                permits: 0,
            });
            known.first = known.first.min(at);
            known.permits = known.permits.saturating_add(permits);
        }
        offer
    }

    /// Time of the next permit for which a queued request may wait; none when none does. The queue is
    /// to be looked at then.
    #[must_use]
    pub fn next_permit(&self, now: Duration) -> Option<Duration> {
        let mut next: Option<Duration> = None;
        if self.wait_queue.is_empty() {
            return next;
        }
        for target in self.targets.values().filter(|target| target.open) {
            let ColdPermit::At(at) = self.cold.permit(now, &target.head) else {
                continue;
            };
            let mut waiting = self.wait_queue.requests();
            if next.is_none_or(|known| at < known)
                && waiting.any(|request| may_take(target, now, request))
            {
                next = Some(at);
            }
        }
        next
    }
}

/// Time after which a caller is told to return when this gateway may send to the first cold server at
/// `until`. `draw` is a random number from 0 to 1. The bounds are on the wait alone, so that the times
/// stay spread.
///
/// ```
/// use {std::time::Duration, toucanring::core::placement::cold_return_delay};
///
/// let (now, until) = (Duration::from_secs(10), Duration::from_secs(40));
/// assert_eq!(cold_return_delay(now, until, 0.0), Duration::from_millis(1_500));
/// assert!(cold_return_delay(now, until, 0.9) > Duration::from_millis(1_500));
/// ```
#[must_use]
pub fn cold_return_delay(now: Duration, until: Duration, draw: f64) -> Duration {
    let (least, most) = RETRY_AFTER_BOUNDS;
    let wait = until.saturating_sub(now).clamp(least, most);
    return_delay(now, now + wait, draw)
}

/// Latest time at which the request is of use: of its first event while it can be in time, otherwise
/// of its start.
fn deadline(request: &PlacementRequest) -> Duration {
    match request.placement_class {
        PlacementClass::InTime => request.in_time_until,
        PlacementClass::Late | PlacementClass::Resumed => {
            request.wait_until.min(request.give_up_at)
        }
    }
}

/// True when the group could get the request if its head were not cold.
fn may_take(target: &GroupTarget, now: Duration, request: &PlacementRequest) -> bool {
    target.open
        && target.model == request.model
        && target.service == request.service
        && now >= target.paused_until
        && request.may_run_at(&target.head)
        && !target.is_one(request.avoid.as_ref())
}
