use std::{collections::BTreeMap, time::Duration};

/// Time after which a row that is still ignored is reported again. Another writer may renew such a
/// row several times a second.
const REPORT_INTERVAL: Duration = Duration::from_mins(1);

/// Largest number of rows that are remembered; further ones are only counted, so that at most this
/// many log lines are written in each [`REPORT_INTERVAL`].
const MAX_REPORTED_ROWS: usize = 64;

/// Decides which of the rows that cannot be used are reported in the log.
#[derive(Debug, Clone, Default)]
pub struct IgnoredRows {
    /// Time of the last report, by the name of the row.
    reported: BTreeMap<String, Duration>,
}

impl IgnoredRows {
    /// Records that a row was ignored. True when a log line is due: for a row that was not reported
    /// lately, while not too many were.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::store::IgnoredRows};
    ///
    /// let mut rows = IgnoredRows::default();
    /// assert!(rows.note(Duration::ZERO, "servers/i-1"));
    /// assert!(!rows.note(Duration::from_secs(1), "servers/i-1"));
    /// assert!(rows.note(Duration::from_secs(61), "servers/i-1"));
    /// ```
    pub fn note(&mut self, now: Duration, name: &str) -> bool {
        let is_recent = |at: &Duration| now < *at + REPORT_INTERVAL;
        if self.reported.get(name).is_some_and(is_recent) {
            return false;
        }
        if self.reported.len() >= MAX_REPORTED_ROWS {
            self.reported.retain(|_, at| is_recent(at));
        }
        if self.reported.len() >= MAX_REPORTED_ROWS {
            return false;
        }
        self.reported.insert(name.to_owned(), now);
        true
    }
}
