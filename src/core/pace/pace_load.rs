use std::time::Duration;

value_type! {
    /// What a node knows of the load of a group when it updates the pace.
    #[derive(Copy)]
    pub struct PaceLoad {
        /// Requests of all nodes that run at the group: own ones and those of the load reports,
        /// with an estimate for nodes whose report has expired.
        pub running: f64,
        /// Running requests by the load reports alone, relative to the mean of the other groups of
        /// the model; 1 without other requests.
        pub reported_share: f64,
        /// Of the running requests, those without a first event, estimated from their prompt tokens.
        pub waiting: f64,
        /// Size of the largest prompts relative to the mean, so that one of them is no backlog.
        pub largest_prompt: f64,
        /// Predicted time to the first event of a request of mean size.
        pub first_event: Duration,
        /// Mean time from sending a request to the end of its answer.
        pub answer_time: Duration,
        /// Requests per second that arrive at all nodes for the model of the group.
        pub demand_per_s: f64,
        /// Nodes that send requests, this one included.
        pub gateways: usize,
        /// Mean age of the load reports in use.
        pub report_age: Duration,
    }

    /// Time to the first event of one of this node's requests.
    #[derive(Copy)]
    pub struct FirstEventSample {
        /// Time at which the request was sent.
        pub sent_at: Duration,
        /// Time from sending to the first event.
        pub observed: Duration,
        /// Prediction by the engine figures, multiplied by `correction`.
        pub predicted: Duration,
        /// Factor by which earlier first events of the group differed from the engine figures.
        pub correction: f64,
    }
}

/// Ratio of observed to predicted time from which on a first event is late. Requests of one pass
/// differ by up to half of the prediction.
const LATE_RATIO: f64 = 1.6;

/// The same without the correction, which would otherwise hide lateness that lasts.
const UNCORRECTED_LATE_RATIO: f64 = 2.5;

/// Time beyond the prediction that is never late, for the network and the node's own delays.
const LATE_MARGIN: Duration = Duration::from_millis(30);

/// Factor on the expected share of waiting requests above which a group is backed up.
const BACKED_UP_FACTOR: f64 = 2.0;

/// Waiting requests beyond that share which are no sign of a backlog, since arrivals are random; in
/// addition to one of the largest prompts.
const BACKED_UP_SLACK: f64 = 1.0;

/// Shortest answer time in seconds.
const MIN_ANSWER_TIME_S: f64 = 0.05;

/// Part of the limit up to which waiting requests show that the group responds in time.
const CLEAR_SHARE: f64 = 0.6;

impl PaceLoad {
    /// Mean time of an answer in seconds, for use as a divisor.
    #[must_use]
    pub fn answer_s(&self) -> f64 {
        self.answer_time.as_secs_f64().max(MIN_ANSWER_TIME_S)
    }

    /// True when more requests wait for a first event than the prediction explains.
    /// `sent_per_s` is the rate at which all nodes have sent lately.
    #[must_use]
    pub fn is_backed_up(&self, sent_per_s: f64) -> bool {
        self.waiting > self.backlog_limit(sent_per_s)
    }

    /// True when clearly fewer requests wait than that.
    #[must_use]
    pub fn is_clear(&self, sent_per_s: f64) -> bool {
        self.waiting <= CLEAR_SHARE * self.backlog_limit(sent_per_s)
    }

    fn backlog_limit(&self, sent_per_s: f64) -> f64 {
        let usual = self.running / self.answer_s();
        let expected = sent_per_s.max(usual) * self.first_event.as_secs_f64();
        BACKED_UP_FACTOR * expected + BACKED_UP_SLACK + self.largest_prompt
    }
}

impl FirstEventSample {
    /// True when the first event came later than the prediction explains. The prediction includes
    /// the prefill of the prompt, so that a long prompt alone is not late.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::pace::FirstEventSample};
    ///
    /// let sample = |observed| FirstEventSample {
    ///     sent_at: Duration::ZERO,
    ///     observed: Duration::from_millis(observed),
    ///     predicted: Duration::from_millis(200),
    ///     correction: 1.0,
    /// };
    /// assert!(!sample(250).is_late());
    /// assert!(sample(400).is_late());
    /// ```
    #[must_use]
    pub fn is_late(&self) -> bool {
        let predicted = self.predicted.as_secs_f64();
        let uncorrected = predicted / self.correction.max(0.1);
        let limit = (predicted * LATE_RATIO).min(uncorrected * UNCORRECTED_LATE_RATIO);
        self.observed.as_secs_f64() > limit + LATE_MARGIN.as_secs_f64()
    }
}
