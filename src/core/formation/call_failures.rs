use std::time::Duration;

/// Consecutive failed calls after which a server can count as lost.
const MIN_FAILURES: u32 = 2;

/// Time without an answer after which a server that accepts connections counts as lost. A sound
/// server may pause for about a second.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);

value_type! {
    /// Calls to a server that failed since its last answer.
    #[derive(Copy, Default)]
    pub struct CallFailures {
        count: u32,
        /// Time of the first one.
        since: Duration,
        lost: bool,
    }
}

impl CallFailures {
    /// True when a call has failed since the last answer.
    #[must_use]
    pub const fn any(&self) -> bool {
        self.count > 0
    }

    /// True when the server is lost: it accepts no connections, or has sent nothing for 1.3 s.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::formation::CallFailures};
    ///
    /// let mut failures = CallFailures::default();
    /// failures.record_silence(Duration::from_millis(200));
    /// failures.record_silence(Duration::from_millis(400));
    /// assert!(!failures.show_loss());
    /// failures.record_unreachable(Duration::from_millis(600));
    /// assert!(failures.show_loss());
    /// ```
    #[must_use]
    pub const fn show_loss(&self) -> bool {
        self.lost
    }

    /// Counts a call for which no connection could be opened.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.count_failure(now);
        self.lost |= self.count >= MIN_FAILURES;
    }

    /// Counts a call that got no answer.
    pub fn record_silence(&mut self, now: Duration) {
        self.count_failure(now);
        let is_over = now.saturating_sub(self.since) >= SILENCE_LIMIT;
        self.lost |= self.count >= MIN_FAILURES && is_over;
    }

    /// Forgets the failures after an answer.
    pub const fn reset(&mut self) {
        self.count = 0;
        self.lost = false;
    }

    fn count_failure(&mut self, now: Duration) {
        if self.count == 0 {
            self.since = now;
        }
        self.count += 1;
    }
}
