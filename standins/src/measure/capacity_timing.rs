use std::time::{Duration, Instant};

/// Repeats of a timing; the shortest counts, since other programs on the
/// machine only ever add time.
const REPEATS: u32 = 5;

/// Microseconds of one of `count` calls, as the best of several repeats.
pub(super) fn time_us(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let mut best = Duration::MAX;
    for _ in 0..REPEATS {
        let started = Instant::now();
        for number in 0..count {
            call(number);
        }
        best = best.min(started.elapsed());
    }
    best.as_secs_f64() * 1e6 / f64::from(count)
}
