use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
    toucanring::wire::InstanceRow,
};

/// Instance list whose changes become visible after a lag.
#[derive(Debug)]
pub struct InstanceHistory {
    lag: Duration,
    visible: Vec<InstanceRow>,
    pending: VecDeque<(Instant, Vec<InstanceRow>)>,
}

impl InstanceHistory {
    /// Creates a history whose first list is visible at once; `lag` applies to later changes.
    #[must_use]
    pub const fn new(rows: Vec<InstanceRow>, lag: Duration) -> Self {
        Self {
            lag,
            visible: rows,
            pending: VecDeque::new(),
        }
    }

    /// Replaces the list; the new one becomes visible after the lag.
    pub fn replace(&mut self, now: Instant, rows: Vec<InstanceRow>) {
        self.pending.push_back((now + self.lag, rows));
    }

    /// Sets the lag of later changes; pending ones keep theirs.
    pub const fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the list that callers see at this time.
    pub fn visible(&mut self, now: Instant) -> &[InstanceRow] {
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, rows)) = self.pending.pop_front() {
                self.visible = rows;
            }
        }
        &self.visible
    }
}
