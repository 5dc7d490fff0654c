/// Retries added to the budget by each new request; with a higher share, retries add to an
/// overload.
const RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum balance, in retries. The loss of a group interrupts up to its whole batch at once, and
/// all of these requests may be retried.
const MAX_BALANCE: f64 = 128.0;

/// Limits retries to a share of the new requests. Starts with the maximum balance.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE,
        }
    }
}

impl RetryBudget {
    /// Adds the share of one new request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; false if less than one is left.
    ///
    /// ```
    /// let mut budget = toucanring::core::retry::RetryBudget::default();
    /// assert!(budget.try_withdraw());
    /// ```
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
