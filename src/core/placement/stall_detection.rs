//! Detects groups that make no progress. A head continues to accept requests for seconds after its
//! group has lost a member. During that time only its streams show the loss: they send no events.

use {
    super::{GroupTarget, PlacementScheduler, SchedulerTick, TargetKey},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Shortest time without events that counts as a stall.
const MIN_STALL_DURATION: Duration = Duration::from_millis(300);

/// Longest time between two checks that counts as silence of the groups. Checks are 30 ms apart; a
/// longer gap shows that the gateway did not run, and events may wait in its sockets.
const MAX_CHECK_GAP: Duration = Duration::from_millis(100);

/// Time beyond the prediction after which a missing first event counts as a stall.
const FIRST_EVENT_GRACE: Duration = Duration::from_millis(400);

value_type! {
    /// A group that became suspect because its streams make no progress, with what was seen of it.
    pub struct StallReport {
        /// Name of the group.
        pub group: String,
        /// Epoch of the group.
        pub epoch: u64,
        /// Time since the last event of any of its streams; none before the first event.
        pub silent: Option<Duration>,
        /// Time without events from which on a running stream of the group counts as stalled.
        pub limit: Duration,
        /// This gateway's requests that run at the group.
        pub running: u32,
        /// Time since the check before this one. A long one shows that the gateway itself did not
        /// run, so that events may wait in its sockets.
        pub check_gap: Duration,
    }
}

impl PlacementScheduler {
    /// Marks each stalled group as suspect and adds its attempts to the moves of `tick`. A group is
    /// stalled when at least one of its streams is overdue and none has made progress.
    pub(super) fn find_stalls(&mut self, now: Duration, tick: &mut SchedulerTick) {
        let check_gap = now.saturating_sub(self.checked_at.unwrap_or(now));
        self.checked_at = Some(now);
        self.exclude_pause(now, check_gap.saturating_sub(MAX_CHECK_GAP));
        let mut stalled: SmallVec<[(TargetKey, Duration); 4]> = SmallVec::new();
        for (key, target) in &self.targets {
            if target.running == 0 || now < target.suspect_until {
                continue;
            }
            let Some(pause) = self.usual_pause(target) else {
                continue;
            };
            if self.is_stalled(now, key, target, pause) {
                stalled.push((key, stall_limit(pause)));
            }
        }
        for (key, limit) in stalled {
            let duration = self.suspect_duration(now, &self.targets[key].head);
            let target = &mut self.targets[key];
            target.suspect_until = now + duration;
            tick.suspects.push(StallReport {
                group: target.group.clone(),
                epoch: target.epoch,
                silent: target.last_event.map(|at| now.saturating_sub(at)),
                limit,
                running: target.running,
                check_gap,
            });
            self.move_attempts(key, tick);
        }
    }

    /// Excludes a pause of this gateway from the silence of the groups.
    fn exclude_pause(&mut self, now: Duration, pause: Duration) {
        if pause.is_zero() {
            return;
        }
        for attempt in self.attempts.values_mut() {
            attempt.silent_since = (attempt.silent_since + pause).min(now);
        }
        for target in self.targets.values_mut() {
            target.silent_since = (target.silent_since + pause).min(now);
        }
    }

    /// Expected time between two events of a stream at a group; none when the engine figures of its
    /// model are not known.
    fn usual_pause(&self, target: &GroupTarget) -> Option<Duration> {
        let profile = self.profiles.get(&target.service)?;
        let model = profile.model(&target.model)?;
        Some(target.expected_pause(profile, model, &self.load_of(target)))
    }

    fn is_stalled(
        &self,
        now: Duration,
        key: TargetKey,
        target: &GroupTarget,
        pause: Duration,
    ) -> bool {
        let limit = stall_limit(pause);
        let mut any_stalled = false;
        for attempt in self.attempts.values() {
            if attempt.target != key || attempt.moved {
                continue;
            }
            let patience = if attempt.last_event.is_some() {
                limit
            } else {
                attempt.predicted.max(pause) + FIRST_EVENT_GRACE
            };
            if now < attempt.silent_since + patience {
                // A stream with a recent event shows that the group makes progress. One that waits
                // for its first event shows nothing: it may have been sent just now.
                if attempt.last_event.is_some() {
                    return false;
                }
                continue;
            }
            any_stalled = true;
        }
        any_stalled && now >= target.silent_since + limit
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

/// Time without events from which on a stream counts as stalled, for its usual pause between two
/// events.
fn stall_limit(pause: Duration) -> Duration {
    MIN_STALL_DURATION.max(pause * 2)
}
