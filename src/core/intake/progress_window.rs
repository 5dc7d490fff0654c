use std::time::Duration;

/// Length of a half of the window.
const HALF: Duration = Duration::from_millis(500);

/// Counts the bytes that arrived in the last 0.5 to 1 s.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProgressWindow {
    /// Start of the current half.
    started: Duration,
    current: usize,
    previous: usize,
}

impl ProgressWindow {
    /// Creates an empty window.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::intake::ProgressWindow};
    ///
    /// let mut window = ProgressWindow::new(Duration::ZERO);
    /// window.add(Duration::ZERO, 100);
    /// assert_eq!(window.recent(Duration::from_millis(600)), 100);
    /// assert_eq!(window.recent(Duration::from_millis(1_000)), 0);
    /// ```
    #[must_use]
    pub const fn new(now: Duration) -> Self {
        Self {
            started: now,
            current: 0,
            previous: 0,
        }
    }

    /// Counts bytes that have arrived.
    pub fn add(&mut self, now: Duration, bytes: usize) {
        let passed = now.saturating_sub(self.started);
        if passed >= HALF * 2 {
            *self = Self::new(now);
        } else if passed >= HALF {
            self.previous = self.current;
            self.current = 0;
            self.started += HALF;
        }
        self.current = self.current.saturating_add(bytes);
    }

    /// Bytes of the window.
    #[must_use]
    pub fn recent(&self, now: Duration) -> usize {
        match now.saturating_sub(self.started) {
            passed if passed < HALF => self.current.saturating_add(self.previous),
            passed if passed < HALF * 2 => self.current,
            _ => 0,
        }
    }
}
