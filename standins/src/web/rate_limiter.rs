use {
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Longest slice of the rate that one caller takes at once; short slices
/// divide the rate evenly between concurrent callers.
const SLICE: Duration = Duration::from_millis(20);

/// Shares a rate of units per second between all callers.
#[derive(Debug)]
pub struct RateLimiter {
    per_s: f64,
    free_at: Mutex<Instant>,
}

impl RateLimiter {
    /// Creates a limiter for `per_s` units per second.
    #[must_use]
    pub fn new(per_s: f64) -> Self {
        Self {
            per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Returns when `units` have passed at the shared rate.
    pub async fn take(&self, units: f64) {
        let slice_units = (self.per_s * SLICE.as_secs_f64()).max(1.0);
        let mut left = units;
        while left > 0.0 {
            let part = left.min(slice_units);
            left -= part;
            let until = self.reserve(Duration::from_secs_f64(part / self.per_s));
            // The timer has a resolution of 1 ms, so shorter waits are skipped.
            if until > Instant::now() + Duration::from_millis(1) {
                sleep_until(until).await;
            }
        }
    }

    fn reserve(&self, span: Duration) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + span;
        *free_at
    }
}
