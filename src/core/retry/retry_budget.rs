/// Retries allowed for each fresh request; a higher share lets retries feed an overload.
const SHARE_OF_FRESH: f64 = 0.1;

/// Most retries saved up. The loss of one group breaks up to its whole batch
/// at once, and all of these requests may be retried.
const MOST_SAVED: f64 = 128.0;

/// Bounds retries to a share of fresh traffic.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: MOST_SAVED }
    }
}

impl RetryBudget {
    /// Counts a fresh request.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE_OF_FRESH).min(MOST_SAVED);
    }

    /// Takes one retry; false when the budget is used up.
    ///
    /// ```
    /// let mut budget = toucanring::core::retry::RetryBudget::default();
    /// assert!(budget.spend());
    /// ```
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
