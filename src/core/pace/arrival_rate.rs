use std::time::Duration;

/// Shortest time in seconds over which a rate is computed.
const MIN_OBSERVED_S: f64 = 1.0;

value_type! {
    /// Rate at which requests for a model arrive at this node, refused ones included.
    #[derive(Copy)]
    pub struct ArrivalRate {
        /// Time over which arrivals are averaged, in seconds.
        window_s: f64,
        started: Duration,
        updated: Duration,
        count: f64,
    }
}

impl ArrivalRate {
    /// Starts to observe at `now`, with averages over about `window`.
    #[must_use]
    pub const fn new(now: Duration, window: Duration) -> Self {
        Self {
            window_s: window.as_secs_f64(),
            started: now,
            updated: now,
            count: 0.0,
        }
    }

    /// Adds an arrival.
    pub fn add(&mut self, now: Duration) {
        self.count = self.decayed(now) + 1.0;
        self.updated = now;
    }

    /// Arrivals per second.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::pace::ArrivalRate};
    ///
    /// let mut rate = ArrivalRate::new(Duration::ZERO, Duration::from_secs(5));
    /// for second in 1..60 {
    ///     rate.add(Duration::from_secs(second));
    /// }
    /// assert!((rate.per_s(Duration::from_secs(60)) - 1.0).abs() < 0.1);
    /// ```
    #[must_use]
    pub fn per_s(&self, now: Duration) -> f64 {
        let observed = now.saturating_sub(self.started).as_secs_f64();
        let observed = observed.max(MIN_OBSERVED_S);
        let weight = self.window_s * (1.0 - (-observed / self.window_s).exp());
        self.decayed(now) / weight
    }

    fn decayed(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.count * (-passed / self.window_s).exp()
    }
}
