use {
    super::SentRequest,
    crate::node_fixtures::{model, profile},
    std::time::Duration,
    toucanring::core::{placement::AttemptKey, routes::EngineProfile},
};

/// How an engine treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineState {
    /// Serves with this part of its slots.
    Serving { percent: usize },
    /// Rejects each request at once.
    Rejecting,
}

/// A replica group: runs passes, each with one event for every running request, and with the
/// prefill of the prompts that it has admitted before the pass.
pub struct EngineModel {
    pub state: EngineState,
    profile: EngineProfile,
    queued: Vec<(u32, SentRequest)>,
    running: Vec<SentRequest>,
    pass_ends: Duration,
}

/// What happened in a step: copies of the requests with an event, and the requests that ended.
pub struct EngineStep {
    pub events: Vec<SentRequest>,
    pub ended: Vec<SentRequest>,
}

impl EngineModel {
    pub fn new() -> Self {
        Self {
            state: EngineState::Serving { percent: 100 },
            profile: profile(vec![model("m-0", 1, 1.0)]),
            queued: Vec::new(),
            running: Vec::new(),
            pass_ends: Duration::ZERO,
        }
    }

    pub fn load(&self) -> usize {
        self.queued.len() + self.running.len()
    }

    fn slots(&self) -> usize {
        let slots = usize::try_from(self.profile.slots).unwrap();
        match self.state {
            EngineState::Serving { percent } => slots * percent / 100,
            EngineState::Rejecting => slots,
        }
    }

    /// Takes a request; false when the engine rejects it.
    pub fn take(&mut self, now: Duration, tokens: u32, request: SentRequest) -> bool {
        // As many requests as there are slots may wait at the engine.
        if self.state == EngineState::Rejecting || self.queued.len() >= self.slots() {
            return false;
        }
        if self.load() == 0 {
            self.pass_ends = now;
        }
        self.queued.push((tokens, request));
        true
    }

    pub fn remove(&mut self, node: usize, attempt: AttemptKey) -> bool {
        let before = self.load();
        let is_other = |request: &SentRequest| request.node != node || request.attempt != attempt;
        self.queued.retain(|(_, request)| is_other(request));
        self.running.retain(is_other);
        self.load() < before
    }

    pub fn drain(&mut self) -> Vec<SentRequest> {
        let queued = std::mem::take(&mut self.queued).into_iter();
        let mut all: Vec<SentRequest> = queued.map(|(_, request)| request).collect();
        all.append(&mut self.running);
        all
    }

    /// Ends the passes that are due.
    pub fn advance(&mut self, now: Duration) -> EngineStep {
        let mut step = EngineStep {
            events: Vec::new(),
            ended: Vec::new(),
        };
        if self.load() == 0 || now < self.pass_ends {
            return step;
        }
        for request in &mut self.running {
            request.events_left -= 1;
            step.events.push(SentRequest { ..*request });
        }
        let is_ended = |request: &mut SentRequest| request.events_left == 0;
        step.ended = self.running.extract_if(.., is_ended).collect();
        self.start_pass(now);
        step
    }

    fn start_pass(&mut self, now: Duration) {
        let free = self.slots().saturating_sub(self.running.len());
        let admitted = free.min(self.queued.len());
        let mut prefill = 0.0;
        for (tokens, request) in self.queued.drain(..admitted) {
            prefill += self.profile.prefill_ms(f64::from(tokens));
            self.running.push(request);
        }
        let running = u32::try_from(self.running.len()).unwrap();
        let millis = self.profile.pass_ms(running, 1.3) + prefill;
        self.pass_ends = now + Duration::from_secs_f64(millis / 1_000.0);
    }
}
