use serde::{Deserialize, Serialize};

/// Faults in force; none at first. Response of `GET` and `POST /v1/faults`, to which no fault
/// applies, nor to `POST /v1/instances`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct PlatformFaults {
    /// Breaks the connection of every call, after `delay_ms` and without effect.
    pub outage: bool,
    /// Delay before each call is carried out, in milliseconds; 0 for none.
    pub delay_ms: u64,
    /// Number of coming writes whose response is lost; the writes take effect, as far as their
    /// conditions hold.
    pub lost_answers: u32,
    /// Row reads return the state before the last write of each row.
    pub stale_reads: bool,
    /// Failure domains, by their `Failure-Domain` header, whose calls hang for a minute and fail.
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
    /// Replaces the faults that the change sets.
    pub fn apply(&mut self, change: FaultChange) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.delay_ms = change.delay_ms.unwrap_or(self.delay_ms);
        self.lost_answers = change.lost_answers.unwrap_or(self.lost_answers);
        self.stale_reads = change.stale_reads.unwrap_or(self.stale_reads);
        if let Some(partitioned) = change.partitioned {
            self.partitioned = partitioned;
        }
    }

    /// Decrements `lost_answers`; true when the response to this write is to be lost.
    pub fn consume_lost_answer(&mut self) -> bool {
        let lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        lost
    }
}
