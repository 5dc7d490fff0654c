use {smallvec::SmallVec, std::time::Duration};

/// Largest number of versions kept; the oldest ones say how late the node is.
const MAX_HEARD: usize = 8;

/// Versions of the configuration that this node has heard of and does not use yet, with the time at
/// which it first heard of each.
#[derive(Debug, Clone, Default)]
pub struct VersionNews {
    heard: SmallVec<[(u64, Duration); MAX_HEARD]>,
}

impl VersionNews {
    /// Records that another node uses `version`. Returns true when this is the first news of a
    /// version above `own`, the one that this node uses, and above all heard of before.
    pub fn hear(&mut self, at: Duration, own: u64, version: u64) -> bool {
        let newest = self
            .heard
            .last()
            .map_or(own, |(newest, _)| own.max(*newest));
        if version <= newest {
            return false;
        }
        if self.heard.len() == MAX_HEARD {
            self.heard.pop();
        }
        self.heard.push((version, at));
        true
    }

    /// Time since the first news of a version that this node does not use yet; none without any.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let first = self.heard.first();
        first.map(|(_, since)| now.saturating_sub(*since))
    }

    /// Records that this node uses `version` from now on. Returns the time since it first heard of
    /// that version or of an older one that it has not used; none when it had not heard of any.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::peers::VersionNews};
    ///
    /// let at = Duration::from_millis;
    /// let mut news = VersionNews::default();
    /// assert!(news.hear(at(100), 3, 5));
    /// assert!(news.hear(at(200), 3, 7));
    /// assert_eq!(news.settle(at(350), 7), Some(at(250)));
    /// assert_eq!(news.settle(at(400), 9), None);
    /// ```
    pub fn settle(&mut self, at: Duration, version: u64) -> Option<Duration> {
        let first = self.heard.first().copied();
        self.heard.retain(|(heard, _)| *heard > version);
        let (oldest, since) = first?;
        (oldest <= version).then(|| at.saturating_sub(since))
    }
}
