use {
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep_until},
};

/// Time at the full rate that one caller may reserve at once. Short slices divide the rate evenly
/// between concurrent callers.
const MAX_SLICE: Duration = Duration::from_millis(20);

/// Divides a rate of units per second between concurrent callers.
#[derive(Debug)]
pub struct RateLimiter {
    units_per_s: f64,
    // Time at which all units reserved so far have passed.
    free_at: Mutex<Instant>,
}

impl RateLimiter {
    /// Creates a limiter for a positive rate.
    #[must_use]
    pub fn new(units_per_s: f64) -> Self {
        Self {
            units_per_s,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Waits until `units` have passed at the shared rate.
    pub async fn acquire(&self, units: f64) {
        let max_slice = (self.units_per_s * MAX_SLICE.as_secs_f64()).max(1.0);
        let mut units_left = units;
        while units_left > 0.0 {
            let slice = units_left.min(max_slice);
            units_left -= slice;
            let until = self.reserve(Duration::from_secs_f64(slice / self.units_per_s));
            // The timer has a resolution of 1 ms, so waits of up to 1 ms are skipped.
            if until > Instant::now() + Duration::from_millis(1) {
                sleep_until(until).await;
            }
        }
    }

    /// Reserves the limiter for this time and returns when it is over.
    fn reserve(&self, duration: Duration) -> Instant {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + duration;
        *free_at
    }
}
