use {
    super::FleetDelta,
    std::{collections::BTreeMap, time::Duration},
};

/// Silence of all senders after which a node follows the store by itself.
const SENDERS_SILENT: Duration = Duration::from_millis(1_200);

/// Tells whether deltas of the list of backend servers arrive without a gap.
#[derive(Debug, Clone, Default)]
pub struct DeltaInbox {
    /// Last number by boot of the sender, and when it came.
    senders: BTreeMap<u64, (u64, Duration)>,
}

impl DeltaInbox {
    /// Takes a delta; false when rows before it were missed.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::peers::{DeltaInbox, FleetDelta},
    /// };
    ///
    /// let address = "10.0.0.1:7000".parse().unwrap();
    /// let delta = |sequence| FleetDelta { boot: 1, address, sequence, rows: Vec::new() };
    /// let mut inbox = DeltaInbox::default();
    /// assert!(!inbox.take(Duration::ZERO, &delta(4)));
    /// assert!(inbox.take(Duration::ZERO, &delta(5)));
    /// assert!(!inbox.take(Duration::ZERO, &delta(7)));
    /// ```
    pub fn take(&mut self, now: Duration, delta: &FleetDelta) -> bool {
        self.senders
            .retain(|_, (_, heard_at)| now < *heard_at + 4 * SENDERS_SILENT);
        let last = self.senders.get(&delta.boot).map(|(sequence, _)| *sequence);
        if last.is_some_and(|last| delta.sequence <= last) {
            // An older datagram that was overtaken brings no gap.
            return true;
        }
        self.senders.insert(delta.boot, (delta.sequence, now));
        last == Some(delta.sequence - 1)
    }

    /// True when no sender was heard lately.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        let heard = |(_, at): &(u64, Duration)| now < *at + SENDERS_SILENT;
        !self.senders.values().any(heard)
    }
}
