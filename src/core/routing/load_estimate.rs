use {
    crate::wire::LoadReport,
    std::{collections::VecDeque, time::Duration},
};

/// Maximum age of a report on arrival. Work sent within this time before the arrival may be missing
/// from the report and is counted in addition to it.
const REPORT_LAG: Duration = Duration::from_millis(300);

/// Time after which the prompt of a sent request is assumed to be prefilled, for groups that do not
/// report.
const ASSUMED_PREFILL_TIME: Duration = Duration::from_secs(5);

/// Prefill rate assumed before the first report, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 4_000.0;

/// Maximum batch size, in requests, assumed before the first report.
const DEFAULT_MAX_RUNNING: u32 = 8;

/// Maximum number of starts, and of ends, kept for a group that does not report.
const MAX_UNREPORTED: usize = 1_024;

/// Weight of the newest sample in the exponential moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Run time of a request, in seconds, assumed before the first one has completed.
const DEFAULT_RUN_TIME_S: f64 = 3.0;

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    sent_at: Duration,
    tokens: f64,
}

/// Load of a replica group: its last report, which lags, plus the requests that this gateway has
/// sent and finished since.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    report: LoadReport,
    reported_at: Option<Duration>,
    sent: VecDeque<SentRequest>,
    /// Sum of the tokens in `sent`; kept up to date because each selection reads the estimate of
    /// every candidate group.
    sent_tokens: f64,
    ended: VecDeque<Duration>,
    own_running: u32,
    /// Moving average of the run time of this gateway's completed requests.
    mean_run_time_s: f64,
    /// Moving average of observed divided by predicted time to the first token.
    slowdown: f64,
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
            mean_run_time_s: DEFAULT_RUN_TIME_S,
            slowdown: 1.0,
        }
    }
}

impl LoadEstimate {
    /// Replaces the last report by one that arrived at `now`, and forgets the requests that it
    /// already counts.
    pub fn apply_report(&mut self, now: Duration, report: LoadReport) {
        self.report = report;
        self.reported_at = Some(now);
        self.forget_before(now.saturating_sub(REPORT_LAG));
    }

    /// Forgets starts and ends before `counted_until`: the report counts them, or they are too old
    /// to matter.
    fn forget_before(&mut self, counted_until: Duration) {
        while let Some(request) = self.sent.front().copied() {
            if request.sent_at >= counted_until {
                break;
            }
            self.drop_oldest();
        }
        if self.sent.is_empty() {
            // Clears the rounding error that the running sum has accumulated.
            self.sent_tokens = 0.0;
        }
        while self.ended.front().is_some_and(|at| *at < counted_until) {
            self.ended.pop_front();
        }
    }

    /// Records a request sent with `tokens` prompt tokens to prefill.
    pub fn record_sent(&mut self, now: Duration, tokens: f64) {
        self.forget_before(now.saturating_sub(ASSUMED_PREFILL_TIME));
        self.own_running += 1;
        self.sent.push_back(SentRequest {
            sent_at: now,
            tokens,
        });
        self.sent_tokens += tokens;
        if self.sent.len() > MAX_UNREPORTED {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(request) = self.sent.pop_front() {
            self.sent_tokens -= request.tokens;
        }
    }

    /// Records the end of a request of this gateway that ran for `run_time`; `None` if it did not
    /// complete.
    pub fn record_ended(&mut self, now: Duration, run_time: Option<Duration>) {
        self.own_running = self.own_running.saturating_sub(1);
        self.ended.push_back(now);
        if self.ended.len() > MAX_UNREPORTED {
            self.ended.pop_front();
        }
        let Some(run_time) = run_time else {
            return;
        };
        self.mean_run_time_s += SAMPLE_WEIGHT * (run_time.as_secs_f64() - self.mean_run_time_s);
    }

    /// Compares the observed time to the first token with the predicted one, so that a group that
    /// is slower than it reports gets fewer requests.
    pub fn record_first_token(&mut self, predicted_s: f64, observed_s: f64) {
        let ratio = (observed_s / predicted_s.max(0.02)).clamp(0.25, 8.0);
        self.slowdown += SAMPLE_WEIGHT * (ratio - self.slowdown);
    }

    /// Requests of this gateway that run on the group.
    #[must_use]
    pub const fn own_running(&self) -> u32 {
        self.own_running
    }

    /// Estimated requests of all gateways in the batch or waiting for it; never below the requests
    /// of this gateway.
    #[must_use]
    pub fn occupancy(&self) -> u32 {
        let reported = self.report.running + self.report.waiting;
        let sent = u32::try_from(self.sent.len()).unwrap_or(u32::MAX);
        let ended = u32::try_from(self.ended.len()).unwrap_or(u32::MAX);
        let known = reported.saturating_add(sent).saturating_sub(ended);
        known.max(self.own_running)
    }

    /// Maximum number of requests in the engine's batch.
    #[must_use]
    pub const fn capacity(&self) -> u32 {
        if self.report.max_running == 0 {
            return DEFAULT_MAX_RUNNING;
        }
        self.report.max_running
    }

    /// Whether another request would start without waiting.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.occupancy() < self.capacity()
    }

    /// Expected time, in seconds, until a request leaves a full batch.
    #[must_use]
    pub fn release_interval_s(&self) -> f64 {
        self.mean_run_time_s / f64::from(self.capacity())
    }

    /// Duration of a decode step in milliseconds; 0 before the first report.
    #[must_use]
    pub const fn step_ms(&self) -> f64 {
        self.report.step_ms
    }

    /// Predicted seconds to the first token of a request with `tokens` uncached prompt tokens.
    #[must_use]
    pub fn first_token_s(&self, tokens: f64) -> f64 {
        let rate = if self.report.prefill_tokens_per_s > 0.0 {
            self.report.prefill_tokens_per_s
        } else {
            DEFAULT_PREFILL_RATE
        };
        #[allow(clippy::cast_precision_loss)]
        let backlog = self.report.queued_tokens as f64 + self.sent_tokens;
        let other_slots = self.capacity().saturating_sub(1);
        let waiting_for_slot = self.occupancy().saturating_sub(other_slots);
        let slot_s = f64::from(waiting_for_slot) * self.release_interval_s();
        let prefill_s = (backlog + tokens) / rate;
        (slot_s + prefill_s + self.report.step_ms / 1_000.0) * self.slowdown.max(1.0)
    }
}
