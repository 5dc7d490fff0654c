//! Slots of a group that is almost full. Load pattern: many gateways learn of the same free slots
//! from load reports that lag, and each of them sends its waiting requests there. The group then
//! holds more requests than it has slots, and every one waits in the queue of its head.
//!
//! A gateway therefore claims its share of the free slots only while it has more requests than they
//! can take, and may fill the slots that its own requests leave: others never see them as free.

use {
    super::{GroupLoad, GroupTarget, PlacementScheduler, group_target::ASSUMED_CONTEXT_KILOTOKENS},
    std::time::Duration,
};

/// Number of gateways up to which no slots are divided: so few rarely meet at one slot.
const MAX_UNDIVIDED_GATEWAYS: usize = 8;

/// Time in which a gateway claims its share of the free slots once. Load reports of the same failure
/// domain are known to all gateways after it.
const CLAIM_ROUND: Duration = Duration::from_millis(160);

/// Share of free slots from which on they are not divided: predictions then limit the load.
const UNDIVIDED_SHARE: f64 = 0.2;

/// Free slots for each request that is expected to claim one, from which on they are not divided.
const UNDIVIDED_HEADROOM: f64 = 2.0;

/// Share of a group's slots that gateways of other failure domains leave free, since their load
/// reports are several times older.
const REMOTE_RESERVE_SHARE: f64 = 0.14;

/// Share of a request's slack that it may wait in the queue of a head. The rest is for requests of
/// other gateways that are not known yet.
const QUEUED_SLACK_SHARE: f64 = 0.25;

/// Time for which a gateway may fill a slot that one of its own requests has left. Afterwards the
/// other gateways know that it is free.
const FREED_SLOT_TTL: Duration = Duration::from_millis(80);

/// Time over which the arrivals of requests are averaged. A gateway that is overloaded gets several
/// requests in it.
pub(super) const ARRIVAL_WINDOW: Duration = Duration::from_secs(1);

value_type! {
    /// Slots of a group that requests of this gateway have left lately.
    #[derive(Copy, Default)]
    pub struct FreedSlots {
        count: u32,
        freed_at: Duration,
    }

    /// Slots of a group that this gateway has claimed in the present round.
    #[derive(Copy, Default)]
    pub struct SlotClaims {
        round: u64,
        count: u32,
    }
}

impl FreedSlots {
    /// Adds a slot that became free at `now`.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::placement::FreedSlots};
    ///
    /// let mut slots = FreedSlots::default();
    /// slots.add(Duration::from_secs(1));
    /// assert!(slots.has_one(Duration::from_secs(1)));
    /// assert!(!slots.has_one(Duration::from_secs(2)));
    /// ```
    pub fn add(&mut self, now: Duration) {
        self.expire(now);
        self.count += 1;
        self.freed_at = now;
    }

    /// True when this gateway may fill a slot again.
    #[must_use]
    pub fn has_one(&self, now: Duration) -> bool {
        self.count > 0 && now < self.freed_at + FREED_SLOT_TTL
    }

    /// Counts a slot as filled; does nothing without one.
    pub fn fill(&mut self, now: Duration) {
        self.expire(now);
        self.count = self.count.saturating_sub(1);
    }

    fn expire(&mut self, now: Duration) {
        if now >= self.freed_at + FREED_SLOT_TTL {
            self.count = 0;
        }
    }
}

impl SlotClaims {
    fn in_round(self, round: u64) -> u32 {
        if self.round == round { self.count } else { 0 }
    }

    /// Counts a slot that was claimed at `now`.
    pub(super) fn add(&mut self, now: Duration) {
        let round = claim_round(now);
        self.count = self.in_round(round) + 1;
        self.round = round;
    }
}

impl PlacementScheduler {
    /// Divides the free slots of groups that are almost full among the gateways from now on.
    pub const fn enable_slot_division(&mut self) {
        self.divides_slots = true;
    }

    /// True when a group has no slot for a request that may use `slots` of them. `slack` is the time
    /// that the request can spend in the queue of the head and still be in time.
    pub(super) fn is_full(
        &self,
        now: Duration,
        target: &GroupTarget,
        load: &GroupLoad,
        (slots, slack): (f64, Duration),
    ) -> bool {
        let running = f64::from(load.running);
        let gateways = self.peers.gateways() + 1;
        if !self.divides_slots || gateways <= MAX_UNDIVIDED_GATEWAYS {
            return running >= slots;
        }
        if running < slots && target.freed_slots.has_one(now) {
            return false;
        }
        let is_local = target.failure_domain == self.failure_domain;
        let reserve = if is_local { 0.0 } else { REMOTE_RESERVE_SHARE };
        let free = slots * (1.0 - reserve) - running;
        #[allow(clippy::cast_precision_loss)] // a few hundred gateways
        let gateways = gateways as f64;
        let expected = gateways * self.claims_per_group(now, &target.model);
        if free >= slots * UNDIVIDED_SHARE || free >= UNDIVIDED_HEADROOM * expected {
            return free <= 0.0;
        }
        let places = free + self.queue_places(target, slack);
        if places <= 0.0 {
            return true;
        }
        let round = claim_round(now);
        let share = places / gateways + self.round_draw(target, round);
        f64::from(target.slot_claims.in_round(round) + 1) > share
    }

    /// Number of requests that leave a full group within a part of `slack`.
    fn queue_places(&self, target: &GroupTarget, slack: Duration) -> f64 {
        let profile = self.profiles.get(&target.service);
        let means = self.request_means.get(&target.model);
        let (Some(profile), Some(means)) = (profile, means) else {
            return 0.0;
        };
        let time_factor = profile.model(&target.model).map_or(1.0, |model| model.pace);
        let pass = profile.pass_ms(profile.slots, ASSUMED_CONTEXT_KILOTOKENS) * time_factor;
        let interval = means.events() * pass / f64::from(profile.slots.max(1));
        QUEUED_SLACK_SHARE * slack.as_secs_f64() * 1_000.0 / interval.max(1.0)
    }

    /// Requests of this gateway for each open group of a model that claim a slot in one round: those
    /// that wait and those that are expected to arrive.
    fn claims_per_group(&self, now: Duration, model: &str) -> f64 {
        let groups = self.open_targets().filter(|one| one.model == model);
        let groups = u32::try_from(groups.count()).unwrap_or(u32::MAX);
        let waiting = u32::try_from(self.wait_queue.count_of(model)).unwrap_or(u32::MAX);
        let arrivals = self.arrival_rates.get(model);
        let arrivals = arrivals.map_or(0.0, |rate| rate.per_s(now) * CLAIM_ROUND.as_secs_f64());
        (f64::from(waiting) + arrivals) / f64::from(groups.max(1))
    }

    /// Number from 0 to 1 that differs between gateways, groups and rounds, but is the same at each
    /// look within a round.
    fn round_draw(&self, target: &GroupTarget, round: u64) -> f64 {
        let mut bits = self.seed ^ target.tag.0.rotate_left(17) ^ round.wrapping_mul(0x9e37_79b9);
        // Finalizer of splitmix64, which spreads neighbouring inputs.
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        #[allow(clippy::cast_precision_loss)] // 53 bits are exact
        let draw = (bits >> 11) as f64 / (1_u64 << 53) as f64;
        draw
    }
}

/// Number of the round at `now`, from the arbitrary start of all times.
fn claim_round(now: Duration) -> u64 {
    u64::try_from(now.as_millis() / CLAIM_ROUND.as_millis()).unwrap_or(u64::MAX)
}
