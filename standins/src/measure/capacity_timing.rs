use std::time::{Duration, Instant};

/// Repeats of a timing. The shortest one counts, because other programs on the machine only add
/// time.
const REPEATS: u32 = 5;

/// Mean time of one call in microseconds over `count` calls, from the fastest repeat; `call` gets
/// the number of the call within its repeat.
pub(super) fn time_us(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let mut shortest = Duration::MAX;
    for _ in 0..REPEATS {
        let started = Instant::now();
        for number in 0..count {
            call(number);
        }
        shortest = shortest.min(started.elapsed());
    }
    shortest.as_secs_f64() * 1e6 / f64::from(count)
}
