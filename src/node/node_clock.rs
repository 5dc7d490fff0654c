use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Time since the start of the machine, including the time that it was suspended: a lease also runs
/// out while its holder is suspended.
#[must_use]
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
