use std::time::Duration;

/// Range over which processes spread the ends of their minutes. Without it, 390 processes would
/// write within one second.
const MAX_PHASE_MS: u64 = 10_000;

value_type! {
    /// Identity of the counting process, and the mapping of monotonic time to wall-clock minutes.
    #[derive(Eq)]
    pub struct LedgerSettings {
        /// Process name, unique in the deployment.
        pub process: String,
        /// Boot id: a random number chosen at each start of the process.
        pub boot: u64,
        /// Wall-clock time since the Unix epoch at monotonic time zero. Later steps of the wall
        /// clock have no effect, so that no minute is counted twice.
        pub wall_origin: Duration,
        /// Delay of the ends of minutes in this process against the wall clock.
        pub phase: Duration,
    }
}

impl LedgerSettings {
    /// Creates settings with a phase below 10 s that is derived from the boot id.
    ///
    /// ```
    /// use std::time::Duration;
    /// use toucanring::core::burn::LedgerSettings;
    ///
    /// let settings = LedgerSettings::new("gateway-1", 12_345, Duration::from_secs(1_800_000_000));
    /// assert_eq!(settings.phase, Duration::from_millis(2_345));
    /// ```
    #[must_use]
    pub fn new(process: &str, boot: u64, wall_origin: Duration) -> Self {
        Self {
            process: process.to_owned(),
            boot,
            wall_origin,
            phase: Duration::from_millis(boot % MAX_PHASE_MS),
        }
    }

    /// Returns the minute, since the Unix epoch, to which the monotonic time `now` belongs.
    #[must_use]
    pub fn minute_at(&self, now: Duration) -> u64 {
        (self.wall_origin + now)
            .saturating_sub(self.phase)
            .as_secs()
            / 60
    }

    /// Returns the monotonic time at which the minute ends, with the phase.
    #[must_use]
    pub fn end_of(&self, minute: u64) -> Duration {
        (Duration::from_secs((minute + 1) * 60) + self.phase).saturating_sub(self.wall_origin)
    }

    /// Returns the key of the object that holds the record of the minute.
    ///
    /// ```
    /// use std::time::Duration;
    /// use toucanring::core::burn::LedgerSettings;
    ///
    /// let settings = LedgerSettings::new("gateway-1", 10, Duration::ZERO);
    /// assert_eq!(settings.object_key(30_000_000), "burn/30000000/gateway-1-000000000000000a");
    /// ```
    #[must_use]
    pub fn object_key(&self, minute: u64) -> String {
        format!("burn/{minute:08}/{}-{:016x}", self.process, self.boot)
    }
}
