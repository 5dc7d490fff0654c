use {
    smallvec::SmallVec,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Age after which the figures of a peer no longer count.
const FIGURES_LAST: Duration = Duration::from_millis(1_500);

wire_type! {
    /// Short name of a group and epoch in messages.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(transparent)]
    pub struct GroupTag(pub u64);

    /// What a gateway has running at one group.
    #[derive(Copy, Eq)]
    pub struct PeerLoad {
        /// The group.
        pub group: GroupTag,
        /// Requests sent and not ended.
        pub running: u16,
        /// Prompt tokens sent whose first event is not seen yet.
        pub backlog_tokens: u32,
    }
}

impl GroupTag {
    /// Derives the tag of a group and epoch.
    ///
    /// ```
    /// use toucanring::core::placement::GroupTag;
    ///
    /// assert_ne!(GroupTag::of("kochi-1", 1), GroupTag::of("kochi-1", 2));
    /// ```
    #[must_use]
    pub fn of(group: &str, epoch: u64) -> Self {
        // FNV-1a: the tag must be the same in every process.
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for byte in group.bytes().chain(epoch.to_le_bytes()) {
            hash ^= u64::from(byte);
            hash = hash.wrapping_mul(0x0100_0000_01b3);
        }
        Self(hash)
    }
}

/// Load that the other gateways have put on the groups.
#[derive(Debug, Clone, Default)]
pub struct PeerLoads {
    peers: BTreeMap<u64, (Duration, Vec<PeerLoad>)>,
    /// Running requests and backlog tokens of all peers by group.
    sums: HashMap<GroupTag, (u32, u64)>,
}

impl PeerLoads {
    /// Takes the figures of a peer; they replace its earlier ones.
    pub fn take(&mut self, now: Duration, peer: u64, loads: Vec<PeerLoad>) {
        for load in &loads {
            let sum = self.sums.entry(load.group).or_default();
            sum.0 += u32::from(load.running);
            sum.1 += u64::from(load.backlog_tokens);
        }
        if let Some((_, former)) = self.peers.insert(peer, (now, loads)) {
            self.subtract(&former);
        }
    }

    /// Drops figures that are too old.
    pub fn expire(&mut self, now: Duration) {
        let old = |(at, _): &(Duration, Vec<PeerLoad>)| now >= *at + FIGURES_LAST;
        let silent = self.peers.iter().filter(|(_, figures)| old(figures));
        let silent: SmallVec<[u64; 8]> = silent.map(|(peer, _)| *peer).collect();
        for peer in silent {
            let Some((_, former)) = self.peers.remove(&peer) else {
                continue;
            };
            self.subtract(&former);
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

    /// Requests and backlog tokens of all other gateways at a group.
    #[must_use]
    pub fn at_group(&self, group: GroupTag) -> (u32, f64) {
        let (running, tokens) = self.sums.get(&group).copied().unwrap_or_default();
        #[allow(clippy::cast_precision_loss)] // far below 2^52 tokens
        let tokens = tokens as f64;
        (running, tokens)
    }

    /// Gateways whose figures are in use.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.peers.len()
    }

    /// Age of the oldest figures in use.
    #[must_use]
    pub fn age(&self, now: Duration) -> Duration {
        let times = self.peers.values().map(|(at, _)| *at);
        times
            .min()
            .map_or(Duration::ZERO, |at| now.saturating_sub(at))
    }
}
