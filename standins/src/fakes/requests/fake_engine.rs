use {
    super::EngineRates,
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
    toucanring::wire::LoadReport,
};

/// Number of prompt prefixes that an engine's cache holds; the oldest is evicted first.
const MAX_CACHED_PREFIXES: usize = 64;

/// Share of a prompt's prefill that a cached prefix saves.
const PREFIX_CACHE_SAVING: f64 = 0.5;

/// A request on a fake engine.
#[derive(Debug, Clone)]
pub struct EngineJob {
    /// Ticket of the request: the index of its record.
    pub ticket: u64,
    /// Index of the gateway that sent it.
    pub gateway: usize,
    /// Length of the prompt in tokens.
    pub prompt_tokens: f64,
    /// Tokens of the answer that are still to be generated.
    pub answer_tokens: u32,
    /// Identifier of the prompt prefix, which other requests may share.
    pub prefix: u64,
    /// True when it crashes the engine as soon as it starts.
    pub crashes_engine: bool,
    /// Prompt tokens still to be prefilled; `None` before the start and when the job decodes.
    prefill_left: Option<f64>,
    next_token_at: Duration,
    tokens_sent: u32,
}

impl EngineJob {
    /// Creates a job that has not started.
    #[must_use]
    pub const fn new(
        ticket: u64,
        gateway: usize,
        prompt_length: f64,
        answer_length: u32,
        prefix: u64,
    ) -> Self {
        Self {
            ticket,
            gateway,
            prompt_tokens: prompt_length,
            answer_tokens: answer_length,
            prefix,
            crashes_engine: false,
            prefill_left: None,
            next_token_at: Duration::ZERO,
            tokens_sent: 0,
        }
    }
}

/// Progress or end of a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobEvent {
    /// First token of a job, given by its gateway and ticket.
    FirstToken(usize, u64),
    /// Later token of a job, after a decode step of this many milliseconds.
    Token(f64),
    /// Last token of a job, given by its gateway and ticket.
    Done(usize, u64),
    /// Loss of a job in a crash of its engine, given by its gateway and ticket.
    Lost(usize, u64),
}

/// Model engine in memory: prefills one prompt at a time, decodes the running requests together,
/// and starts waiting requests in order of arrival.
#[derive(Debug, Clone)]
pub struct FakeEngine {
    rates: EngineRates,
    /// Factor by which prefill and decode take longer; 1.0 is full speed.
    pub slow_factor: f64,
    /// False from a crash until the engine is restarted.
    pub up: bool,
    /// Number of crashes caused by requests; crashes by a scheduled fault do not count.
    pub crashes: u32,
    waiting: VecDeque<EngineJob>,
    running: Vec<EngineJob>,
    cache: VecDeque<u64>,
    last_report: (Duration, LoadReport),
}

impl FakeEngine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(rates: EngineRates) -> Self {
        Self {
            rates,
            slow_factor: 1.0,
            up: true,
            crashes: 0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            last_report: (Duration::ZERO, LoadReport::default()),
        }
    }

    /// Queues a job; returns false when the queue is full.
    pub fn enqueue(&mut self, job: EngineJob) -> bool {
        if self.waiting.len() >= self.rates.max_waiting {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    /// Drops a job whose caller gave up; does nothing when the engine does not hold it.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|job| job.ticket != ticket);
        self.running.retain(|job| job.ticket != ticket);
    }

    /// Takes the engine down: ends all jobs with [`JobEvent::Lost`] and empties the cache.
    pub fn crash(&mut self, events: &mut Vec<JobEvent>) {
        self.up = false;
        self.cache.clear();
        let jobs = self.running.drain(..).chain(self.waiting.drain(..));
        events.extend(jobs.map(|job| JobEvent::Lost(job.gateway, job.ticket)));
    }

    /// Last load report; a new one is made when it is [`EngineRates::report_lag`] old.
    pub fn report(&mut self, now: Duration) -> LoadReport {
        if now.saturating_sub(self.last_report.0) >= self.rates.report_lag {
            self.last_report = (now, self.current_load());
        }
        self.last_report.1.clone()
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn current_load(&self) -> LoadReport {
        let unstarted: f64 = self.waiting.iter().map(|job| job.prompt_tokens).sum();
        let prefill_left: f64 = self.running.iter().filter_map(|job| job.prefill_left).sum();
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            max_running: u32::try_from(self.rates.max_running).unwrap_or(u32::MAX),
            queued_tokens: (unstarted + prefill_left) as u64,
            prefill_tokens_per_s: self.rates.prefill_tokens_per_s / self.slow_factor,
            step_ms: self.step_time_s() * 1_000.0,
        }
    }

    /// Duration of a decode step: half of [`EngineRates::step_ms`] with an empty batch, all of it
    /// with a full one, times the slow factor.
    fn step_time_s(&self) -> f64 {
        let slots = u32::try_from(self.rates.max_running).unwrap_or(1);
        let running = u32::try_from(self.running.len()).unwrap_or(1);
        let fill = f64::from(running) / f64::from(slots);
        self.rates.step_ms / 1_000.0 * (0.5 + 0.5 * fill) * self.slow_factor
    }

    /// Starts, prefills and decodes jobs for the `elapsed` time that ends at `now`.
    pub fn tick(&mut self, now: Duration, elapsed: Duration, events: &mut Vec<JobEvent>) {
        if !self.up {
            return;
        }
        while self.running.len() < self.rates.max_running {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            if job.crashes_engine {
                self.crashes += 1;
                events.push(JobEvent::Lost(job.gateway, job.ticket));
                self.crash(events);
                return;
            }
            let saved = if self.cache.contains(&job.prefix) {
                PREFIX_CACHE_SAVING
            } else {
                0.0
            };
            job.prefill_left = Some(job.prompt_tokens * (1.0 - saved));
            self.running.push(job);
        }
        self.prefill(now, elapsed);
        self.decode(now, events);
    }

    fn prefill(&mut self, now: Duration, elapsed: Duration) {
        let rate = self.rates.prefill_tokens_per_s / self.slow_factor;
        let mut token_budget = rate * elapsed.as_secs_f64();
        for job in &mut self.running {
            let Some(remaining) = job.prefill_left else {
                continue;
            };
            if remaining > token_budget {
                job.prefill_left = Some(remaining - token_budget);
                return;
            }
            token_budget -= remaining;
            job.prefill_left = None;
            job.next_token_at = now;
            if self.cache.contains(&job.prefix) {
                continue;
            }
            self.cache.push_back(job.prefix);
            if self.cache.len() > MAX_CACHED_PREFIXES {
                self.cache.pop_front();
            }
        }
    }

    fn decode(&mut self, now: Duration, events: &mut Vec<JobEvent>) {
        let step_time_s = self.step_time_s();
        let step = Duration::from_secs_f64(step_time_s);
        let mut finished = HashSet::new();
        for job in &mut self.running {
            if job.prefill_left.is_some() || now < job.next_token_at {
                continue;
            }
            job.tokens_sent += 1;
            job.next_token_at = now.max(job.next_token_at + step);
            if job.tokens_sent == 1 {
                events.push(JobEvent::FirstToken(job.gateway, job.ticket));
            } else {
                events.push(JobEvent::Token(step_time_s * 1_000.0));
            }
            job.answer_tokens = job.answer_tokens.saturating_sub(1);
            if job.answer_tokens == 0 {
                events.push(JobEvent::Done(job.gateway, job.ticket));
                finished.insert(job.ticket);
            }
        }
        if !finished.is_empty() {
            self.running.retain(|job| !finished.contains(&job.ticket));
        }
    }
}
