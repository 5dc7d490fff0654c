//! What a placement board learns of the load: the work of each model, its
//! usual requests, and how much of its groups is taken.

use super::{GroupLoad, GroupTarget, ModelMix, PlacementAsk, PlacementBoard, SizeQuantile};

/// Work seen before the shares of the models count, in engine milliseconds.
const MIN_WORK_MS: f64 = 3_000.0;

impl PlacementBoard {
    /// Share of a model in the work seen since the start; none before enough
    /// of it was seen.
    #[must_use]
    pub fn work_share(&self, model: &str) -> Option<f64> {
        let total: f64 = self.work_ms.values().sum();
        if total < MIN_WORK_MS {
            return None;
        }
        Some(self.work_ms.get(model).copied().unwrap_or(0.0) / total)
    }

    /// Share of the places of a model's groups in the own failure domain that
    /// are taken; none without such a group.
    #[must_use]
    pub fn busy_share(&self, model: &str) -> Option<f64> {
        let mut taken = 0_u32;
        let mut places = 0_u32;
        for target in self.targets.values() {
            let home = target.failure_domain == self.failure_domain;
            let Some(shape) = self.shapes.get(&target.service) else {
                continue;
            };
            if !target.open || !home || target.model != model {
                continue;
            }
            taken += self.load_of(target).running;
            places += shape.slots;
        }
        (places > 0).then(|| f64::from(taken) / f64::from(places))
    }

    pub(super) fn count_work(&mut self, ask: &PlacementAsk) {
        let Some(shape) = self.shapes.get(&ask.service) else {
            return;
        };
        let Some(model) = shape.model(&ask.model) else {
            return;
        };
        let batch = f64::from(shape.slots.max(1));
        let step = shape.pass_ms(shape.slots, 1.0) / f64::from(shape.stride.max(1));
        let decode = f64::from(ask.answer_tokens) * step / batch;
        let read = shape.prefill_ms(f64::from(ask.prompt_tokens));
        let work = (read + decode) * model.pace;
        if let Some(mix) = self.mixes.get_mut(&ask.model) {
            mix.take_prompt(read);
        } else {
            let events = f64::from(ask.answer_tokens) / f64::from(shape.stride.max(1));
            let mix = ModelMix::new(read, events);
            self.mixes.insert(ask.model.clone(), mix);
        }
        *self.work_ms.entry(ask.model.clone()).or_default() += work;
    }

    pub(super) fn count_size(&mut self, ask: &PlacementAsk) {
        let tokens = f64::from(ask.prompt_tokens);
        if let Some(quantile) = self.sizes.get_mut(&ask.route) {
            quantile.take(tokens);
            return;
        }
        let quantile = SizeQuantile::new(tokens);
        self.sizes.insert(ask.route.clone(), quantile);
    }

    /// Prompt size by which a request is admitted: a small request is admitted
    /// only where a large one of its route would be, or large ones would find
    /// no place as soon as the load is high.
    pub(super) fn admitted_tokens(&self, ask: &PlacementAsk) -> f64 {
        let large = self.sizes.get(&ask.route).map_or(0.0, SizeQuantile::tokens);
        large.max(f64::from(ask.prompt_tokens))
    }

    /// Load of a group from all gateways, as far as it is known.
    pub(super) fn load_of(&self, target: &GroupTarget) -> GroupLoad {
        let (peer_running, peer_backlog) = self.peers.at_group(target.tag);
        let mix = self.mixes.get(&target.model);
        GroupLoad {
            running: target.running + peer_running,
            backlog_tokens: target.backlog_tokens + peer_backlog,
            read_ms_per_event: mix.map_or(0.0, ModelMix::read_ms_per_event),
        }
    }
}
