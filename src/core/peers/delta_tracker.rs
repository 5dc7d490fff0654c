use {
    super::FleetDelta,
    crate::core::store::StoreVersion,
    std::{collections::BTreeMap, time::Duration},
};

/// Time without deltas from any sender after which a node reads from the store itself.
const SENDER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Detects gaps in the sequence of deltas of the list of backend servers, for each sender.
#[derive(Debug, Clone, Default)]
pub struct DeltaTracker {
    /// Highest sequence number and its time of arrival, by boot number of the sender.
    senders: BTreeMap<u64, (u64, Duration)>,
    /// Version up to which the senders have sent all changes, as far as none was missed.
    complete_to: StoreVersion,
    /// When a sender last showed that it follows the store.
    followed_at: Option<Duration>,
}

impl DeltaTracker {
    /// Records the arrival of a delta. Returns false when rows before it may have been missed,
    /// which includes the first delta of a sender.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::peers::{DeltaTracker, FleetDelta},
    /// };
    ///
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// let delta = |sequence| FleetDelta {
    ///     boot: 1,
    ///     address,
    ///     sequence,
    ///     complete_to: Default::default(),
    ///     rows: Vec::new(),
    /// };
    /// let mut delta_sequences = DeltaTracker::default();
    /// assert!(!delta_sequences.take(Duration::ZERO, &delta(4)));
    /// assert!(delta_sequences.take(Duration::ZERO, &delta(5)));
    /// assert!(!delta_sequences.take(Duration::ZERO, &delta(7)));
    /// ```
    pub fn take(&mut self, now: Duration, delta: &FleetDelta) -> bool {
        self.senders
            .retain(|_, (_, received_at)| now < *received_at + 4 * SENDER_TIMEOUT);
        let last = self.senders.get(&delta.boot).map(|(sequence, _)| *sequence);
        if last.is_some_and(|last| delta.sequence <= last) {
            // The datagram was overtaken by a later one. The gap, if any, was reported then.
            return true;
        }
        self.senders.insert(delta.boot, (delta.sequence, now));
        if delta.complete_to.number > 0 {
            self.followed_at = Some(now);
        }
        let gapless = last.is_some_and(|last| last.checked_add(1) == Some(delta.sequence));
        if gapless {
            self.complete_to = self.complete_to.max(delta.complete_to);
        }
        gapless
    }

    /// Version up to which the senders have sent all changes; number 0 before the first delta.
    #[must_use]
    pub const fn complete_to(&self) -> StoreVersion {
        self.complete_to
    }

    /// True when no sender has shown within the sender timeout that it follows the store.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        self.followed_at.is_none_or(|at| now >= at + SENDER_TIMEOUT)
    }
}
