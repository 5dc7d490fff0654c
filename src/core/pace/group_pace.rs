use {
    super::{FirstEventSample, PaceLoad, PacePhase},
    std::time::Duration,
};

/// Share of the slots that all nodes together may use when a group begins.
const FIRST_SHARE: f64 = 0.2;

/// Share of the slots up to which the limit rises. The rest absorbs requests that the load reports
/// do not show yet.
const RAMP_SHARE: f64 = 0.9;

/// Smallest limit, in requests of all nodes. Without any request nothing shows a recovery.
const MIN_PERMITTED: f64 = 1.0;

/// Shortest time between two raises of the limit. Load reports show the effect of a raise after up
/// to 0.3 s.
const RAISE_INTERVAL: Duration = Duration::from_millis(350);

/// The same above the level at which the group was last late. A node of a large deployment sees a
/// late first event of its own only every few seconds.
const ADDITIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between two cuts of the limit; requests sent before a cut are not judged after it.
const CUT_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a backlog has to last before the limit is cut.
const BACKLOG_DURATION: Duration = Duration::from_millis(400);

/// Factor on the limit when first events are late.
const LATE_FACTOR: f64 = 0.8;

/// Factor on the limit when a request fails.
const FAILURE_FACTOR: f64 = 0.5;

/// Factor on the limit at a raise, up to the level at which the group was last late.
const SLOW_START_FACTOR: f64 = 2.0;

/// Share of the slots by which the limit rises above that level.
const ADDITIVE_SHARE: f64 = 0.04;

/// Share of the limit that has to be in use before it rises. A limit that is not reached shows
/// nothing about the group.
const USED_SHARE: f64 = 0.5;

/// Time for which the limit has to stay at its top before the group is steady.
const HOLD_DURATION: Duration = Duration::from_secs(1);

/// Load relative to the other groups, by the load reports, from which on a group is steady. One that
/// seems emptier than it is would get requests from all nodes at once as soon as no limit holds.
const STEADY_SHARE: f64 = 0.85;

/// Time without late or failed requests after which a group of little traffic is steady.
const QUIET_DURATION: Duration = Duration::from_secs(10);

/// Time in which the free part of the limit is filled. A shorter one would let the nodes send more
/// than the load reports show before the next reports arrive.
const FILL_TIME_S: f64 = 0.4;

/// Time in seconds over which the rate of sends is averaged, about that in which load reports show
/// their effect.
const SENT_WINDOW_S: f64 = 0.5;

value_type! {
    /// The limit on the running requests of all nodes at one group, and this node's part in the
    /// sends. It never permits more than the other rules of placement do.
    #[derive(Copy)]
    pub struct GroupPace {
        phase: PacePhase,
        slots: f64,
        permitted: f64,
        /// Limit up to which raises double.
        doubling_until: f64,
        began: Duration,
        raised_at: Duration,
        cut_at: Duration,
        /// Time of the last late or failed request, or of the beginning.
        disturbed_at: Duration,
        backed_up_since: Option<Duration>,
        /// Requests that the other nodes are expected to have sent, beyond those that have ended,
        /// since their load reports.
        unseen: f64,
        /// Running requests that have run long enough to end.
        mature: f64,
        /// Requests per second that all nodes have sent lately.
        sent_per_s: f64,
        updated_at: Duration,
        timely: u32,
        late: u32,
        failed: u32,
        /// Part of this node's next permit that has accrued.
        credit: f64,
        /// Time from which on a queued request of this node may be sent.
        next_send: Duration,
        gate_open: bool,
    }
}

impl GroupPace {
    /// A group without a bound.
    pub const STEADY: Self = Self {
        phase: PacePhase::Steady,
        slots: 0.0,
        permitted: f64::INFINITY,
        doubling_until: f64::INFINITY,
        began: Duration::ZERO,
        raised_at: Duration::ZERO,
        cut_at: Duration::ZERO,
        disturbed_at: Duration::ZERO,
        backed_up_since: None,
        unseen: 0.0,
        mature: 0.0,
        sent_per_s: 0.0,
        updated_at: Duration::ZERO,
        timely: 0,
        late: 0,
        failed: 0,
        credit: 0.0,
        next_send: Duration::ZERO,
        gate_open: true,
    };

    /// A new group of which nothing is known yet; it gets no request before [`Self::begin`].
    pub const PENDING: Self = Self {
        phase: PacePhase::Probing,
        permitted: 0.0,
        gate_open: false,
        ..Self::STEADY
    };

