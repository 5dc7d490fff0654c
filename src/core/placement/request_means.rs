/// Requests over which the means are taken.
const MEAN_OVER: f64 = 64.0;

/// Running means of the requests of a model: how long their prompts take to be
/// read, and how many events their answers have.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ModelMix {
    read_ms: RunningMean,
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

    fn take(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_OVER);
        self.value += (sample - self.value) / self.samples;
    }
}

impl ModelMix {
    /// Starts from a prompt that takes `read_ms` milliseconds to be read and an
    /// answer of `events` events.
    #[must_use]
    pub fn new(read_ms: f64, events: f64) -> Self {
        Self {
            read_ms: RunningMean::new(read_ms),
            events: RunningMean::new(events.max(1.0)),
        }
    }

    /// Takes the prompt of a request, in milliseconds of reading.
    pub fn take_prompt(&mut self, read_ms: f64) {
        self.read_ms.take(read_ms);
    }

    /// Takes the events of an answer that has ended.
    pub fn take_answer(&mut self, events: f64) {
        self.events.take(events.max(1.0));
    }

    /// Milliseconds of reading that each running request brings with every
    /// event: as many prompts are read in that time as answers end.
    ///
    /// ```
    /// use toucanring::core::placement::ModelMix;
    ///
    /// let mut mix = ModelMix::new(30.0, 20.0);
    /// assert!((mix.read_ms_per_event() - 1.5).abs() < 1e-9);
    /// mix.take_prompt(50.0);
    /// assert!((mix.read_ms_per_event() - 2.0).abs() < 1e-9);
    /// ```
    #[must_use]
    pub fn read_ms_per_event(&self) -> f64 {
        self.read_ms.value / self.events.value
    }
}
