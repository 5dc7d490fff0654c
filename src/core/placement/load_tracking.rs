//! The load that the scheduler observes: the work and the typical requests of each model, the
//! prompt sizes of each route, and the share of busy slots.

use {
    super::{
        GroupLoad, GroupTarget, PlacementRequest, PlacementScheduler, RequestMeans, SizeQuantile,
        slot_reserve::ARRIVAL_WINDOW,
    },
    crate::core::pace::ArrivalRate,
    std::time::Duration,
};

/// Total engine time in milliseconds that must be observed before the shares of the models count.
const MIN_WORK_MS: f64 = 3_000.0;

impl PlacementScheduler {
    /// Share of a model in the engine time of all requests since the start, from 0 to 1; none while
    /// too little work was observed.
    #[must_use]
    pub fn work_share(&self, model: &str) -> Option<f64> {
        let total: f64 = self.work_ms.values().sum();
        if total < MIN_WORK_MS {
            return None;
        }
        Some(self.work_ms.get(model).copied().unwrap_or(0.0) / total)
    }

    /// Running requests of all gateways relative to the slots of a model's open groups in the
    /// gateway's own failure domain; none without such a group. A group that asked for a pause has
    /// no free slots.
    #[must_use]
    pub fn busy_share(&self, now: Duration, model: &str) -> Option<f64> {
        let mut busy = 0.0;
        let mut slots = 0.0;
        for target in self.targets.values() {
            let is_local = target.failure_domain == self.failure_domain;
            let Some(profile) = self.profiles.get(&target.service) else {
                continue;
            };
            if !target.open || !is_local || target.model != model {
                continue;
            }
            let running = if now < target.paused_until {
                profile.slots
            } else {
                self.load_of(target).running
            };
            busy += f64::from(running);
            slots += f64::from(profile.slots);
        }
        (slots > 0.0).then(|| busy / slots)
    }

    /// Estimated engine time of a request in milliseconds; none when the service has no such model.
    pub(super) fn work_of(&self, request: &PlacementRequest) -> Option<f64> {
        let profile = self.profiles.get(&request.service)?;
        let model = profile.model(&request.model)?;
        let batch = f64::from(profile.slots.max(1));
        let step = profile.pass_ms(profile.slots, 1.0) / f64::from(profile.stride.max(1));
        let decode = f64::from(request.answer_tokens) * step / batch;
        let prefill = profile.prefill_ms(f64::from(request.prompt_tokens));
        Some((prefill + decode) * model.pace)
    }

    /// Adds the estimated engine time of a request to the work of its model.
    pub(super) fn record_work(&mut self, request: &PlacementRequest) {
        let Some(work) = self.work_of(request) else {
            return;
        };
        let Some(profile) = self.profiles.get(&request.service) else {
            return;
        };
        let prefill = profile.prefill_ms(f64::from(request.prompt_tokens));
        if let Some(means) = self.request_means.get_mut(&request.model) {
            means.observe_prompt(prefill);
        } else {
            let events = f64::from(request.answer_tokens) / f64::from(profile.stride.max(1));
            let means = RequestMeans::new(prefill, events);
            self.request_means.insert(request.model.clone(), means);
        }
        *self.work_ms.entry(request.model.clone()).or_default() += work;
    }

    /// Counts an arrival for a model.
    pub(super) fn record_arrival(&mut self, now: Duration, model: &str) {
        if let Some(rate) = self.arrival_rates.get_mut(model) {
            rate.add(now);
            return;
        }
        let mut rate = ArrivalRate::new(now, ARRIVAL_WINDOW);
        rate.add(now);
        self.arrival_rates.insert(model.to_owned(), rate);
    }

    /// Adds the prompt size of a request to the quantile of its route.
    pub(super) fn record_prompt_size(&mut self, request: &PlacementRequest) {
        let tokens = f64::from(request.prompt_tokens);
        if let Some(quantile) = self.prompt_sizes.get_mut(&request.route) {
            quantile.observe(tokens);
            return;
        }
        let quantile = SizeQuantile::new(tokens);
        self.prompt_sizes.insert(request.route.clone(), quantile);
    }

    /// Prompt size in tokens by which a request is admitted: the 0.95 quantile of its route or its
    /// own size, whichever is larger. A small request is admitted only where a large one of its
    /// route would be; otherwise large ones would find no slot as soon as the load is high.
    pub(super) fn admitted_tokens(&self, request: &PlacementRequest) -> f64 {
        let large = self
            .prompt_sizes
            .get(&request.route)
            .map_or(0.0, SizeQuantile::tokens);
        large.max(f64::from(request.prompt_tokens))
    }

    /// Load of a group: own requests plus those in the load reports of the other gateways.
    pub(super) fn load_of(&self, target: &GroupTarget) -> GroupLoad {
        let (peer_running, peer_backlog) = self.peers.at_group(target.tag);
        let means = self.request_means.get(&target.model);
        GroupLoad {
            running: target.running + peer_running,
            backlog_tokens: target.backlog_tokens + peer_backlog,
            prefill_ms_per_event: means.map_or(0.0, RequestMeans::prefill_ms_per_event),
        }
    }
}
