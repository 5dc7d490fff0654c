//! Paces of groups that have just opened or recovered. Load pattern: many nodes find the same empty
//! group at the same moment, and their load reports do not show each other's requests yet.

use {
    super::{
        AttemptKey, AttemptRecord, GroupCandidate, GroupTarget, GroupUsability, PlacementRequest,
        PlacementScheduler, SizeQuantile, TargetKey, group_target::from_millis,
        placement_scheduler::SUSPECT_DURATION,
    },
    crate::core::pace::{
        ArrivalRate, FirstEventSample, GroupPace, PaceChange, PaceLoad, PacePhase, ReturnRecord,
    },
    smallvec::SmallVec,
    std::{collections::HashMap, time::Duration},
};

/// Time over which the arrivals of requests are averaged. A node of a large deployment gets less than
/// one request per second for a model.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(5);

/// Time after a node has seen the first group of a model in which further ones are not new to the
/// deployment, but only to the node, or the deployment itself starts.
const START_WINDOW: Duration = Duration::from_secs(10);

/// Number of servers whose returns are remembered, unless more of them have returned lately.
const MAX_RECORDS: usize = 1_024;

/// Part of the usual time of suspicion after which a group that has not returned lately is tried
/// again. Its pace bounds the requests that this may cost. The time doubles with each return.
const FIRST_SUSPICION_SHARE: f64 = 0.25;

/// Largest factor by which the reported requests are increased for nodes whose reports have expired.
const MAX_MISSING_FACTOR: f64 = 2.0;

/// Answer time that is assumed while no request of a model was observed.
const ASSUMED_ANSWER_TIME: Duration = Duration::from_secs(1);

value_type! {
    /// Changes of the paces in one tick, for log and metrics.
    #[derive(Default)]
    pub struct PaceTick {
        /// Groups whose phase has changed.
        pub changes: Vec<PaceChange>,
        /// New limits, relative to the slots of their groups.
        pub permitted_shares: Vec<f64>,
    }
}

/// What the paces of all groups of one node have in common.
#[derive(Debug)]
pub(super) struct GroupPacing {
    boot: u64,
    /// Nodes that send requests, this one included, as the node itself counts them.
    gateways: usize,
    models: HashMap<String, ModelDemand>,
    returns: HashMap<String, ReturnRecord>,
}

#[derive(Debug)]
struct ModelDemand {
    first_seen: Duration,
    arrivals: ArrivalRate,
}

impl GroupPacing {
    /// Pace of a target that was just added.
    pub(super) const fn first_pace(pacing: Option<&Self>) -> GroupPace {
        if pacing.is_some() {
            GroupPace::PENDING
        } else {
            GroupPace::STEADY
        }
    }

    fn demand(&mut self, now: Duration, model: &str) -> &mut ModelDemand {
        let demand = self.models.entry(model.to_owned());
        demand.or_insert_with(|| ModelDemand {
            first_seen: now,
            arrivals: ArrivalRate::new(now, ARRIVAL_WINDOW),
        })
    }

    /// Record of a server; an empty one when the server was not known.
    fn record(&mut self, now: Duration, head: &str) -> &mut ReturnRecord {
        if self.returns.len() >= MAX_RECORDS {
            self.returns.retain(|_, record| record.count(now) > 0.0);
        }
        self.returns.entry(head.to_owned()).or_default()
    }

    /// Earlier returns of a server, without the one that is counted now.
    fn count_return(&mut self, now: Duration, head: &str) -> f64 {
        let record = self.record(now, head);
        let earlier = record.count(now);
        record.add(now);
        earlier
    }
}

impl GroupTarget {
    /// Passes the first event of a request on to the pace, before it changes the correction.
    pub(super) fn note_paced_event(
        &mut self,
        now: Duration,
        attempt: &AttemptRecord,
        observed: Duration,
    ) {
        let sample = FirstEventSample {
            sent_at: attempt.sent_at,
            observed,
            predicted: attempt.predicted,
            correction: self.correction,
        };
        self.pace.note_first_event(now, &sample);
    }

    fn current_usability(&self, now: Duration) -> GroupUsability {
        if !self.open || now < self.paused_until {
            return GroupUsability::Closed;
        }
        if now < self.suspect_until {
            return GroupUsability::Suspect;
        }
        GroupUsability::Usable
    }
}

impl PlacementScheduler {
    /// Bounds groups that open or recover from now on. `boot` is the start number of the node.
    pub fn enable_pace(&mut self, boot: u64) {
        self.pacing = Some(GroupPacing {
            boot,
            gateways: 1,
            models: HashMap::new(),
            returns: HashMap::new(),
        });
    }

    /// Sets the number of living nodes, this one included. Load reports of some of them may have
    /// expired.
    pub fn set_gateways(&mut self, gateways: usize) {
        if let Some(pacing) = &mut self.pacing {
            pacing.gateways = gateways;
        }
    }

    /// Number of open groups in a phase.
    #[must_use]
    pub fn groups_in_phase(&self, phase: PacePhase) -> usize {
        self.open_targets()
            .filter(|target| target.pace.phase() == phase)
            .count()
    }

