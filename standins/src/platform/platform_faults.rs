use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PlatformFaults {
    /// Every call ends without an answer.
    pub outage: bool,
    /// Delay before each call is carried out, in milliseconds.
    pub delay_ms: u64,
    /// Number of coming writes that take effect while their answer is lost.
    pub lost_answers: u32,
    /// Row reads answer the version before the newest one.
    pub stale_reads: bool,
    /// Failure domains whose calls get no answer.
    pub partitioned: Vec<String>,
}

/// Body of `POST /v1/faults`; a missing field leaves that fault as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultChange {
    /// See [`PlatformFaults::outage`].
    pub outage: Option<bool>,
    /// See [`PlatformFaults::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`PlatformFaults::lost_answers`].
    pub lost_answers: Option<u32>,
    /// See [`PlatformFaults::stale_reads`].
    pub stale_reads: Option<bool>,
    /// See [`PlatformFaults::partitioned`].
    pub partitioned: Option<Vec<String>>,
}

impl PlatformFaults {
    /// Applies the fields that the change names.
    pub fn apply(&mut self, change: FaultChange) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lost_answers = change.lost_answers.unwrap_or(self.lost_answers);
        self.stale_reads = change.stale_reads.unwrap_or(self.stale_reads);
        if let Some(partitioned) = change.partitioned {
            self.partitioned = partitioned;
        }
    }

    /// Uses up one lost answer; true when the answer of this write is lost.
    pub fn lose_answer(&mut self) -> bool {
        let lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        lost
    }
}
