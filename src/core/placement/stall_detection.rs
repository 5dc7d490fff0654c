//! Detects groups that make no progress. A head continues to accept requests for seconds after its
//! group has lost a member. During that time only its streams show the loss: they send no events.

use {
    super::{
        GroupTarget, PlacementScheduler, SchedulerTick, TargetKey,
        placement_scheduler::SUSPECT_DURATION,
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Shortest time without events that counts as a stall.
const MIN_STALL_DURATION: Duration = Duration::from_millis(300);

/// Time beyond the prediction after which a missing first event counts as a stall.
const FIRST_EVENT_GRACE: Duration = Duration::from_millis(400);

impl PlacementScheduler {
    /// Marks each stalled group as suspect and adds its attempts to the moves of `tick`. A group is
    /// stalled when at least one of its streams is overdue and none has made progress.
    pub(super) fn find_stalls(&mut self, now: Duration, tick: &mut SchedulerTick) {
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
            target.suspect_until = now + SUSPECT_DURATION;
            tick.suspects.push((target.group.clone(), target.epoch));
            self.move_attempts(key, tick);
        }
    }

    fn is_stalled(&self, now: Duration, key: TargetKey, target: &GroupTarget) -> bool {
        let Some(profile) = self.profiles.get(&target.service) else {
            return false;
        };
        let Some(model) = profile.model(&target.model) else {
            return false;
        };
        let pause = target.expected_pause(profile, model, &self.load_of(target));
        let limit = MIN_STALL_DURATION.max(pause * 2);
        let mut any_stalled = false;
        for attempt in self.attempts.values() {
            if attempt.target != key || attempt.moved {
                continue;
            }
            let stalled_at = match attempt.last_event {
                Some(at) => at + limit,
                None => attempt.sent_at + attempt.predicted.max(pause) + FIRST_EVENT_GRACE,
            };
            if now < stalled_at {
                // A stream with a recent event shows that the group makes progress. One that waits
                // for its first event shows nothing: it may have been sent just now.
                if attempt.last_event.is_some() {
                    return false;
                }
                continue;
            }
            any_stalled = true;
        }
        any_stalled && now >= target.last_event + limit
    }

    fn move_attempts(&mut self, key: TargetKey, tick: &mut SchedulerTick) {
        for (attempt_key, attempt) in &mut self.attempts {
            if attempt.target == key && !attempt.moved {
                attempt.moved = true;
                tick.moves.push(attempt_key);
            }
        }
    }
}
