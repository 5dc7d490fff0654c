use {
    super::{
        FinishedRequest, GroupGauge, LedgerAction, LedgerEvent, LedgerSettings, LostCount,
        open_minute::OpenMinute, sealed_minute::SealedMinute,
    },
    bytes::Bytes,
    std::{collections::VecDeque, time::Duration},
};

/// Most sealed minutes held while the object store is unavailable: an outage of an hour, and half
/// an hour to catch up.
pub const MAX_PENDING_MINUTES: usize = 90;

/// Most bytes of sealed minutes held while the object store is unavailable.
pub const MAX_PENDING_BYTES: usize = 8 * 1024 * 1024;

/// Delay after the first failed write; doubles with each further failure up to [`MAX_RETRY_DELAY`].
const MIN_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Longest delay after a failed write.
const MAX_RETRY_DELAY: Duration = Duration::from_mins(1);

/// Delay between writes. While 390 processes catch up after an outage, it limits them to 98
/// writes/s together, a fraction of what the store accepts.
const CATCH_UP_DELAY: Duration = Duration::from_secs(4);

/// State machine that counts finished requests and group downtime per wall-clock minute.
///
/// A minute is sealed at its end and written once, or again with the same
/// content when the write failed or its answer was lost. When more than [`MAX_PENDING_MINUTES`] or
/// [`MAX_PENDING_BYTES`] are not stored yet, the oldest minute is dropped and counted in the
/// next record. Minutes are not merged: a write whose answer was lost may have
/// taken effect, and its counts inside another minute would then count twice.
///
/// ```
/// use std::time::Duration;
/// use toucanring::core::burn::{
///     FinishedRequest, LedgerAction, LedgerEvent, LedgerSettings, MinuteLedger, RequestOutcome,
/// };
///
/// let origin = Duration::from_secs(30_000_000 * 60);
/// let mut ledger = MinuteLedger::new(LedgerSettings::new("gateway-1", 0, origin));
/// let mut actions = Vec::new();
/// let request = FinishedRequest {
///     service: "chat".into(),
///     account: "foundry".into(),
///     kind: "note".into(),
///     weight: 1.0,
///     outcome: RequestOutcome::Completed,
/// };
/// ledger.step(Duration::from_secs(1), LedgerEvent::Finished(request), &mut actions);
/// ledger.step(Duration::from_secs(60), LedgerEvent::Tick, &mut actions);
/// let LedgerAction::Write { minute, key, .. } = &actions[0];
/// assert_eq!(*minute, 30_000_000);
/// assert_eq!(key, "burn/30000000/gateway-1-0000000000000000");
/// ```
#[derive(Debug)]
pub struct MinuteLedger {
    settings: LedgerSettings,
    open: OpenMinute,
    gauge: GroupGauge,
    gauge_expires_at: Duration,
    /// Time up to which the gauge was added to the open minute.
    integrated_until: Duration,
    pending: VecDeque<SealedMinute>,
    pending_bytes: usize,
    /// Minute whose write has no result yet.
    in_flight: Option<u64>,
    next_write: Duration,
    retry_delay: Duration,
    /// Losses that the next sealed minute reports.
    lost: LostCount,
    stopped: bool,
}

impl MinuteLedger {
    /// Time for which a gauge counts unless it is replaced. A controller that was paused must not
    /// count time in which another controller already held the lease.
    pub const GAUGE_LIFETIME: Duration = Duration::from_secs(5);

    /// Creates a ledger whose first minute is the one at monotonic time zero.
    #[must_use]
    pub fn new(settings: LedgerSettings) -> Self {
        let minute = settings.minute_at(Duration::ZERO);
        Self {
            settings,
            open: OpenMinute::new(minute),
            gauge: GroupGauge::default(),
            gauge_expires_at: Duration::ZERO,
            integrated_until: Duration::ZERO,
            pending: VecDeque::new(),
            pending_bytes: 0,
            in_flight: None,
            next_write: Duration::ZERO,
            retry_delay: MIN_RETRY_DELAY,
            lost: LostCount::default(),
            stopped: false,
        }
    }

    /// Number of sealed minutes that are not stored yet.
    #[must_use]
    pub fn pending_minutes(&self) -> usize {
        self.pending.len()
    }

    /// Total size in bytes of the encoded minutes that are not stored yet.
    #[must_use]
    pub const fn pending_bytes(&self) -> usize {
        self.pending_bytes
    }

