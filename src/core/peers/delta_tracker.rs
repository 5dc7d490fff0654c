use {
    super::FleetDelta,
    crate::core::store::StoreVersion,
    std::{collections::BTreeMap, time::Duration},
};

/// Time without deltas from any sender after which a node reads from the store itself.
const SENDER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after a sender has said that it lost the store for which it is still relied on: its next
/// call may be answered, and else all nodes of a failure domain would read the list at once.
const LOSS_CONFIRMATION: Duration = Duration::from_millis(300);

value_type! {
    /// What a node knows of a sender of deltas.
    #[derive(Copy)]
    struct DeltaSender {
        /// Highest sequence number of its deltas, and when it arrived.
        sequence: u64,
        received_at: Duration,
        /// Time until which it counts as following the store.
        follows_until: Duration,
    }
}

/// Detects gaps in the sequence of deltas of the list of backend servers, for each sender.
#[derive(Debug, Clone, Default)]
pub struct DeltaTracker {
    /// Senders by their boot numbers.
    senders: BTreeMap<u64, DeltaSender>,
    /// Version up to which the senders have sent all changes, as far as none was missed.
    complete_to: StoreVersion,
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
            .retain(|_, sender| now < sender.received_at + 4 * SENDER_TIMEOUT);
        let known = self.senders.get(&delta.boot).copied();
        let last = known.map(|sender| sender.sequence);
        if last.is_some_and(|last| delta.sequence <= last) {
            // The datagram was overtaken by a later one. The gap, if any, was reported then.
            return true;
        }
        let known_until = known.map_or(Duration::ZERO, |sender| sender.follows_until);
        let follows_until = if delta.complete_to.number > 0 {
            now + SENDER_TIMEOUT
        } else if delta.rows.is_empty() {
            known_until.min(now + LOSS_CONFIRMATION)
        } else {
            known_until
        };
        let sender = DeltaSender {
            sequence: delta.sequence,
            received_at: now,
            follows_until,
        };
        self.senders.insert(delta.boot, sender);
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

    /// True when no sender has shown within the sender timeout that it follows the store, or all
    /// have said a while ago that they do not.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::{
    ///         peers::{DeltaTracker, FleetDelta},
    ///         store::StoreVersion,
    ///     },
    /// };
    ///
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// let delta = |sequence, number| FleetDelta {
    ///     boot: 1,
    ///     address,
    ///     sequence,
    ///     complete_to: StoreVersion::new(0, number),
    ///     rows: Vec::new(),
    /// };
    /// let mut tracker = DeltaTracker::default();
    /// tracker.take(Duration::from_millis(100), &delta(1, 12));
    /// assert!(!tracker.is_silent(Duration::from_millis(200)));
    /// tracker.take(Duration::from_millis(200), &delta(2, 0));
    /// assert!(!tracker.is_silent(Duration::from_millis(200)));
    /// assert!(tracker.is_silent(Duration::from_millis(500)));
    /// ```
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        let mut senders = self.senders.values();
        !senders.any(|sender| now < sender.follows_until)
    }
}