    /// Begins the pace of a group with `slots` slots that opens or returns now and carries the
    /// requests of `load`. `returns` is the number of its earlier returns, and `offset`, from 0 to
    /// 1, differs between the nodes; see [`node_offset`](Self::node_offset).
    #[must_use]
    pub fn begin(now: Duration, slots: u32, load: &PaceLoad, returns: f64, offset: f64) -> Self {
        let slots = f64::from(slots.max(1));
        let caution = 0.5_f64.powf(returns);
        let first = (slots * FIRST_SHARE * caution).max(MIN_PERMITTED);
        // Requests that run there already, of other nodes or from before, show at least that much
        // capacity.
        let permitted = first.max(load.running).min(slots * RAMP_SHARE);
        let mut pace = Self {
            phase: PacePhase::Probing,
            slots,
            permitted,
            doubling_until: slots * RAMP_SHARE * caution,
            began: now,
            raised_at: now,
            disturbed_at: now,
            updated_at: now,
            mature: load.running,
            credit: offset,
            gate_open: false,
            ..Self::STEADY
        };
        pace.next_send = now + pace.spacing(load).mul_f64(offset);
        pace
    }

    /// Offset of a node at a group, evenly spread from 0 to 1 over nodes and groups. `tag` is that
    /// of the group, `boot` the start number of the node.
    ///
    /// ```
    /// use toucanring::core::pace::GroupPace;
    ///
    /// let offsets = (0..100).map(|boot| GroupPace::node_offset(7, boot));
    /// let below_half = offsets.filter(|offset| *offset < 0.5).count();
    /// assert!((30..70).contains(&below_half));
    /// ```
    #[must_use]
    pub fn node_offset(tag: u64, boot: u64) -> f64 {
        // The finalizer of SplitMix64.
        let mut bits = tag ^ boot.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^= bits >> 31;
        #[allow(clippy::cast_precision_loss)] // 53 bits fit
        let offset = (bits >> 11) as f64 / (1_u64 << 53) as f64;
        offset
    }

    /// Phase of the group.
    #[must_use]
    pub const fn phase(&self) -> PacePhase {
        self.phase
    }

    /// True when the group is not bounded.
    #[must_use]
    pub fn is_steady(&self) -> bool {
        self.phase == PacePhase::Steady
    }

    /// Permitted running requests of all nodes; infinite for a steady group.
    #[must_use]
    pub const fn permitted(&self) -> f64 {
        self.permitted
    }

    /// The permitted running requests relative to the slots; none for a steady group.
    #[must_use]
    pub fn permitted_share(&self) -> Option<f64> {
        (!self.is_steady()).then(|| self.permitted / self.slots.max(1.0))
    }

