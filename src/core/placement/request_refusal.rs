//! Refusals of requests, also while servers pause. Load pattern: a server that has too much to do
//! rejects requests and asks for a pause. Requests that are held back until its end would all reach
//! it at once, and so would callers that are told the same time.

use {
    super::{
        GroupTarget, PlacementClass, PlacementDecision, PlacementRequest, PlacementScheduler,
        RefusalCause,
    },
    crate::core::{drain::DomainDrains, fleet::FleetView},
    rand::RngExt,
    std::time::Duration,
};

/// Shortest and longest time after which a refused caller is told to retry.
pub(super) const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(1_500));

/// Largest random addition to the time after which callers are told to return, so that those that
/// were refused during one pause don't return in the same moment.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// Time after which a caller is told to return when the first server takes requests again at
/// `until`. `draw` is a random number from 0 to 1.
///
/// ```
/// use {std::time::Duration, toucanring::core::placement::return_delay};
///
/// let (now, until) = (Duration::from_secs(10), Duration::from_secs(12));
/// assert_eq!(return_delay(now, until, 0.0), Duration::from_secs(2));
/// assert!(return_delay(now, until, 0.9) > Duration::from_secs(2));
/// ```
#[must_use]
pub fn return_delay(now: Duration, until: Duration, draw: f64) -> Duration {
    until.saturating_sub(now) + RETURN_SPREAD.mul_f64(draw.clamp(0.0, 1.0))
}

/// Time after which a caller is told to return while all servers that could run its request are in
/// drained failure domains. The end of a drain is not known in advance. `draw` is a random number from 0 to 1.
#[must_use]
pub fn drained_delay(draw: f64) -> Duration {
    return_delay(Duration::ZERO, RETRY_AFTER_BOUNDS.1, draw)
}

/// The server that a rejection shows to have failed, if any. `culprit` is the one that the rejection
/// of `server` names. A server that names itself and asks for a pause has too much to do, but has
/// not failed.
///
/// ```
/// use toucanring::core::placement::failed_server;
///
/// let culprit = Some("i-1".to_owned());
/// assert_eq!(failed_server("i-1", culprit.clone(), true), None);
/// assert_eq!(failed_server("i-1", culprit.clone(), false), culprit);
/// assert_eq!(failed_server("i-0", culprit.clone(), true), culprit);
/// ```
#[must_use]
pub fn failed_server(server: &str, culprit: Option<String>, is_paused: bool) -> Option<String> {
    culprit.filter(|culprit| !is_paused || culprit != server)
}

/// Refuses a request for any cause but a pause; the caller is told to return within a quarter of
/// the time that it has left.
pub(super) fn refuse(
    now: Duration,
    request: &PlacementRequest,
    cause: RefusalCause,
) -> PlacementDecision {
    let left = request.give_up_at.saturating_sub(now) / 4;
    let bounds = RETRY_AFTER_BOUNDS;
    PlacementDecision::Refuse {
        cause,
        retry_after: left.clamp(bounds.0, bounds.1),
    }
}

impl PlacementScheduler {
    /// Takes over the pauses that the heads of the groups asked for.
    pub fn apply_pauses(&mut self, fleet: &FleetView) {
        for target in self.targets.values_mut() {
            target.paused_until = fleet.paused_until(&target.head, target.head_born_ms);
        }
    }

    /// Takes over which failure domains are drained. Their groups get no new requests; those that
    /// run there go on.
    pub fn apply_drains(&mut self, drains: &DomainDrains) {
        self.drained_domains = drains.drained().map(ToOwned::to_owned).collect();
    }

    /// True when the failure domain of a group is drained.
    pub(super) fn is_drained(&self, target: &GroupTarget) -> bool {
        self.drained_domains.contains(&target.failure_domain)
    }

    /// True when a model has open groups, and all of them are in drained failure domains.
    fn is_fully_drained(&self, (service, model): (&str, &str)) -> bool {
        if self.drained_domains.is_empty() {
            return false;
        }
        let fits = |target: &&GroupTarget| target.service == service && target.model == model;
        let mut groups = self.open_targets().filter(fits).peekable();
        groups.peek().is_some() && groups.all(|target| self.is_drained(target))
    }

    /// Time at which the first group of a model takes requests again; none without an open group,
    /// or when one of them is not paused. The group `avoided`, with its epoch, counts only if there
    /// is no other.
    #[must_use]
    pub fn paused_until(
        &self,
        now: Duration,
        (service, model): (&str, &str),
        avoided: Option<&(String, u64)>,
    ) -> Option<Duration> {
        let fits = |target: &&GroupTarget| target.service == service && target.model == model;
        let fits = |target: &&GroupTarget| fits(target) && !self.is_drained(target);
        let has_other = self
            .open_targets()
            .filter(fits)
            .any(|target| !target.is_one(avoided));
        let mut first: Option<Duration> = None;
        for target in self.open_targets().filter(fits) {
            if has_other && target.is_one(avoided) {
                continue;
            }
            if now >= target.paused_until {
                return None;
            }
            first = Some(first.map_or(target.paused_until, |at| at.min(target.paused_until)));
        }
        first
    }

    /// Refusal of a request that cannot be placed now; none when it can wait. While all groups
    /// pause, requests are refused at once. Only a resumed stream waits, if the pause is short
    /// enough: its caller cannot be told to return without breaking the stream off.
    pub(super) fn refusal(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<PlacementDecision> {
        let group = (request.service.as_str(), request.model.as_str());
        if self.is_fully_drained(group) {
            return Some(PlacementDecision::Refuse {
                cause: RefusalCause::Drained,
                retry_after: drained_delay(self.random.random()),
            });
        }
        if let Some(until) = self.paused_until(now, group, request.avoid.as_ref()) {
            let is_resumed = request.placement_class == PlacementClass::Resumed;
            if is_resumed && until < request.wait_until {
                return None;
            }
            return Some(PlacementDecision::Refuse {
                cause: RefusalCause::Paused,
                retry_after: return_delay(now, until, self.random.random()),
            });
        }
        if let Some(refusal) = self.cold_refusal(now, request) {
            return Some(refusal);
        }
        let cause = self.refusal_cause(now, request)?;
        Some(refuse(now, request, cause))
    }
}
