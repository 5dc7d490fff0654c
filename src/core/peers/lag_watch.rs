use {crate::core::store::StoreVersion, std::time::Duration};

/// Time for which the list of a node may lack what another node has, before the node asks for it. The
/// bound for a leaving server is the shortest that depends on it, with 2 s.
const MAX_LAG: Duration = Duration::from_millis(600);

/// Notices that the list of backend servers of a node stays behind that of others, although the nodes
/// that it takes changes from go on sending: they may have lost the store and not know it yet.
#[derive(Debug, Clone, Default)]
pub struct LagWatch {
    /// First version heard of that is not covered, and when.
    missing: Option<(StoreVersion, Duration)>,
}

impl LagWatch {
    /// Takes the version that another node has; `complete` is the one up to which the own list has
    /// all rows. Returns true when the own list has lagged for too long and the other node can help.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::{peers::LagWatch, store::StoreVersion},
    /// };
    ///
    /// let (old, new) = (StoreVersion::new(1, 6), StoreVersion::new(1, 7));
    /// let mut watch = LagWatch::default();
    /// assert!(!watch.is_behind(Duration::ZERO, new, old));
    /// assert!(!watch.is_behind(Duration::from_secs(1), old, old));
    /// assert!(watch.is_behind(Duration::from_secs(1), new, old));
    /// assert!(!watch.is_behind(Duration::from_secs(1), new, new));
    /// ```
    pub fn is_behind(
        &mut self,
        now: Duration,
        heard: StoreVersion,
        complete: StoreVersion,
    ) -> bool {
        self.missing.take_if(|(version, _)| *version <= complete);
        if heard > complete && self.missing.is_none() {
            self.missing = Some((heard, now));
        }
        let lags = |(_, since): (StoreVersion, Duration)| now >= since + MAX_LAG;
        heard > complete && self.missing.is_some_and(lags)
    }
}