    /// Time since the pace began; zero for a steady group.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        if self.began.is_zero() {
            return Duration::ZERO;
        }
        now.saturating_sub(self.began)
    }

    /// True when the request that is being placed may go to the group.
    #[must_use]
    pub const fn may_send(&self) -> bool {
        self.gate_open
    }

    /// Time from which on a queued request may be sent; zero for a steady group.
    #[must_use]
    pub const fn next_send(&self) -> Duration {
        self.next_send
    }

    /// Decides whether a request that has just arrived may go to the group. The permits of all
    /// nodes together give the rate that fills the limit, if all arriving requests ask.
    pub fn offer_arrival(&mut self, load: &PaceLoad) {
        if self.is_steady() {
            return;
        }
        let rate = self.send_rate(load);
        self.credit += (rate / load.demand_per_s.max(0.001)).min(1.0);
        self.gate_open = self.credit >= 1.0 && self.has_room(load);
        // A permit that is not used now is lost, so that no burst builds up.
        if self.credit >= 1.0 {
            self.credit -= 1.0;
        }
    }

    /// Keeps the request that is being placed away from the group.
    pub fn close_gate(&mut self) {
        self.gate_open = self.is_steady();
    }

    /// Decides whether a queued request may go to the group.
    pub fn offer_queued(&mut self, now: Duration, load: &PaceLoad) {
        if self.is_steady() {
            return;
        }
        self.gate_open = now >= self.next_send && self.has_room(load);
    }

    /// Records that a request was sent to the group.
    pub fn note_sent(&mut self, now: Duration, load: &PaceLoad) {
        if self.is_steady() {
            return;
        }
        self.gate_open = false;
        self.next_send = now + self.spacing(load);
    }

    /// Records the first event of a request of this node.
    pub fn note_first_event(&mut self, now: Duration, sample: &FirstEventSample) {
        if self.is_steady() || sample.sent_at < self.cut_at.max(self.began) {
            return;
        }
        if sample.is_late() {
            self.late += 1;
            self.disturbed_at = now;
        } else {
            self.timely += 1;
        }
    }

    /// Records that a request of this node ended without an event.
    pub fn note_failure(&mut self, now: Duration, sent_at: Duration) {
        if self.is_steady() || sent_at < self.cut_at.max(self.began) {
            return;
        }
        self.failed += 1;
        self.disturbed_at = now;
    }

    /// Updates limit and phase by the samples since the last change and by the load.
    pub fn update(&mut self, now: Duration, load: &PaceLoad) {
        if self.is_steady() {
            return;
        }
        self.update_unseen(now, load);
        self.note_backlog(now, load);
        if self.must_cut(now) {
            let factor = if self.failed > 0 {
                FAILURE_FACTOR
            } else {
                LATE_FACTOR
            };
            self.cut(now, load, factor);
        } else if self.may_raise(now, load) {
            self.raise(now);
        }
        let held = self.at_top()
            && now >= self.raised_at + HOLD_DURATION
            && load.reported_share >= STEADY_SHARE;
        let undisturbed = self.disturbed_at.max(self.cut_at);
        let is_sound = self.late == 0 && self.failed == 0 && self.backed_up_since.is_none();
        if is_sound && (held || now >= undisturbed + QUIET_DURATION) {
            *self = Self::STEADY;
        }
    }

    /// The other nodes follow the same rule, so that this node knows about how much they send
    /// before their next reports arrive. Without this estimate they exceed the limit together.
    fn update_unseen(&mut self, now: Duration, load: &PaceLoad) {
        let passed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let rate = self.send_rate(load).min(load.demand_per_s);
        self.sent_per_s += (passed / SENT_WINDOW_S).min(1.0) * (rate - self.sent_per_s);
        let running = load.running + self.unseen;
        self.mature += (passed / load.answer_s()).min(1.0) * (running - self.mature);
        let age = load.report_age.as_secs_f64();
        if age <= passed {
            self.unseen = 0.0;
            return;
        }
        let added = rate - self.mature / load.answer_s();
        self.unseen = (self.unseen + passed * (added - self.unseen / age)).max(0.0);
    }

    fn note_backlog(&mut self, now: Duration, load: &PaceLoad) {
        if load.is_backed_up(self.sent_per_s) {
            self.backed_up_since.get_or_insert(now);
            self.disturbed_at = now;
        } else {
            self.backed_up_since = None;
        }
    }

    fn must_cut(&self, now: Duration) -> bool {
        if now < self.cut_at + CUT_INTERVAL {
            return false;
        }
        let is_late = self.late > self.timely;
        let backed_up = self.backed_up_since;
        let is_backed_up = backed_up.is_some_and(|since| now >= since + BACKLOG_DURATION);
        self.failed > 0 || is_late || is_backed_up
    }

    fn cut(&mut self, now: Duration, load: &PaceLoad, factor: f64) {
        // Requests beyond the limit may run already; they show no capacity while others wait.
        let served = (load.running - load.waiting).max(0.0);
        let lowest = (self.permitted * FAILURE_FACTOR).max(MIN_PERMITTED);
        let lowered = self.permitted * factor;
        self.permitted = lowered.min(served.max(lowest)).max(lowest);
        self.doubling_until = self.permitted;
        self.cut_at = now;
        self.raised_at = now;
        self.clear_samples();
    }

    fn may_raise(&self, now: Duration, load: &PaceLoad) -> bool {
        let responds = self.timely > 0 || (load.running > 0.0 && load.is_clear(self.sent_per_s));
        let is_used = load.running + self.unseen >= self.permitted * USED_SHARE;
        let is_sound = self.late == 0 || self.timely > self.late;
        let interval = if self.permitted < self.doubling_until {
            RAISE_INTERVAL
        } else {
            ADDITIVE_INTERVAL
        };
        let is_due = now >= self.raised_at + interval;
        responds && is_used && is_sound && is_due && !self.at_top()
    }

    fn raise(&mut self, now: Duration) {
        self.phase = PacePhase::Ramping;
        let doubled = (self.permitted * SLOW_START_FACTOR).min(self.doubling_until);
        let added = self.permitted + self.slots * ADDITIVE_SHARE;
        self.permitted = doubled.max(added).min(self.slots * RAMP_SHARE);
        self.raised_at = now;
        self.clear_samples();
    }

    const fn clear_samples(&mut self) {
        self.timely = 0;
        self.late = 0;
        self.failed = 0;
    }

    fn at_top(&self) -> bool {
        self.permitted >= self.slots * RAMP_SHARE
    }

    fn has_room(&self, load: &PaceLoad) -> bool {
        load.running + self.unseen < self.permitted
    }

    /// Requests per second that all nodes may send: those that replace answers that end, and those
    /// that fill the limit.
    fn send_rate(&self, load: &PaceLoad) -> f64 {
        let room = (self.permitted - load.running - self.unseen).max(0.0);
        let fill_time = FILL_TIME_S.max(load.report_age.as_secs_f64());
        self.mature / load.answer_s() + room / fill_time
    }

    /// Time between two sends of this node if all nodes send evenly.
    fn spacing(&self, load: &PaceLoad) -> Duration {
        #[allow(clippy::cast_precision_loss)] // a few hundred nodes
        let gateways = load.gateways.max(1) as f64;
        // While the limit is reached, the next send follows the next end of an answer.
        let replaced = self.permitted / load.answer_s();
        let seconds = gateways / self.send_rate(load).max(replaced).max(0.1);
        Duration::from_secs_f64(seconds.min(3_600.0))
    }
}
