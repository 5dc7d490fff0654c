use {
    crate::core::routes::{EngineProfile, ModelProfile},
    std::time::Duration,
};

/// Factor on the longest answer of a route that is still remembered. Answers differ, and one that is
/// cut off costs more than a refusal.
const LONGEST_MARGIN: f64 = 1.5;

/// Factor on the mean time for each token of a stream.
const STREAM_MARGIN: f64 = 1.25;

/// Time after which the longest answer counts for half.
const LONGEST_HALF_LIFE: Duration = Duration::from_secs(30);

/// Weight of the newest stream in the means.
const STREAM_WEIGHT: f64 = 0.05;

/// Context of a running request in thousands of tokens, as the predictions of the placement assume
/// it.
const ASSUMED_CONTEXT_KILOTOKENS: f64 = 1.3;

/// Longest expected time, an hour; figures of a configuration may give more than a duration holds.
const MAX_EXPECTED_S: f64 = 3_600.0;

value_type! {
    /// A complete answer, as a sample of the answer times of its route.
    #[derive(Copy, Eq)]
    pub struct AnswerSample {
        /// Time from sending the request to the end of the answer.
        pub took: Duration,
        /// Tokens of the answer that were expected when it was sent; 0 when answers of the route
        /// have no tokens.
        pub tokens: u32,
    }
}

/// How long complete answers of one route took.
///
/// Answers without tokens are expected to take as long as the longest of the last time; streams as
/// long as their tokens take on average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerTimes {
    longest: Duration,
    longest_at: Duration,
    stream_s: f64,
    stream_tokens: f64,
}

impl AnswerTimes {
    /// Adds a complete answer.
    pub fn note(&mut self, now: Duration, sample: AnswerSample) {
        if sample.tokens == 0 {
            if sample.took >= self.remembered_longest(now) {
                self.longest = sample.took;
                self.longest_at = now;
            }
            return;
        }
        let took = sample.took.as_secs_f64();
        let tokens = f64::from(sample.tokens);
        let weight = if self.stream_tokens > 0.0 {
            STREAM_WEIGHT
        } else {
            1.0
        };
        self.stream_s += weight * (took - self.stream_s);
        self.stream_tokens += weight * (tokens - self.stream_tokens);
    }

    fn remembered_longest(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.longest_at);
        let half_lives = age.as_secs_f64() / LONGEST_HALF_LIFE.as_secs_f64();
        self.longest.mul_f64(0.5_f64.powf(half_lives))
    }

    /// Time that an answer is expected to take at most; none without samples of its kind. `tokens`
    /// are as in [`AnswerSample`].
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::stop::{AnswerSample, AnswerTimes},
    /// };
    ///
    /// let mut times = AnswerTimes::default();
    /// let now = Duration::from_secs(10);
    /// assert_eq!(times.expect(now, 0), None);
    /// times.note(now, AnswerSample { took: Duration::from_millis(60), tokens: 0 });
    /// assert_eq!(times.expect(now, 0), Some(Duration::from_millis(90)));
    /// ```
    #[must_use]
    pub fn expect(&self, now: Duration, tokens: u32) -> Option<Duration> {
        if tokens == 0 {
            let longest = self.remembered_longest(now);
            return (!self.longest.is_zero()).then(|| longest.mul_f64(LONGEST_MARGIN));
        }
        if self.stream_tokens <= 0.0 {
            return None;
        }
        let seconds = self.stream_s / self.stream_tokens * f64::from(tokens);
        Some(bounded(seconds * STREAM_MARGIN))
    }
}

/// Time in which a replica group whose slots are all taken produces `tokens` tokens of an answer, by
/// the figures of the engine.
///
/// ```
/// use {
///     std::time::Duration,
///     toucanring::core::{
///         routes::{EngineProfile, ModelProfile},
///         stop::engine_answer_time,
///     },
/// };
///
/// let profile = EngineProfile {
///     slots: 10,
///     step_ms: 5.0,
///     per_sequence_ms: 0.5,
///     context_ms_per_kilotoken: 0.0,
///     prefill_per_s: 50_000.0,
///     pair_ms_per_million: 0.4,
///     stride: 7,
///     loads_per_s: 4.0,
///     loads_at_once: 6,
///     form: Duration::ZERO,
///     models: Vec::new(),
/// };
/// let model = ModelProfile {
///     name: "m-0".to_owned(),
///     size: 2,
///     share: 1.0,
///     pace: 2.0,
///     load: Duration::ZERO,
///     warm: Duration::ZERO,
/// };
/// let expected = engine_answer_time(&profile, &model, 100);
/// assert_eq!(expected, Duration::from_secs(2));
/// ```
#[must_use]
pub fn engine_answer_time(profile: &EngineProfile, model: &ModelProfile, tokens: u32) -> Duration {
    let pass_ms = profile.pass_ms(profile.slots, ASSUMED_CONTEXT_KILOTOKENS);
    let passes = f64::from(tokens) / f64::from(profile.stride.max(1));
    bounded(passes * pass_ms * model.pace / 1_000.0)
}

/// Expected time of an attempt that resumes a stream `passed` after its request arrived. The caller
/// has the events of that time already; the next one comes after `first_event`, since the prompt is
/// read again.
///
/// ```
/// use {std::time::Duration, toucanring::core::stop::resumed_answer_time};
///
/// let [whole, passed, first_event] = [5, 3, 1].map(Duration::from_secs);
/// let expected = resumed_answer_time(whole, passed, first_event);
/// assert_eq!(expected, Duration::from_secs(3));
/// ```
#[must_use]
pub fn resumed_answer_time(whole: Duration, passed: Duration, first_event: Duration) -> Duration {
    whole.saturating_sub(passed) + first_event
}

fn bounded(seconds: f64) -> Duration {
    let known = if seconds.is_nan() {
        MAX_EXPECTED_S
    } else {
        seconds
    };
    Duration::from_secs_f64(known.clamp(0.0, MAX_EXPECTED_S))
}
