use {
    super::ShareEntry,
    crate::core::burn::{RequestCount, RequestOutcome},
};

/// Sums of requests by outcome, with weights in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ShareSum {
    requests: u64,
    late: u64,
    incomplete: u64,
    refused: u64,
    weight_milli: u64,
    completed_milli: u64,
}

impl ShareSum {
    pub(super) fn add(&mut self, row: &RequestCount) {
        self.requests += row.count;
        self.weight_milli += row.weight_milli;
        match row.outcome {
            RequestOutcome::Completed => self.completed_milli += row.weight_milli,
            RequestOutcome::Late => self.late += row.count,
            RequestOutcome::Incomplete => self.incomplete += row.count,
            RequestOutcome::Refused { .. } => self.refused += row.count,
        }
    }

    pub(super) fn to_entry(self, name: &str, objective: f64) -> ShareEntry {
        ShareEntry {
            name: name.to_owned(),
            requests: self.requests,
            late: self.late,
            incomplete: self.incomplete,
            refused: self.refused,
            weight: from_milli(self.weight_milli),
            completed_weight: from_milli(self.completed_milli),
            budget_used: self.budget_used(objective),
        }
    }

    /// Weight not completed within the deadline, relative to the weight for which the objective
    /// permits that; `None` without requests.
    fn budget_used(self, objective: f64) -> Option<f64> {
        let permitted = from_milli(self.weight_milli) * (1.0 - objective);
        if permitted <= 0.0 {
            return None;
        }
        let missed = from_milli(self.weight_milli - self.completed_milli);
        // Rounds, so that equal sums print the same text on every machine.
        Some((missed / permitted * 1e6).round() / 1e6)
    }
}

/// Converts thousandths to a floating-point number.
#[expect(
    clippy::cast_precision_loss,
    reason = "sums stay far below 2^52 thousandths"
)]
pub(super) fn from_milli(milli: u64) -> f64 {
    milli as f64 / 1_000.0
}