    /// Handles an event at monotonic time `now` and appends the resulting actions to `out`. Only
    /// `Tick`, `Written` and `Stop` yield actions.
    pub fn step(&mut self, now: Duration, event: LedgerEvent, out: &mut Vec<LedgerAction>) {
        self.advance(now);
        match event {
            LedgerEvent::Finished(request) => self.count(request),
            LedgerEvent::Gauge(gauge) => self.set_gauge(now, gauge),
            LedgerEvent::Tick => self.start_write(now, out),
            LedgerEvent::Written(minute) => self.finish_write(now, minute, out),
            LedgerEvent::Unclear(minute) => self.schedule_retry(now, minute),
            LedgerEvent::Stop => self.stop(now, out),
        }
    }

    fn count(&mut self, request: FinishedRequest) {
        if self.stopped {
            return;
        }
        self.open.count(request);
    }

    fn set_gauge(&mut self, now: Duration, gauge: GroupGauge) {
        self.gauge = gauge;
        self.gauge_expires_at = now + Self::GAUGE_LIFETIME;
    }

    /// Adds the gauge up to `now` and seals the minutes that have ended.
    fn advance(&mut self, now: Duration) {
        if self.stopped {
            return;
        }
        let mut end = self.settings.end_of(self.open.minute);
        while now >= end {
            self.integrate_to(end);
            // Minutes in which the process handled no event, as during a pause, get no record.
            let next = if self.gauge_expires_at > end {
                self.open.minute + 1
            } else {
                self.settings.minute_at(now)
            };
            self.seal(next);
            end = self.settings.end_of(next);
        }
        self.integrate_to(now);
    }

    fn integrate_to(&mut self, until: Duration) {
        let counted = until.min(self.gauge_expires_at);
        if let Some(span) = counted.checked_sub(self.integrated_until) {
            self.open.integrate(&self.gauge, span);
        }
        self.integrated_until = self.integrated_until.max(until);
    }

    fn seal(&mut self, next: u64) {
        let open = std::mem::replace(&mut self.open, OpenMinute::new(next));
        let requests = open.requests();
        let minute = open.minute;
        let lost = std::mem::take(&mut self.lost);
        let record = open.into_record(&self.settings, lost);
        let body = serde_json::to_vec(&record).expect("a record has only string keys");
        self.pending_bytes += body.len();
        self.pending.push_back(SealedMinute {
            minute,
            requests,
            lost,
            body: Bytes::from(body),
        });
        self.drop_oldest();
    }

    fn drop_oldest(&mut self) {
        while self.pending.len() > MAX_PENDING_MINUTES || self.pending_bytes > MAX_PENDING_BYTES {
            let oldest = (0..self.pending.len()).min_by_key(|index| self.pending[*index].minute);
            let Some(dropped) = oldest.and_then(|index| self.pending.remove(index)) else {
                return;
            };
            self.pending_bytes -= dropped.body.len();
            self.lost.minutes += 1 + dropped.lost.minutes;
            self.lost.requests += dropped.requests + dropped.lost.requests;
        }
    }

    fn start_write(&mut self, now: Duration, out: &mut Vec<LedgerAction>) {
        if self.in_flight.is_some() || now < self.next_write {
            return;
        }
        let Some(oldest) = self.pending.front() else {
            return;
        };
        self.in_flight = Some(oldest.minute);
        out.push(LedgerAction::Write {
            minute: oldest.minute,
            key: self.settings.object_key(oldest.minute),
            body: oldest.body.clone(),
        });
    }

    fn finish_write(&mut self, now: Duration, minute: u64, out: &mut Vec<LedgerAction>) {
        self.in_flight = None;
        self.retry_delay = MIN_RETRY_DELAY;
        if let Some(index) = self
            .pending
            .iter()
            .position(|sealed| sealed.minute == minute)
            && let Some(stored) = self.pending.remove(index)
        {
            self.pending_bytes -= stored.body.len();
        }
        if self.stopped {
            self.start_write(now, out);
        } else {
            self.next_write = now + CATCH_UP_DELAY;
        }
    }

    fn schedule_retry(&mut self, now: Duration, minute: u64) {
        self.in_flight = None;
        self.next_write = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        // The failed minute moves to the end, so that one refused object does not block the others.
        if self
            .pending
            .front()
            .is_some_and(|sealed| sealed.minute == minute)
        {
            self.pending.rotate_left(1);
        }
    }

    fn stop(&mut self, now: Duration, out: &mut Vec<LedgerAction>) {
        if self.stopped {
            return;
        }
        self.stopped = true;
        self.seal(self.open.minute + 1);
        self.next_write = now;
        self.start_write(now, out);
    }
}
