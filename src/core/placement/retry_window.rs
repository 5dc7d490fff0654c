use std::{collections::VecDeque, time::Duration};

/// Number of buckets into which the sliding window is divided.
const BUCKETS_PER_WINDOW: u32 = 10;

/// Share of the permitted retries that is used. The rest is a margin, because the number of other
/// gateways is not known exactly.
const USED_BUDGET_SHARE: f64 = 0.8;

/// Retry budget of a service over a sliding window: a share of this gateway's original requests
/// plus its part of a number that all gateways share.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    ratio: f64,
    extra: f64,
    bucket_length: Duration,
    /// Start, original requests and retries of each bucket, oldest first.
    buckets: VecDeque<(Duration, u32, u32)>,
}

impl RetryWindow {
    /// Creates a window of `length` in which the retries of all gateways together may reach `ratio`
    /// times their original requests plus `extra`.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::placement::RetryWindow};
    ///
    /// let mut window = RetryWindow::new(Duration::from_secs(10), 0.2, 5.0);
    /// let now = Duration::from_secs(1);
    /// for _ in 0..4 {
    ///     assert!(window.spend(now, 1));
    /// }
    /// assert!(!window.spend(now, 1));
    /// ```
    #[must_use]
    pub fn new(length: Duration, ratio: f64, extra: f64) -> Self {
        Self {
            ratio,
            extra,
            bucket_length: (length / BUCKETS_PER_WINDOW).max(Duration::from_millis(1)),
            buckets: VecDeque::new(),
        }
    }

    fn current_bucket(&mut self, now: Duration) -> &mut (Duration, u32, u32) {
        let window_length = self.bucket_length * BUCKETS_PER_WINDOW;
        while let Some((start, _, _)) = self.buckets.front().copied() {
            // A bucket ends one bucket length after its start, and is kept for a window after that.
            if now < start + window_length + self.bucket_length {
                break;
            }
            self.buckets.pop_front();
        }
        let is_new = self
            .buckets
            .back()
            .is_none_or(|bucket| now >= bucket.0 + self.bucket_length);
        if is_new {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts an original request, one that is not a retry; it adds to the budget.
    pub fn earn(&mut self, now: Duration) {
        self.current_bucket(now).1 += 1;
    }

    /// True when the budget has a retry left. `gateways` is the number of gateways that share
    /// `extra`, this one included.
    pub fn has_left(&mut self, now: Duration, gateways: u32) -> bool {
        self.current_bucket(now);
        let originals: u32 = self.buckets.iter().map(|bucket| bucket.1).sum();
        let spent: u32 = self.buckets.iter().map(|bucket| bucket.2).sum();
        let extra_share = self.extra / f64::from(gateways.max(1));
        let allowed = USED_BUDGET_SHARE * (self.ratio * f64::from(originals) + extra_share);
        f64::from(spent) + 1.0 <= allowed
    }

    /// Takes one retry from the budget, as [`Self::has_left`] counts it; false when the budget is
    /// used up.
    pub fn spend(&mut self, now: Duration, gateways: u32) -> bool {
        let has_left = self.has_left(now, gateways);
        if has_left {
            self.current_bucket(now).2 += 1;
        }
        has_left
    }
}
