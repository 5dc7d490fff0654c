use std::time::Duration;

/// Part of the bound for a drain that a node may be suspended without checking its marks afterwards.
/// The rest is for the way of the marks and for the requests that were chosen before.
const GAP_DIVISOR: u32 = 4;

/// Shortest time without a check that counts as a suspension. Checks are 30 ms apart, and a node with
/// a small share of a core pauses for some of them.
const MIN_GAP: Duration = Duration::from_millis(500);

/// Longest time that requests are held after a suspension. A node that hears nobody for so long has
/// no contact to others.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Tells whether the marks of a node may be outdated, because the node was suspended: a drain may
/// have begun meanwhile, and the beacons in the buffer of its socket are from before.
///
/// Datagrams are read in the order of their arrival. A beacon that the node sends to itself after the
/// suspension therefore arrives after all of those, and the next beacon of another node is news.
#[derive(Debug, Clone, Default)]
pub struct DrainFreshness {
    /// Longest time between two checks that does not count as a suspension; none when the
    /// deployment has no bound for drains.
    max_gap: Option<Duration>,
    checked_at: Duration,
    /// End of a suspension after which no news have arrived.
    resumed_at: Option<Duration>,
    /// Number of the first own beacon that was sent to this node itself after it.
    own_beacon: Option<u64>,
    /// True when that beacon or a later one has arrived.
    buffer_read: bool,
}

impl DrainFreshness {
    /// Creates the state at the start of a node. `bound` is the longest time after which no request
    /// may reach a drained failure domain; without it nothing is held.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::drain::DrainFreshness};
    ///
    /// let at = Duration::from_secs;
    /// let mut freshness = DrainFreshness::new(Some(at(5)), at(0));
    /// assert_eq!(freshness.check(at(1)), None);
    /// assert_eq!(freshness.check(at(9)), Some(at(8)));
    /// assert!(freshness.is_outdated(at(9)));
    /// assert!(freshness.send_own_beacon(at(9), 41));
    /// freshness.note_own_beacon(41);
    /// assert!(freshness.note_peer_beacon());
    /// assert!(!freshness.is_outdated(at(9)));
    /// ```
    #[must_use]
    pub fn new(bound: Option<Duration>, now: Duration) -> Self {
        Self {
            max_gap: bound.map(|bound| (bound / GAP_DIVISOR).max(MIN_GAP)),
            checked_at: now,
            ..Self::default()
        }
    }

    /// Records that the node runs; to be called at short intervals and before each attempt. Returns
    /// the length of a suspension that has just ended.
    pub fn check(&mut self, now: Duration) -> Option<Duration> {
        let gap = now.saturating_sub(self.checked_at);
        self.checked_at = now;
        self.max_gap.filter(|max| gap > *max)?;
        self.resumed_at = Some(now);
        self.own_beacon = None;
        self.buffer_read = false;
        Some(gap)
    }

    /// True while a drain that began during a suspension may not be known yet.
    #[must_use]
    pub fn is_outdated(&self, now: Duration) -> bool {
        self.held_until(now).is_some()
    }

    /// Time until which attempts are held unless news arrive; none while nothing is held.
    #[must_use]
    pub fn held_until(&self, now: Duration) -> Option<Duration> {
        let until = self.resumed_at? + MAX_HOLD;
        (now < until).then_some(until)
    }

    /// True when the node shall send its beacon with this number to itself.
    pub fn send_own_beacon(&mut self, now: Duration, sequence: u64) -> bool {
        let is_outdated = self.is_outdated(now);
        if is_outdated {
            self.own_beacon.get_or_insert(sequence);
        }
        is_outdated
    }

    /// Records the arrival of a beacon that this node has sent to itself. One from before the
    /// suspension counts for nothing.
    pub fn note_own_beacon(&mut self, sequence: u64) {
        self.buffer_read |= self.own_beacon.is_some_and(|first| sequence >= first);
    }

    /// Records the marks of another node. True when they end the time in which the own ones may be
    /// outdated.
    pub const fn note_peer_beacon(&mut self) -> bool {
        let ends = self.buffer_read && self.resumed_at.is_some();
        if ends {
            self.resumed_at = None;
        }
        ends
    }
}
