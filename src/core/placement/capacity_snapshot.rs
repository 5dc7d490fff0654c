//! The capacity figures behind a refusal, for its log line.

use {
    super::{
        GroupLoad, PlacementRequest, PlacementScheduler, placement_scheduler::OBJECTIVE_MARGIN,
    },
    std::time::Duration,
};

value_type! {
    /// Capacity of a model at the time of a refusal. All figures are zero or none when the service
    /// has no such model, except those of the request and of the load reports.
    #[derive(Copy, Default)]
    pub struct CapacitySnapshot {
        /// Open groups that serve the model and are not paused.
        pub groups: u32,
        /// Open groups that serve the model and asked for a pause; not counted in other figures.
        pub paused: u32,
        /// Those of `groups` whose head is cold and for which this gateway has no permit now.
        pub cold: u32,
        /// Open groups that serve the model in drained failure domains; not counted in other figures.
        pub drained: u32,
        /// Requests of all gateways that run at these groups, by the load known to this gateway.
        pub running: u32,
        /// Request slots of these groups.
        pub places: u32,
        /// Shortest predicted time to the first event if the groups ran nothing else; none without
        /// a group.
        pub fastest_idle: Option<Duration>,
        /// Shortest predicted time to the first event at the current load; none without a group.
        pub fastest_now: Option<Duration>,
        /// Prompt size in tokens by which the request was to be admitted; at least its own.
        pub admitted_tokens: u32,
        /// Time left until the first event would miss the objective, less the safety margin.
        pub time_left: Duration,
        /// Age of the oldest gateway load report in use; zero without any.
        pub peer_age: Duration,
    }
}

impl PlacementScheduler {
    /// Collects the capacity of the requested model, to explain why `request` was refused.
    #[must_use]
    pub fn capacity_for(&self, now: Duration, request: &PlacementRequest) -> CapacitySnapshot {
        // Prompt sizes are positive and far below `u32::MAX`.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let admitted_tokens = self.admitted_tokens(request) as u32;
        let mut capacity = CapacitySnapshot {
            admitted_tokens,
            time_left: request
                .in_time_until
                .saturating_sub(now)
                .saturating_sub(OBJECTIVE_MARGIN),
            peer_age: self.peers.age(now),
            ..CapacitySnapshot::default()
        };
        let Some(profile) = self.profiles.get(&request.service) else {
            return capacity;
        };
        let Some(model) = profile.model(&request.model) else {
            return capacity;
        };
        let tokens = f64::from(request.prompt_tokens);
        for target in self.open_targets() {
            if target.model != request.model || target.service != request.service {
                continue;
            }
            if self.is_drained(target) {
                capacity.drained += 1;
                continue;
            }
            if now < target.paused_until {
                capacity.paused += 1;
                continue;
            }
            let load = self.load_of(target);
            capacity.groups += 1;
            capacity.cold += u32::from(!self.cold.may_send(now, &target.head));
            capacity.running += load.running;
            capacity.places = capacity.places.saturating_add(profile.slots);
            let idle = target.predict_first_event(profile, model, &GroupLoad::IDLE, tokens);
            let loaded = target.predict_first_event(profile, model, &load, tokens);
            capacity.fastest_idle = Some(shortest(capacity.fastest_idle, idle));
            capacity.fastest_now = Some(shortest(capacity.fastest_now, loaded));
        }
        capacity
    }
}

fn shortest(known: Option<Duration>, time: Duration) -> Duration {
    known.map_or(time, |known| known.min(time))
}
