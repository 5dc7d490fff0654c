//! Which groups may get a request now, and when a request that none may get has to be refused.

use {
    super::{
        AttemptRecord, GroupCandidate, GroupLoad, GroupTarget, Placement, PlacementClass,
        PlacementRequest, PlacementScheduler, RefusalCause, choose_group,
        placement_scheduler::OBJECTIVE_MARGIN,
    },
    crate::core::routes::{EngineProfile, ModelProfile},
    smallvec::SmallVec,
    std::time::Duration,
};

value_type! {
    /// Reason for which a group may not get a request, whatever its load.
    #[derive(Copy, Eq)]
    pub enum GroupExclusion {
        /// The group serves another model or service.
        OtherModel,
        /// The group accepts no new requests.
        Closed,
        /// The request is restricted to other groups.
        NotPermitted,
        /// The previous attempt of the request failed at the group.
        FailedBefore,
        /// The operator drains the failure domain of the group.
        Drained,
        /// The head of the group asked for a pause.
        Paused,
        /// The head of the group is cold, and this gateway has no permit for it.
        Cold,
        /// The group is suspected to have failed.
        Suspect,
        /// The group has just opened or recovered, and it is not this request's turn.
        Paced,
    }
}

impl PlacementScheduler {
    /// Cause for which a request that cannot be placed now has to be refused; none when it can
    /// wait.
    pub(super) fn refusal_cause(
        &self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<RefusalCause> {
        if now >= request.give_up_at {
            return Some(RefusalCause::TooLate);
        }
        let fits = |target: &&GroupTarget| {
            target.open
                && now >= target.paused_until
                && target.model == request.model
                && !self.is_drained(target)
                && request.may_run_at(&target.head)
        };
        let admitted_tokens = self.admitted_tokens(request);
        // Earliest time of a first event.
        let mut fastest: Option<Duration> = None;
        for target in self.targets.values().filter(fits) {
            let profile = self.profiles.get(&request.service)?;
            let model = profile.model(&request.model)?;
            let tokens = admission_tokens(request, target, (profile, model), admitted_tokens);
            let idle = target.predict_first_event(profile, model, &GroupLoad::IDLE, tokens);
            let wait = self.cold.wait(now, &target.head);
            let first_event = target.pace.next_send().max(now + wait) + idle;
            fastest = Some(fastest.map_or(first_event, |other| other.min(first_event)));
        }
        if request.placement_class != PlacementClass::InTime {
            let waits = now < request.wait_until;
            return (!waits).then_some(RefusalCause::TooLate);
        }
        let Some(fastest) = fastest else {
            return Some(RefusalCause::NoGroup);
        };
        let late = fastest + OBJECTIVE_MARGIN > request.in_time_until;
        late.then_some(RefusalCause::TooLate)
    }

    /// Reason for which a group may not get a request, whatever its load; none when it may.
    #[must_use]
    pub fn exclusion(
        &self,
        now: Duration,
        request: &PlacementRequest,
        target: &GroupTarget,
    ) -> Option<GroupExclusion> {
        if target.model != request.model || target.service != request.service {
            return Some(GroupExclusion::OtherModel);
        }
        if !target.open {
            return Some(GroupExclusion::Closed);
        }
        if !request.may_run_at(&target.head) {
            return Some(GroupExclusion::NotPermitted);
        }
        if target.is_one(request.avoid.as_ref()) {
            return Some(GroupExclusion::FailedBefore);
        }
        if self.is_drained(target) {
            return Some(GroupExclusion::Drained);
        }
        if now < target.paused_until {
            return Some(GroupExclusion::Paused);
        }
        if !self.cold.may_send(now, &target.head) {
            return Some(GroupExclusion::Cold);
        }
        if request.only_heads.is_empty() && now < target.suspect_until {
            return Some(GroupExclusion::Suspect);
        }
        (!target.pace.may_send()).then_some(GroupExclusion::Paced)
    }

    /// Places a request at one of the groups that can run it now; none without such a group.
    pub(super) fn try_place(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
    ) -> Option<Placement> {
        let profile = self.profiles.get(&request.service)?;
        let model = profile.model(&request.model)?;
        let admitted_tokens = self.admitted_tokens(request);
        let mut candidates: SmallVec<[GroupCandidate; 16]> = SmallVec::new();
        for (key, target) in &self.targets {
            if self.exclusion(now, request, target).is_some() {
                continue;
            }
            let load = self.load_of(target);
            let predicted =
                target.predict_first_event(profile, model, &load, f64::from(request.prompt_tokens));
            let tokens = match request.placement_class {
                PlacementClass::Late => f64::from(request.prompt_tokens),
                PlacementClass::InTime | PlacementClass::Resumed => {
                    admission_tokens(request, target, (profile, model), admitted_tokens)
                }
            };
            let admission_time = target.predict_first_event(profile, model, &load, tokens);
            let deadline = match request.placement_class {
                PlacementClass::InTime => request.in_time_until,
                PlacementClass::Late => request.wait_until.min(request.give_up_at),
                PlacementClass::Resumed => now + request.objective,
            };
            let usable_slots = f64::from(profile.slots) * max_fill_share(request.placement_class);
            let in_time_at = now + admission_time + OBJECTIVE_MARGIN;
            let slack = match request.placement_class {
                PlacementClass::InTime => deadline.saturating_sub(in_time_at),
                PlacementClass::Late | PlacementClass::Resumed => Duration::ZERO,
            };
            if in_time_at > deadline || self.is_full(now, target, &load, (usable_slots, slack)) {
                continue;
            }
            candidates.push(GroupCandidate {
                target: key,
                predicted,
                running: load.running,
                remote: target.failure_domain != self.failure_domain,
            });
        }
        let gateways = self.peers.gateways() + 1;
        let chosen = match self.paced_candidate(&candidates) {
            Some(candidate) => candidate,
            None => choose_group(&candidates, gateways, &mut self.random)?,
        };
        Some(self.start(now, request, &chosen))
    }

    fn start(
        &mut self,
        now: Duration,
        request: &PlacementRequest,
        chosen: &GroupCandidate,
    ) -> Placement {
        let key = chosen.target;
        let predicted = chosen.predicted;
        self.note_paced_send(now, key);
        let target = &mut self.targets[key];
        self.cold.spend(now, &target.head);
        let backlog_tokens = f64::from(request.prompt_tokens);
        target.running += 1;
        target.freed_slots.fill(now);
        target.slot_claims.add(now);
        target.backlog_tokens += backlog_tokens;
        let attempt = self.attempts.insert(AttemptRecord {
            target: key,
            backlog_tokens,
            sent_at: now,
            predicted,
            events: 0,
            last_event: None,
            silent_since: now,
            moved: false,
        });
        Placement {
            attempt,
            group: target.group.clone(),
            epoch: target.epoch,
            head: target.head.clone(),
            head_born_ms: target.head_born_ms,
            address: target.address,
            predicted,
            running: chosen.running,
            peer_age: self.peers.age(now),
        }
    }
}

/// Prompt size by which a group admits a request: `admitted_tokens`, unless a prompt of that size
/// would miss the objective even if the group ran nothing else; then the request's own size.
fn admission_tokens(
    request: &PlacementRequest,
    target: &GroupTarget,
    (profile, model): (&EngineProfile, &ModelProfile),
    admitted_tokens: f64,
) -> f64 {
    // Uses the prediction without the correction factor, so that a group that is slow at the moment
    // does not turn the rule off.
    let idle = target.predict_first_event(profile, model, &GroupLoad::IDLE, admitted_tokens);
    if idle.div_f64(target.correction) + OBJECTIVE_MARGIN <= request.objective {
        admitted_tokens
    } else {
        f64::from(request.prompt_tokens)
    }
}

/// Share of a group's slots that requests of a class may fill. Requests that miss the objective in
/// any case must not take the slots of those that can still meet it.
const fn max_fill_share(placement_class: PlacementClass) -> f64 {
    match placement_class {
        PlacementClass::InTime => 1.0,
        PlacementClass::Late => 0.7,
        PlacementClass::Resumed => 0.85,
    }
}
