use std::time::Duration;

/// Share of the permitted rate that is used; the rest is for loads that another
/// lease holder starts while the lease changes hands.
const USED_SHARE: f64 = 0.9;

/// Token bucket that limits the rate at which one failure domain starts loads from
/// the weight store.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl LoadBudget {
    /// Creates a budget for one of `domains` failure domains that share
    /// `loads_per_s`; `burst` loads may start at once.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::formation::LoadBudget};
    ///
    /// let mut budget = LoadBudget::new(3.0, 3, 4.0);
    /// assert!(budget.try_spend(Duration::ZERO, 4.0));
    /// assert!(!budget.try_spend(Duration::ZERO, 1.0));
    /// assert!(budget.try_spend(Duration::from_secs(2), 1.0));
    /// ```
    #[must_use]
    pub fn new(loads_per_s: f64, domains: u32, burst: f64) -> Self {
        Self {
            rate_per_s: USED_SHARE * loads_per_s / f64::from(domains.max(1)),
            burst,
            tokens: burst,
            refilled_at: Duration::ZERO,
        }
    }

    /// Takes `loads` tokens; takes none and returns false when there are too few.
    pub fn try_spend(&mut self, now: Duration, loads: f64) -> bool {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.burst);
        if self.tokens < loads {
            return false;
        }
        self.tokens -= loads;
        true
    }
}
