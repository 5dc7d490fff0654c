/// Number of samples over which a running mean averages.
const MEAN_WINDOW_REQUESTS: f64 = 64.0;

/// Running means over the requests of a model: the prefill time of their prompts and the number of
/// events in their answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestMeans {
    prefill_ms: RunningMean,
    events: RunningMean,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct RunningMean {
    value: f64,
    samples: f64,
}

impl RunningMean {
    const fn new(value: f64) -> Self {
        Self {
            value,
            samples: 1.0,
        }
    }

    fn observe(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_WINDOW_REQUESTS);
        self.value += (sample - self.value) / self.samples;
    }
}

impl RequestMeans {
    /// Starts from one sample: a prompt with a prefill time of `prefill_ms` milliseconds and an
    /// answer of `events` events.
    #[must_use]
    pub fn new(prefill_ms: f64, events: f64) -> Self {
        Self {
            prefill_ms: RunningMean::new(prefill_ms),
            events: RunningMean::new(events.max(1.0)),
        }
    }

    /// Adds the prefill time of a prompt, in milliseconds.
    pub fn observe_prompt(&mut self, prefill_ms: f64) {
        self.prefill_ms.observe(prefill_ms);
    }

    /// Adds the number of events of a finished answer; it counts as at least one.
    pub fn observe_answer(&mut self, events: f64) {
        self.events.observe(events.max(1.0));
    }

    /// Mean prefill time of a prompt in milliseconds.
    #[must_use]
    pub const fn prefill_ms(&self) -> f64 {
        self.prefill_ms.value
    }

    /// Mean number of events in an answer; at least 1.
    #[must_use]
    pub const fn events(&self) -> f64 {
        self.events.value
    }

    /// Mean prefill time in milliseconds that a group spends per event of each running request. At
    /// a steady load every answer that ends is replaced by a new request, whose prompt needs
    /// prefill; the shorter the answers, the more of it falls on each event.
    ///
    /// ```
    /// use toucanring::core::placement::RequestMeans;
    ///
    /// let mut means = RequestMeans::new(30.0, 20.0);
    /// assert!((means.prefill_ms_per_event() - 1.5).abs() < 1e-9);
    /// means.observe_prompt(50.0);
    /// assert!((means.prefill_ms_per_event() - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn prefill_ms_per_event(&self) -> f64 {
        self.prefill_ms.value / self.events.value
    }
}
