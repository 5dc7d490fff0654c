use std::time::Duration;

/// Longest time for which a server can say that it stays cold; longer ones count as this. Such a time
/// is more likely a fault of the server.
pub const MAX_COLD: Duration = Duration::from_hours(1);

value_type! {
    /// How a service's servers behave while they are cold, as configured by the operator.
    #[derive(Copy, Default)]
    pub struct ColdRule {
        /// Time for which a server is cold after its start.
        pub start: Duration,
        /// Requests per second that a cold server tolerates; 0 means no limit.
        pub per_s: f64,
    }

    /// Requests that a cold server may get in any second, relative to the rate that it tolerates.
    #[derive(Copy)]
    pub struct ColdBound {
        /// Factor on the tolerated rate.
        pub overage: f64,
        /// Requests permitted in addition.
        pub tolerance: f64,
    }
}

impl Default for ColdBound {
    fn default() -> Self {
        Self {
            overage: 1.0,
            tolerance: 0.0,
        }
    }
}

impl ColdBound {
    /// Requests that a cold server may get in any second when it tolerates `per_s` per second.
    ///
    /// ```
    /// use toucanring::core::cold::ColdBound;
    ///
    /// let bound = ColdBound { overage: 1.5, tolerance: 5.0 };
    /// assert!((bound.max_in_second(14.0) - 26.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn max_in_second(&self, per_s: f64) -> f64 {
        per_s * self.overage + self.tolerance
    }
}