    /// Permitted running requests of all nodes at a group; none when the group is steady or not
    /// known.
    #[must_use]
    pub fn permitted_at(&self, group: &str) -> Option<f64> {
        let target = self.open_targets().find(|target| target.group == group)?;
        (!target.pace.is_steady()).then(|| target.pace.permitted())
    }

    /// Records that an attempt failed or was rejected, before its end is recorded.
    pub fn note_failure(&mut self, now: Duration, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.pace.note_failure(now, attempt.sent_at);
        }
    }

    /// Time for which a group that becomes suspect now gets no requests.
    pub(super) fn suspect_duration(&self, now: Duration, head: &str) -> Duration {
        let Some(pacing) = &self.pacing else {
            return SUSPECT_DURATION;
        };
        let returns = pacing.returns.get(head);
        let returns = returns.map_or(0.0, |record| record.count(now));
        SUSPECT_DURATION.mul_f64((FIRST_SUSPICION_SHARE * 2.0_f64.powf(returns)).min(1.0))
    }

    /// Begins the paces of groups that have become usable and updates the others.
    pub(super) fn update_paces(&mut self, now: Duration, tick: &mut PaceTick) {
        if self.pacing.is_none() {
            return;
        }
        let keys: SmallVec<[TargetKey; 32]> = self.targets.keys().collect();
        for key in keys {
            let target = &self.targets[key];
            let usability = target.current_usability(now);
            let before = target.usability;
            let is_unchanged = usability == before;
            if is_unchanged && target.pace.is_steady() {
                continue;
            }
            let load = self.pace_load(now, target);
            let previous = target.pace;
            let is_usable = usability == GroupUsability::Usable;
            let begins = is_usable && !is_unchanged;
            let begun = begins.then(|| self.begin_pace(now, key, &load)).flatten();
            let target = &mut self.targets[key];
            target.usability = usability;
            if let Some(pace) = begun {
                target.pace = pace;
                // The limit now bounds the risk that the correction stands for.
                target.correction = target.correction.min(1.0);
            } else if is_usable {
                target.pace.update(now, &load);
            }
            self.report_pace(now, key, &previous, load, tick);
        }
    }

    /// Pace of a group that has just become usable.
    fn begin_pace(&mut self, now: Duration, key: TargetKey, load: &PaceLoad) -> Option<GroupPace> {
        let target = &self.targets[key];
        let slots = self.profiles.get(&target.service)?.slots;
        let pacing = self.pacing.as_mut()?;
        let offset = GroupPace::node_offset(target.tag.0, pacing.boot);
        let is_known = pacing.returns.contains_key(&target.head);
        if target.usability == GroupUsability::Unknown && !is_known {
            pacing.record(now, &target.head);
            let first_seen = pacing.demand(now, &target.model).first_seen;
            if now < first_seen + START_WINDOW {
                return Some(GroupPace::STEADY);
            }
            return Some(GroupPace::begin(now, slots, load, 0.0, offset));
        }
        // An event of a running stream ended the suspicion: the group did not fail.
        let was_cleared =
            target.usability == GroupUsability::Suspect && target.suspect_until.is_zero();
        let returns = if was_cleared {
            0.0
        } else {
            pacing.count_return(now, &target.head)
        };
        Some(GroupPace::begin(now, slots, load, returns, offset))
    }

    fn report_pace(
        &self,
        now: Duration,
        key: TargetKey,
        previous: &GroupPace,
        load: PaceLoad,
        tick: &mut PaceTick,
    ) {
        let target = &self.targets[key];
        let pace = &target.pace;
        let has_changed = (pace.permitted() - previous.permitted()).abs() > f64::EPSILON;
        if has_changed && let Some(share) = pace.permitted_share() {
            tick.permitted_shares.push(share);
        }
        if pace.phase() == previous.phase() {
            return;
        }
        // A steady group has no limit; its last one and its age come from the pace before.
        let described = if pace.is_steady() { previous } else { pace };
        let pacing = self.pacing.as_ref();
        let record = pacing.and_then(|pacing| pacing.returns.get(&target.head));
        tick.changes.push(PaceChange {
            group: target.group.clone(),
            epoch: target.epoch,
            phase: pace.phase(),
            permitted: described.permitted(),
            load,
            returns: record.map_or(0.0, |record| record.count(now)),
            age: described.age(now),
        });
    }

    /// Decides for each bounded group whether a request that has just arrived may go there.
    /// Nothing may when other requests of the node wait for the same model.
    pub(super) fn offer_to_arrival(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        is_first: bool,
    ) {
        let Some(pacing) = &mut self.pacing else {
            return;
        };
        pacing.demand(now, &request.model).arrivals.add(now);
        for key in self.bounded_targets() {
            if self.targets[key].model != request.model || !is_first {
                self.targets[key].pace.close_gate();
                continue;
            }
            let load = self.pace_load(now, &self.targets[key]);
            self.targets[key].pace.offer_arrival(&load);
        }
    }

    /// Decides for each bounded group whether a queued request may go there.
    pub(super) fn offer_to_queue(&mut self, now: Duration) {
        for key in self.bounded_targets() {
            let load = self.pace_load(now, &self.targets[key]);
            self.targets[key].pace.offer_queued(now, &load);
        }
    }

    pub(super) fn note_paced_send(&mut self, now: Duration, key: TargetKey) {
        if self.targets[key].pace.is_steady() {
            return;
        }
        let load = self.pace_load(now, &self.targets[key]);
        self.targets[key].pace.note_sent(now, &load);
    }

    /// The bounded group with the fewest requests that has less than the other groups; its permit
    /// would be lost if the random choice passed it over.
    pub(super) fn paced_candidate(&self, candidates: &[GroupCandidate]) -> Option<GroupCandidate> {
        self.pacing.as_ref()?;
        let is_bounded =
            |candidate: &&GroupCandidate| !self.targets[candidate.target].pace.is_steady();
        let bounded = candidates.iter().filter(is_bounded);
        let chosen = bounded.min_by_key(|candidate| candidate.running)?;
        let target = &self.targets[chosen.target];
        let (groups, running) = self.model_load(target);
        let mean = f64::from(running) / f64::from(groups.max(1));
        (f64::from(chosen.running) <= mean).then_some(*chosen)
    }

    fn bounded_targets(&self) -> SmallVec<[TargetKey; 8]> {
        if self.pacing.is_none() {
            return SmallVec::new();
        }
        let bounded = self.targets.iter();
        bounded
            .filter(|(_, target)| !target.pace.is_steady())
            .map(|(key, _)| key)
            .collect()
    }

    /// Number of open groups of the model of `target`, and the requests that run there.
    fn model_load(&self, target: &GroupTarget) -> (u32, u32) {
        let mut groups = 0;
        let mut running = 0;
        for other in self.open_targets() {
            if other.model == target.model && other.service == target.service {
                groups += 1;
                running += self.load_of(other).running;
            }
        }
        (groups, running)
    }

    fn pace_load(&self, now: Duration, target: &GroupTarget) -> PaceLoad {
        let load = self.load_of(target);
        let reporting = self.peers.gateways();
        let known = self.pacing.as_ref().map_or(1, |pacing| pacing.gateways);
        let gateways = known.max(reporting + 1);
        let own = f64::from(target.running);
        #[allow(clippy::cast_precision_loss)] // a few hundred nodes
        let missing = (gateways - 1) as f64 / reporting.max(1) as f64;
        let others = (f64::from(load.running) - own) * missing.min(MAX_MISSING_FACTOR);
        let (groups, all_running) = self.model_load(target);
        let other_running = f64::from(all_running.saturating_sub(load.running));
        let mean = other_running / f64::from(groups.saturating_sub(1).max(1));
        let mut pace_load = PaceLoad {
            reported_share: if mean > 0.0 {
                f64::from(load.running) / mean
            } else {
                1.0
            },
            running: own + others,
            waiting: 0.0,
            largest_prompt: 1.0,
            first_event: Duration::ZERO,
            answer_time: ASSUMED_ANSWER_TIME,
            demand_per_s: 0.0,
            gateways,
            report_age: self.peers.mean_age(now),
        };
        let profile = self.profiles.get(&target.service);
        let Some((profile, model)) = profile.and_then(|p| p.model(&target.model).map(|m| (p, m)))
        else {
            return pace_load;
        };
        if let Some(means) = self.request_means.get(&target.model) {
            let backlog_ms = 1_000.0 * load.backlog_tokens / profile.prefill_per_s.max(1.0);
            let mean_tokens = means.prefill_ms() * profile.prefill_per_s / 1_000.0;
            let first = target.predict_first_event(profile, model, &load, mean_tokens);
            let pause = target.expected_pause(profile, model, &load);
            let answer_time = from_millis(pause.as_secs_f64() * 500.0 * means.events());
            let sizes = self.prompt_sizes.values().map(SizeQuantile::tokens);
            let largest = sizes.fold(mean_tokens, f64::max);
            pace_load.largest_prompt = largest / mean_tokens.max(1.0);
            pace_load.waiting = backlog_ms / means.prefill_ms().max(0.1);
            pace_load.answer_time = first + answer_time;
            pace_load.first_event = first;
        }
        pace_load.demand_per_s = self.demand_per_s(now, target, all_running, &pace_load);
        pace_load
    }

    /// Requests per second of all nodes for the model of `target`: by the requests that run at all
    /// groups, or by those that arrive here if these are more, since refused ones do not run.
    fn demand_per_s(
        &self,
        now: Duration,
        target: &GroupTarget,
        running: u32,
        load: &PaceLoad,
    ) -> f64 {
        let served = f64::from(running) / load.answer_s();
        let pacing = self.pacing.as_ref();
        let demand = pacing.and_then(|pacing| pacing.models.get(&target.model));
        let arriving = demand.map_or(0.0, |demand| demand.arrivals.per_s(now));
        #[allow(clippy::cast_precision_loss)] // a few hundred nodes
        let arriving = arriving * load.gateways as f64;
        served.max(arriving)
    }
}
