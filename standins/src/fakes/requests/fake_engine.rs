use {
    super::EngineRates,
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
    toucanring::wire::LoadReport,
};

/// Prefixes that fit in the cache of an engine.
const CACHED_PREFIXES: usize = 64;

/// Share of the prompt that a cached prefix saves.
const CACHE_SAVING: f64 = 0.5;

/// A request on a fake engine.
#[derive(Debug, Clone)]
pub struct EngineJob {
    /// Number of the request.
    pub ticket: u64,
    /// Gateway that sent it.
    pub gateway: usize,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Tokens of the answer still to come.
    pub answer_tokens: u32,
    /// Prefix that may be cached.
    pub prefix: u64,
    /// True when it crashes the engine.
    pub crashes: bool,
    prefill_left: Option<f64>,
    next_token: Duration,
    tokens: u32,
}

impl EngineJob {
    /// Creates a job that has not started.
    #[must_use]
    pub const fn new(ticket: u64, gateway: usize, prompt: f64, answer: u32, prefix: u64) -> Self {
        Self {
            ticket,
            gateway,
            prompt_tokens: prompt,
            answer_tokens: answer,
            prefix,
            crashes: false,
            prefill_left: None,
            next_token: Duration::ZERO,
            tokens: 0,
        }
    }
}

/// What happened to a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobEvent {
    /// The first token came.
    FirstToken(usize, u64),
    /// A later token came after this many milliseconds.
    Token(f64),
    /// The last token came.
    Done(usize, u64),
    /// The engine crashed under the job.
    Broken(usize, u64),
}

/// Fake of a model engine: one prompt is prefilled at a time, running requests
/// decode together, waiting requests start in order of arrival.
#[derive(Debug, Clone)]
pub struct EngineFake {
    rates: EngineRates,
    /// Factor on all times.
    pub slow_factor: f64,
    /// False while the engine is down.
    pub up: bool,
    /// Times that a request crashed it.
    pub crashes: u32,
    waiting: VecDeque<EngineJob>,
    running: Vec<EngineJob>,
    cache: VecDeque<u64>,
    published: (Duration, LoadReport),
}

impl EngineFake {
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
            published: (Duration::ZERO, LoadReport::default()),
        }
    }

    /// Takes a job; false when its queue is full.
    pub fn accept(&mut self, job: EngineJob) -> bool {
        if self.waiting.len() >= self.rates.max_waiting {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    /// Drops a job whose caller left.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|job| job.ticket != ticket);
        self.running.retain(|job| job.ticket != ticket);
    }

    /// Loses all jobs.
    pub fn crash(&mut self, out: &mut Vec<JobEvent>) {
        self.up = false;
        self.cache.clear();
        let jobs = self.running.drain(..).chain(self.waiting.drain(..));
        out.extend(jobs.map(|job| JobEvent::Broken(job.gateway, job.ticket)));
    }

    /// Report as published, up to its lag old.
    pub fn report(&mut self, now: Duration) -> LoadReport {
        if now.saturating_sub(self.published.0) >= self.rates.report_lag {
            self.published = (now, self.load());
        }
        self.published.1.clone()
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn load(&self) -> LoadReport {
        let unread: f64 = self.waiting.iter().map(|job| job.prompt_tokens).sum();
        let half_read: f64 = self.running.iter().filter_map(|job| job.prefill_left).sum();
        LoadReport {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            max_running: u32::try_from(self.rates.max_running).unwrap_or(u32::MAX),
            queued_tokens: (unread + half_read) as u64,
            prefill_tokens_per_s: self.rates.prefill_tokens_per_s / self.slow_factor,
            step_ms: self.step_s() * 1_000.0,
        }
    }

    /// A decode step takes longer with a fuller batch.
    fn step_s(&self) -> f64 {
        let places = u32::try_from(self.rates.max_running).unwrap_or(1);
        let running = u32::try_from(self.running.len()).unwrap_or(1);
        let fill = f64::from(running) / f64::from(places);
        self.rates.step_ms / 1_000.0 * (0.5 + 0.5 * fill) * self.slow_factor
    }

    /// Lets time pass up to `now`.
    pub fn tick(&mut self, now: Duration, passed: Duration, out: &mut Vec<JobEvent>) {
        if !self.up {
            return;
        }
        while self.running.len() < self.rates.max_running {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            if job.crashes {
                self.crashes += 1;
                out.push(JobEvent::Broken(job.gateway, job.ticket));
                self.crash(out);
                return;
            }
            let saved = if self.cache.contains(&job.prefix) {
                CACHE_SAVING
            } else {
                0.0
            };
            job.prefill_left = Some(job.prompt_tokens * (1.0 - saved));
            self.running.push(job);
        }
        self.prefill(now, passed);
        self.decode(now, out);
    }

    fn prefill(&mut self, now: Duration, passed: Duration) {
        let rate = self.rates.prefill_tokens_per_s / self.slow_factor;
        let mut tokens = rate * passed.as_secs_f64();
        for job in &mut self.running {
            let Some(left) = job.prefill_left else {
                continue;
            };
            if left > tokens {
                job.prefill_left = Some(left - tokens);
                return;
            }
            tokens -= left;
            job.prefill_left = None;
            job.next_token = now;
            if self.cache.contains(&job.prefix) {
                continue;
            }
            self.cache.push_back(job.prefix);
            if self.cache.len() > CACHED_PREFIXES {
                self.cache.pop_front();
            }
        }
    }

    fn decode(&mut self, now: Duration, out: &mut Vec<JobEvent>) {
        let step_s = self.step_s();
        let step = Duration::from_secs_f64(step_s);
        let mut done = HashSet::new();
        for job in &mut self.running {
            if job.prefill_left.is_some() || now < job.next_token {
                continue;
            }
            job.tokens += 1;
            job.next_token = now.max(job.next_token + step);
            if job.tokens == 1 {
                out.push(JobEvent::FirstToken(job.gateway, job.ticket));
            } else {
                out.push(JobEvent::Token(step_s * 1_000.0));
            }
            job.answer_tokens = job.answer_tokens.saturating_sub(1);
            if job.answer_tokens == 0 {
                out.push(JobEvent::Done(job.gateway, job.ticket));
                done.insert(job.ticket);
            }
        }
        if !done.is_empty() {
            self.running.retain(|job| !done.contains(&job.ticket));
        }
    }
}
