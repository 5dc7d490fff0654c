//! What a refusal was decided by, for the logs.

use {
    super::{GroupLoad, PlacementAsk, PlacementBoard, placement_scheduler::OBJECTIVE_RESERVE},
    std::time::Duration,
};

value_type! {
    /// Room of a model at the time of a refusal.
    #[derive(Copy, Default)]
    pub struct RoomFigures {
        /// Groups that serve the model.
        pub groups: u32,
        /// Requests thought to run there, of all gateways.
        pub running: u32,
        /// Requests that they can run at once.
        pub places: u32,
        /// Shortest predicted time to the first event at a group without other requests.
        pub fastest_idle: Option<Duration>,
        /// Shortest predicted time to the first event at the present load.
        pub fastest_now: Option<Duration>,
        /// Prompt tokens by which the request would have been admitted.
        pub admitted_tokens: u32,
        /// Time left for an answer in time.
        pub time_left: Duration,
        /// Age of the oldest figures of other gateways.
        pub peer_age: Duration,
    }
}

impl PlacementBoard {
    /// The room that a request was refused by.
    #[must_use]
    pub fn room_for(&self, now: Duration, ask: &PlacementAsk) -> RoomFigures {
        // Prompt sizes are positive and far below the bound.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let admitted_tokens = self.admitted_tokens(ask) as u32;
        let mut room = RoomFigures {
            admitted_tokens,
            time_left: ask
                .in_time_until
                .saturating_sub(now)
                .saturating_sub(OBJECTIVE_RESERVE),
            peer_age: self.peers.age(now),
            ..RoomFigures::default()
        };
        let Some(shape) = self.shapes.get(&ask.service) else {
            return room;
        };
        let Some(model) = shape.model(&ask.model) else {
            return room;
        };
        let tokens = f64::from(ask.prompt_tokens);
        for target in self.open_targets() {
            if target.model != ask.model || target.service != ask.service {
                continue;
            }
            let load = self.load_of(target);
            room.groups += 1;
            room.running += load.running;
            room.places += shape.slots;
            let idle = target.predict(shape, model, &GroupLoad::IDLE, tokens);
            let loaded = target.predict(shape, model, &load, tokens);
            room.fastest_idle = Some(shorter(room.fastest_idle, idle));
            room.fastest_now = Some(shorter(room.fastest_now, loaded));
        }
        room
    }
}

fn shorter(best: Option<Duration>, time: Duration) -> Duration {
    best.map_or(time, |best| best.min(time))
}
