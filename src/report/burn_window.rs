/// Period that ends with the last minute of the report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BurnWindow {
    /// Label, such as `1h`.
    pub label: &'static str,
    /// Length in minutes.
    pub minutes: u64,
}

/// The windows of the report, shortest first.
pub const WINDOWS: [BurnWindow; 4] = [
    BurnWindow {
        label: "5m",
        minutes: 5,
    },
    BurnWindow {
        label: "1h",
        minutes: 60,
    },
    BurnWindow {
        label: "6h",
        minutes: 360,
    },
    BurnWindow {
        label: "3d",
        minutes: 4_320,
    },
];

impl BurnWindow {
    /// True when the minute lies in the window that ends with `until`.
    ///
    /// ```
    /// use toucanring::report::WINDOWS;
    ///
    /// assert!(WINDOWS[0].covers(100, 100));
    /// assert!(WINDOWS[0].covers(96, 100));
    /// assert!(!WINDOWS[0].covers(95, 100));
    /// assert!(!WINDOWS[0].covers(101, 100));
    /// ```
    #[must_use]
    pub const fn covers(&self, minute: u64, until: u64) -> bool {
        minute <= until && until - minute < self.minutes
    }
}
