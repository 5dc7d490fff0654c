//! Groups that make no progress. A head goes on accepting requests for seconds
//! after it has lost a member, and only its silent streams show it.

use {
    super::{BoardTick, GroupTarget, PlacementBoard, TargetKey, placement_scheduler::SUSPECT_FOR},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Shortest stall that makes a group suspect.
const MIN_STALL: Duration = Duration::from_millis(300);

/// Time beyond the prediction after which a missing first event makes a group suspect.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(400);

impl PlacementBoard {
    /// A group is stalled when none of its streams goes on.
    pub(super) fn find_stalls(&mut self, now: Duration, tick: &mut BoardTick) {
        let mut stalled: SmallVec<[TargetKey; 4]> = SmallVec::new();
        for (key, target) in &self.targets {
            if target.running == 0 || now < target.suspect_until {
                continue;
            }
            if self.is_stalled(now, key, target) {
                stalled.push(key);
            }
        }
        for key in stalled {
            let target = &mut self.targets[key];
            target.suspect_until = now + SUSPECT_FOR;
            tick.suspects.push((target.group.clone(), target.epoch));
            self.move_all(key, tick);
        }
    }

    fn is_stalled(&self, now: Duration, key: TargetKey, target: &GroupTarget) -> bool {
        let Some(shape) = self.shapes.get(&target.service) else {
            return false;
        };
        let Some(model) = shape.model(&target.model) else {
            return false;
        };
        let pause = target.usual_pause(shape, model, &self.load_of(target));
        let limit = MIN_STALL.max(pause * 2);
        let mut any = false;
        for attempt in self.attempts.values() {
            if attempt.target != key || attempt.moved {
                continue;
            }
            let quiet_since = match attempt.last_event {
                Some(at) => at + limit,
                None => attempt.sent_at + attempt.predicted.max(pause) + FIRST_EVENT_SLACK,
            };
            if now < quiet_since {
                // Others may be late only because they were sent a moment ago.
                if attempt.last_event.is_some() {
                    return false;
                }
                continue;
            }
            any = true;
        }
        any && now >= target.last_event + limit
    }

    fn move_all(&mut self, key: TargetKey, tick: &mut BoardTick) {
        for (attempt_key, attempt) in &mut self.attempts {
            if attempt.target == key && !attempt.moved {
                attempt.moved = true;
                tick.moves.push(attempt_key);
            }
        }
    }
}
