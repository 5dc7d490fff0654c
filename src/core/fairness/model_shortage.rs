use {
    super::{AccountTag, AdmissionPlan},
    std::time::Duration,
};

/// Time after the last request without room for which a shortage lasts. With reports that are
/// 0.3 s old, all nodes accept everything again within a second.
const SHORTAGE_HOLD: Duration = Duration::from_millis(500);

/// Time after the last request without room for which the plan is kept. Within it a request that
/// has to wait for a slot, even briefly, brings the shortage back.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(1);

/// Time after the last request without room from which on the plan opens up, step by step until the
/// shortage ends. Within it the reports of other nodes arrive.
const OPENING_DELAY: Duration = Duration::from_millis(250);

value_type! {
    /// Figures of a shortage, for its log lines.
    #[derive(Copy, Default)]
    pub struct ShortageFigures {
        /// Work offered in the last seconds at all nodes heard, in milliseconds of engine time.
        pub offered_ms: f64,
        /// Work served of it.
        pub served_ms: f64,
        /// Accounts and priorities with requests.
        pub accounts: usize,
        /// Those of them that are limited.
        pub limited: usize,
        /// Priority at which the capacity ends; none when it suffices.
        pub priority: Option<u8>,
        /// Fair level of an account there, in milliseconds of work; none when it suffices.
        pub level_ms: Option<f64>,
        /// Age of the oldest count of another node; zero without any.
        pub counts_age: Duration,
        /// Time since a request found no room, here or at a node that reported it.
        pub lack_age: Duration,
        /// Requests that this node rejected by the plan since the shortage began.
        pub rejected: u64,
    }

    /// Whether a shortage began or ended.
    #[derive(Copy, Eq)]
    pub enum ShortageState {
        /// The plan applies from now on.
        Began,
        /// All requests are accepted from now on.
        Ended,
    }

    /// A shortage that began or ended, for the log and the metrics.
    pub struct ShortageChange {
        /// Names of the service and the model; a number when only other nodes had requests.
        pub model: String,
        /// Whether it began or ended.
        pub state: ShortageState,
        /// Time since it began.
        pub lasted: Duration,
        /// Figures of the plan.
        pub figures: ShortageFigures,
    }
}

/// The shortage of one model: the latest signs of it, and the plan while it lasts.
#[derive(Debug, Clone, Default)]
pub struct ModelShortage {
    /// Time at which a request of this node last found no room.
    pub own_lack: Option<Duration>,
    /// The same for all nodes. Reports name only own requests, because the time on the way would add
    /// up if others were passed on.
    pub lack: Option<Duration>,
    /// Time at which the shortage began; none while there is none.
    pub began_at: Option<Duration>,
    /// Names of the service and the model as they were known then; the metric is set under one name.
    pub name: String,
    /// Requests that this node rejected by the plan since then.
    pub rejected: u64,
    /// The plan in force.
    pub plan: AdmissionPlan,
}

impl ModelShortage {
    /// True while requests were recently without room.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::fairness::ModelShortage};
    ///
    /// let at = Duration::from_millis;
    /// let shortage = ModelShortage { lack: Some(at(100)), ..ModelShortage::default() };
    /// assert!(shortage.is_active(at(599)));
    /// assert!(!shortage.is_active(at(600)));
    /// ```
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        self.lack.is_some_and(|lack| now < lack + SHORTAGE_HOLD)
    }

    /// True during a shortage and for a while after the last request without room. A request that has
    /// to wait in this time starts the shortage again, and the plan is still known.
    #[must_use]
    pub fn is_recent(&self, now: Duration) -> bool {
        self.lack.is_some_and(|lack| now < lack + SHORTAGE_MEMORY)
    }

    /// Part of the requests that the plan rejects which are accepted all the same, from 0 to 1. It
    /// grows while no request finds no room, since the groups have free slots then. So work rejected
    /// by the plan never lowers the capacity that the plan assumes for long.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::fairness::ModelShortage};
    ///
    /// let at = Duration::from_millis;
    /// let shortage = ModelShortage { lack: Some(at(1_000)), ..ModelShortage::default() };
    /// assert!(shortage.opening(at(1_100)) < 1e-9);
    /// assert!(shortage.opening(at(1_300)) < 0.1);
    /// assert!(shortage.opening(at(1_500)) > 0.9);
    /// ```
    #[must_use]
    pub fn opening(&self, now: Duration) -> f64 {
        let gap = now.saturating_sub(self.lack.unwrap_or_default());
        let opening = gap.saturating_sub(OPENING_DELAY).as_secs_f64();
        let part = opening / SHORTAGE_HOLD.saturating_sub(OPENING_DELAY).as_secs_f64();
        // The square keeps the first steps small, so that requests without room show a capacity
        // that is still short before all are accepted.
        part.min(1.0).powi(2)
    }

    /// Probability with which a request is accepted now, from 0 to 1.
    #[must_use]
    pub fn acceptance(&self, now: Duration, priority: u8, account: AccountTag) -> f64 {
        let planned = self.plan.acceptance(priority, account);
        let opening = self.opening(now);
        // Free slots go to the more urgent requests first.
        let is_less_urgent = planned <= 0.0;
        let opening = if is_less_urgent {
            opening.powi(3)
        } else {
            opening
        };
        planned + (1.0 - planned) * opening
    }

    /// Time until the shortage ends if no further request is without room; zero without one.
    #[must_use]
    pub fn time_left(&self, now: Duration) -> Duration {
        let end = self.lack.map(|lack| lack + SHORTAGE_HOLD);
        end.unwrap_or_default().saturating_sub(now)
    }

    /// Figures for the log.
    #[must_use]
    pub fn figures(&self, now: Duration) -> ShortageFigures {
        let total = self.plan.total();
        let (accounts, limited) = self.plan.counts();
        ShortageFigures {
            offered_ms: total.offered,
            served_ms: total.served,
            accounts,
            limited,
            priority: self.plan.level().map(|(priority, _)| priority),
            level_ms: self.plan.level().map(|(_, level)| level),
            counts_age: self.plan.counts_age,
            lack_age: now.saturating_sub(self.lack.unwrap_or(now)),
            rejected: self.rejected,
        }
    }
}
