use std::time::Duration;

/// Time in which one return of a group is forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(30);

/// Largest number of returns that count.
const MAX_RETURNS: f64 = 4.0;

value_type! {
    /// How often a server has come back as the head of a group lately. A server that fails again
    /// and again begins lower each time.
    #[derive(Copy, Default)]
    pub struct ReturnRecord {
        count: f64,
        counted_at: Duration,
    }
}

impl ReturnRecord {
    /// Adds a return.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::pace::ReturnRecord};
    ///
    /// let mut record = ReturnRecord::default();
    /// record.add(Duration::from_secs(1));
    /// record.add(Duration::from_secs(1));
    /// assert!(record.count(Duration::from_secs(2)) > 1.9);
    /// assert!(record.count(Duration::from_secs(90)) < 0.1);
    /// ```
    pub fn add(&mut self, now: Duration) {
        self.count = (self.count(now) + 1.0).min(MAX_RETURNS);
        self.counted_at = now;
    }

    /// Returns that are not forgotten yet; one is forgotten every 30 s.
    #[must_use]
    pub fn count(&self, now: Duration) -> f64 {
        let passed = now.saturating_sub(self.counted_at);
        let forgotten = passed.as_secs_f64() / FORGET_INTERVAL.as_secs_f64();
        (self.count - forgotten).max(0.0)
    }
}
