use {
    crate::wire::LoadReport,
    std::{collections::VecDeque, time::Duration},
};

/// Age that a report may already have when it arrives. Work sent within this
/// time before the arrival is counted in addition to the report.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Age after which the prompt of a request that was sent counts as prefilled
/// on a group that does not report.
const PREFILL_BOUND: Duration = Duration::from_secs(5);

/// Prefill rate assumed before the first report, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 4_000.0;

/// Batch size assumed before the first report.
const DEFAULT_MAX_RUNNING: u32 = 8;

/// Most starts and ends kept for a group that does not report.
const MOST_UNREPORTED: usize = 1_024;

/// Share of the newest sample in running means.
const SAMPLE_SHARE: f64 = 0.1;

/// Time in a batch assumed before the first request has ended, in seconds.
const DEFAULT_HOLD_S: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct SentWork {
    at: Duration,
    tokens: f64,
}

/// Load of a replica group: the lagging report and the own work since then.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    report: LoadReport,
    reported_at: Option<Duration>,
    sent: VecDeque<SentWork>,
    /// Sum over `sent`, since a choice of group looks at every estimate.
    sent_tokens: f64,
    ended: VecDeque<Duration>,
    own_running: u32,
    hold_s: f64,
    bias: f64,
}

impl Default for LoadEstimate {
    fn default() -> Self {
        Self {
            report: LoadReport::default(),
            reported_at: None,
            sent: VecDeque::new(),
            sent_tokens: 0.0,
            ended: VecDeque::new(),
            own_running: 0,
            hold_s: DEFAULT_HOLD_S,
            bias: 1.0,
        }
    }
}

impl LoadEstimate {
    /// Takes a report that arrived at `now`.
    pub fn take_report(&mut self, now: Duration, report: LoadReport) {
        self.report = report;
        self.reported_at = Some(now);
        self.forget_before(now.saturating_sub(REPORT_LAG));
    }

    /// Forgets starts and ends that the report, or their age, makes obsolete.
    fn forget_before(&mut self, counted_until: Duration) {
        while let Some(work) = self.sent.front().copied() {
            if work.at >= counted_until {
                break;
            }
            self.drop_oldest();
        }
        if self.sent.is_empty() {
            // Rounding errors of the running sum end here.
            self.sent_tokens = 0.0;
        }
        while self.ended.front().is_some_and(|at| *at < counted_until) {
            self.ended.pop_front();
        }
    }

    /// Notes a request sent with `tokens` prompt tokens to prefill.
    pub fn note_sent(&mut self, now: Duration, tokens: f64) {
        self.forget_before(now.saturating_sub(PREFILL_BOUND));
        self.own_running += 1;
        self.sent.push_back(SentWork { at: now, tokens });
        self.sent_tokens += tokens;
        if self.sent.len() > MOST_UNREPORTED {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(work) = self.sent.pop_front() {
            self.sent_tokens -= work.tokens;
        }
    }

    /// Notes that an own request ended after `held`; `None` when it failed.
    pub fn note_ended(&mut self, now: Duration, held: Option<Duration>) {
        self.own_running = self.own_running.saturating_sub(1);
        self.ended.push_back(now);
        if self.ended.len() > MOST_UNREPORTED {
            self.ended.pop_front();
        }
        let Some(held) = held else {
            return;
        };
        self.hold_s += SAMPLE_SHARE * (held.as_secs_f64() - self.hold_s);
    }

    /// Compares a first token with its prediction, so that a group that is
    /// slower than it reports gets less.
    pub fn note_first_token(&mut self, predicted_s: f64, seen_s: f64) {
        let ratio = (seen_s / predicted_s.max(0.02)).clamp(0.25, 8.0);
        self.bias += SAMPLE_SHARE * (ratio - self.bias);
    }

    /// Own requests that run on the group.
    #[must_use]
    pub const fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Requests in the batch or waiting for it.
    #[must_use]
    pub fn occupancy(&self) -> u32 {
        let reported = self.report.running + self.report.waiting;
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let ended = u32::try_from(self.ended.len()).unwrap_or(u32::MAX);
        let known = reported.saturating_add(sent).saturating_sub(ended);
        known.max(self.own_running)
    }

    /// Requests that the engine runs at once.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        if self.report.max_running == 0 {
            return DEFAULT_MAX_RUNNING;
        }
        self.report.max_running
    }

    /// True when a further request would start without waiting.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.occupancy() < self.capacity()
    }

    /// Mean time between two requests that leave the batch, in seconds.
    #[must_use]
    pub fn release_interval_s(&self) -> f64 {
        self.hold_s / f64::from(self.capacity())
    }

    /// Time of a decode step in milliseconds; 0 before the first report.
    #[must_use]
    pub const fn step_ms(&self) -> f64 {
        self.report.step_ms
    }

    /// Predicted seconds to the first token of a request with `tokens` prompt
    /// tokens that are not cached.
    #[must_use]
    pub fn first_token_s(&self, tokens: f64) -> f64 {
        let rate = if self.report.prefill_tokens_per_s > 0.0 {
            self.report.prefill_tokens_per_s
        } else {
            DEFAULT_PREFILL_RATE
        };
        #[allow(clippy::cast_precision_loss)]
        let backlog = self.report.queued_tokens as f64 + self.sent_tokens;
        let free = self.capacity().saturating_sub(1);
        let ahead = self.occupancy().saturating_sub(free);
        let slot_s = f64::from(ahead) * self.release_interval_s();
        let prefill_s = (backlog + tokens) / rate;
        (slot_s + prefill_s + self.report.step_ms / 1_000.0) * self.bias.max(1.0)
    }
}
