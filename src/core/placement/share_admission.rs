//! Shares of the accounts at placement: admission by the plan, and what the plan is made of.

use {
    super::{
        PlacementClass, PlacementDecision, PlacementRequest, PlacementScheduler, RefusalCause,
    },
    crate::core::fairness::{AccountShares, ModelTag, ShareClass},
    rand::RngExt,
    std::time::Duration,
};

/// Work in milliseconds that a request to a plain service counts as. The nodes don't know how much
/// these differ, so all count the same; reports carry whole milliseconds.
pub const PLAIN_REQUEST_WORK_MS: f64 = 100.0;

/// Part of the objective after which a request has waited long enough to show that capacity is
/// short.
const LONG_WAIT_DIVISOR: u32 = 2;

/// Part of a model's slots in use from which a request that cannot be in time counts as one without
/// room. With fewer, the request is too large or its caller has too little time.
const BUSY_SHARE: f64 = 0.5;

impl PlacementScheduler {
    /// Divides scarce capacity evenly among the accounts from now on.
    pub fn enable_account_shares(&mut self) {
        self.shares.get_or_insert_with(AccountShares::default);
    }

    /// Class under which the work of a request is counted.
    #[must_use]
    pub fn share_class(request: &PlacementRequest) -> ShareClass {
        let model = ModelTag::of(&request.service, Some(&request.model));
        ShareClass::new(model, request.priority, request.account)
    }

    /// Counts a new request as offered, and refuses it when its account has used its share of a
    /// scarce capacity.
    pub(super) fn refuse_by_share(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        if self.shares.is_none() || !is_first_attempt(request) {
            return None;
        }
        let work_ms = self.work_of(request)?;
        let draw = self.random.random();
        let class = Self::share_class(request);
        let shares = self.shares.as_mut()?;
        shares.note_name(class.model, &request.service, Some(&request.model));
        shares.count_offered(now, class, work_ms);
        let retry_after = shares.reject(now, class, draw)?;
        Some(PlacementDecision::Refuse {
            cause: RefusalCause::AccountShare,
            retry_after,
        })
    }

    /// Counts a placed request as served, and notes requests that found no room. `queued_at` is
    /// the time at which the request began to wait, if it did.
    pub(super) fn note_decision(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        decision: &PlacementDecision,
        queued_at: Option<Duration>,
    ) {
        if self.shares.is_none() {
            return;
        }
        let Some(work_ms) = self.work_of(request) else {
            return;
        };
        let class = Self::share_class(request);
        let waited = now.saturating_sub(queued_at.unwrap_or(now));
        let has_lack = match decision {
            PlacementDecision::Place(_) => {
                queued_at.is_some() && waited >= request.objective / LONG_WAIT_DIVISOR
            }
            PlacementDecision::Refuse { cause, .. } => match cause {
                RefusalCause::TooLate => queued_at.is_some() || self.is_busy(request),
                RefusalCause::QueueFull | RefusalCause::Paused | RefusalCause::Cold => true,
                RefusalCause::NoGroup | RefusalCause::Drained | RefusalCause::AccountShare => false,
            },
            PlacementDecision::Wait(_) => false,
        };
        let Some(shares) = &mut self.shares else {
            return;
        };
        if matches!(decision, PlacementDecision::Wait(_)) {
            shares.note_full(now, class.model);
        }
        if has_lack {
            shares.note_lack(now, class.model);
        }
        if matches!(decision, PlacementDecision::Place(_)) && is_first_attempt(request) {
            shares.count_served(now, class, work_ms);
        }
    }

    /// Share of the fair level that the account of a request has used.
    pub(super) fn used_share(&self, now: Duration, request: &PlacementRequest) -> u8 {
        let shares = self.shares.as_ref();
        shares.map_or(0, |shares| {
            shares.used_share(now, Self::share_class(request))
        })
    }

    /// True when at least half of the slots of the requested model are in use.
    fn is_busy(&self, request: &PlacementRequest) -> bool {
        let Some(profile) = self.profiles.get(&request.service) else {
            return false;
        };
        let mut running = 0;
        let mut slots = 0;
        for target in self.open_targets() {
            if target.model != request.model || target.service != request.service {
                continue;
            }
            running += self.load_of(target).running;
            slots += profile.slots;
        }
        slots > 0 && f64::from(running) >= BUSY_SHARE * f64::from(slots)
    }
}

/// True for a request that was not placed before. Further attempts belong to a request that is
/// accepted already.
fn is_first_attempt(request: &PlacementRequest) -> bool {
    request.avoid.is_none() && request.placement_class == PlacementClass::InTime
}
