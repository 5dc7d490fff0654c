use std::time::Duration;

/// Share of the permitted rate that is used; the rest is for loads that other
/// holders of a lease start during a hand-over.
const USED_SHARE: f64 = 0.9;

/// Bounds the loads that one failure domain starts from the weight store.
#[derive(Debug, Clone)]
pub struct LoadBudget {
    rate_per_s: f64,
    burst: f64,
    saved: f64,
    at: Duration,
}

impl LoadBudget {
    /// Creates a budget for one of `domains` failure domains that share
    /// `loads_per_s`; `burst` loads may start at once.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::formation::LoadBudget};
    ///
    /// let mut budget = LoadBudget::new(3.0, 3, 4.0);
    /// assert!(budget.spend(Duration::ZERO, 4.0));
    /// assert!(!budget.spend(Duration::ZERO, 1.0));
    /// assert!(budget.spend(Duration::from_secs(2), 1.0));
    /// ```
    #[must_use]
    pub fn new(loads_per_s: f64, domains: u32, burst: f64) -> Self {
        Self {
            rate_per_s: USED_SHARE * loads_per_s / f64::from(domains.max(1)),
            burst,
            saved: burst,
            at: Duration::ZERO,
        }
    }

    /// Takes `loads` starts; false when they would exceed the rate.
    pub fn spend(&mut self, now: Duration, loads: f64) -> bool {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.saved = (self.saved + elapsed * self.rate_per_s).min(self.burst);
        if self.saved < loads {
            return false;
        }
        self.saved -= loads;
        true
    }
}
