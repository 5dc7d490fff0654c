use {
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Age at which the load report of a peer expires.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);

wire_type! {
    /// Hash of the name and epoch of a group, which stands for them in load reports.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct GroupTag(pub u64);

    /// Load that one gateway has put on one group; part of its beacon.
    #[derive(Copy, Eq)]
    pub struct PeerLoad {
        /// Group that carries the load.
        pub group: GroupTag,
        /// Requests sent to the group that have not ended; 65,535 stands for all larger numbers.
        pub running: u16,
        /// Prompt tokens of the requests that have not received a first event yet.
        pub backlog_tokens: u32,
    }
}

impl GroupTag {
    /// Computes the tag of a group and epoch.
    ///
    /// ```
    /// use toucanring::core::placement::GroupTag;
    ///
    /// assert_ne!(GroupTag::of("kochi-1", 1), GroupTag::of("kochi-1", 2));
    /// ```
    #[must_use]
    pub fn of(group: &str, epoch: u64) -> Self {
        // FNV-1a, because the tag must be the same in every process.
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in group.bytes().chain(epoch.to_le_bytes()) {
            hash ^= u64::from(byte);
            hash = hash.wrapping_mul(0x0100_0000_01b3);
        }
        Self(hash)
    }
}

/// Load that the other gateways have put on the groups, from their latest load reports.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    /// Time and content of the latest report, by the boot number of the peer.
    peers: BTreeMap<u64, (Duration, Vec<PeerLoad>)>,
    /// Running requests and backlog tokens of all peers, by group.
    sums: HashMap<GroupTag, (u32, u64)>,
}

impl PeerLoads {
    /// Replaces the load report of a peer. `peer` is the boot number from its beacon.
    pub fn take(&mut self, now: Duration, peer: u64, loads: Vec<PeerLoad>) {
        for load in &loads {
            let sum = self.sums.entry(load.group).or_default();
            sum.0 += u32::from(load.running);
            sum.1 += u64::from(load.backlog_tokens);
        }
        if let Some((_, previous)) = self.peers.insert(peer, (now, loads)) {
            self.subtract(&previous);
        }
    }

    /// Drops expired load reports.
    pub fn expire(&mut self, now: Duration) {
        let is_expired = |(at, _): &(Duration, Vec<PeerLoad>)| now >= *at + PEER_LOAD_TTL;
        let expired = self.peers.iter().filter(|(_, report)| is_expired(report));
        let expired: SmallVec<[u64; 8]> = expired.map(|(peer, _)| *peer).collect();
        for peer in expired {
            let Some((_, previous)) = self.peers.remove(&peer) else {
                continue;
            };
            self.subtract(&previous);
        }
    }

    fn subtract(&mut self, loads: &[PeerLoad]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.group) else {
                continue;
            };
            sum.0 = sum.0.saturating_sub(u32::from(load.running));
            sum.1 = sum.1.saturating_sub(u64::from(load.backlog_tokens));
            if *sum == (0, 0) {
                self.sums.remove(&load.group);
            }
        }
    }

    /// Running requests and backlog tokens of all other gateways at a group; zero when no report
    /// names the group.
    #[must_use]
    pub fn at_group(&self, group: GroupTag) -> (u32, f64) {
        let (running, tokens) = self.sums.get(&group).copied().unwrap_or_default();
        #[allow(clippy::cast_precision_loss)] // far below 2^52 tokens
        let tokens = tokens as f64;
        (running, tokens)
    }

    /// Number of other gateways whose load report has not expired.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.peers.len()
    }

    /// Mean age of the load reports in use; zero without any.
    #[must_use]
    pub fn mean_age(&self, now: Duration) -> Duration {
        let ages = self.peers.values().map(|(at, _)| now.saturating_sub(*at));
        let count = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        ages.sum::<Duration>() / count.max(1)
    }

    /// Age of the oldest load report in use; zero without any.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        let times = self.peers.values().map(|(at, _)| *at);
        times
            .min()
            .map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }
}
