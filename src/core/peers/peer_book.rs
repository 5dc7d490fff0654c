use {
    super::NodeBeacon,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Silence after which a node no longer counts.
const COUNTED_FOR: Duration = Duration::from_secs(3);

/// Silence after which a node is forgotten.
const KEPT_FOR: Duration = Duration::from_secs(20);

/// Most addresses kept that were only heard of.
const MOST_HEARSAY: usize = 512;

value_type! {
    /// Another node.
    pub struct PeerRecord {
        /// Boot of the process.
        pub boot: u64,
        /// Highest number of a beacon.
        pub sequence: u64,
        /// Failure domain.
        pub failure_domain: String,
        /// True when it is about to end.
        pub stopping: bool,
        /// Time of the last beacon.
        pub heard_at: Duration,
    }
}

/// The nodes that are known, by address.
#[derive(Debug, Clone)]
pub struct PeerBook {
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, PeerRecord>,
    /// Addresses from settings and other nodes that have not been heard.
    hearsay: BTreeSet<SocketAddr>,
    started: Duration,
}

impl PeerBook {
    /// Creates the book of the node at `own`.
    ///
    /// ```
    /// use {std::time::Duration, toucanring::core::peers::PeerBook};
    ///
    /// let own = "10.0.0.1:7000".parse().unwrap();
    /// let seed = "10.0.0.2:7000".parse().unwrap();
    /// let book = PeerBook::new(own, &[own, seed], Duration::ZERO);
    /// assert_eq!(book.addresses(), [seed]);
    /// assert_eq!(book.gateways(Duration::ZERO), 1);
    /// ```
    #[must_use]
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], now: Duration) -> Self {
        let mut hearsay: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        hearsay.remove(&own);
        Self {
            own,
            peers: BTreeMap::new(),
            hearsay,
            started: now,
        }
    }

    /// Takes a beacon; false when it is an old one.
    pub fn take(&mut self, now: Duration, beacon: &NodeBeacon) -> bool {
        if beacon.address == self.own {
            return false;
        }
        for address in &beacon.known {
            self.hear_of(*address);
        }
        let known = self.peers.get(&beacon.address);
        let old = |peer: &PeerRecord| peer.boot == beacon.boot && peer.sequence >= beacon.sequence;
        if known.is_some_and(old) {
            return false;
        }
        let record = PeerRecord {
            boot: beacon.boot,
            sequence: beacon.sequence,
            failure_domain: beacon.failure_domain.clone(),
            stopping: beacon.stopping,
            heard_at: now,
        };
        self.hearsay.remove(&beacon.address);
        self.peers.insert(beacon.address, record);
        true
    }

    /// Takes an address that another node or the store named.
    pub fn hear_of(&mut self, address: SocketAddr) {
        let known = address == self.own || self.peers.contains_key(&address);
        if known || self.hearsay.len() >= MOST_HEARSAY {
            return;
        }
        self.hearsay.insert(address);
    }

    /// Forgets nodes that have been silent for long.
    pub fn expire(&mut self, now: Duration) {
        self.peers.retain(|_, peer| now < peer.heard_at + KEPT_FOR);
    }

    /// Addresses to send to.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let heard = self.peers.keys().copied();
        heard.chain(self.hearsay.iter().copied()).collect()
    }

    /// Addresses that were heard lately, for other nodes.
    #[must_use]
    pub fn heard(&self, now: Duration) -> Vec<SocketAddr> {
        let lately = |peer: &PeerRecord| now < peer.heard_at + COUNTED_FOR;
        let heard = self.peers.iter().filter(|(_, peer)| lately(peer));
        heard.map(|(address, _)| *address).collect()
    }

    /// Nodes heard lately, this one included.
    #[must_use]
    pub fn gateways(&self, now: Duration) -> u32 {
        u32::try_from(self.heard(now).len() + 1).unwrap_or(u32::MAX)
    }

    /// Place of this node among those of its failure domain that were heard
    /// lately, by address. The first ones do what needs only a few.
    #[must_use]
    pub fn rank_in(&self, failure_domain: &str, now: Duration) -> usize {
        let mut rank = 0;
        for (address, peer) in &self.peers {
            let lately = now < peer.heard_at + COUNTED_FOR && !peer.stopping;
            if lately && peer.failure_domain == failure_domain && *address < self.own {
                rank += 1;
            }
        }
        rank
    }

    /// Place of this node among all that were heard lately, by address.
    #[must_use]
    pub fn rank(&self, now: Duration) -> usize {
        let lately = |peer: &PeerRecord| now < peer.heard_at + COUNTED_FOR && !peer.stopping;
        let before = self.peers.range(..self.own);
        before.filter(|(_, peer)| lately(peer)).count()
    }

    /// Addresses of the nodes of a failure domain that were heard lately.
    #[must_use]
    pub fn heard_in(&self, failure_domain: &str, now: Duration) -> Vec<SocketAddr> {
        let mut heard = Vec::new();
        for (address, peer) in &self.peers {
            let lately = now < peer.heard_at + COUNTED_FOR;
            if lately && peer.failure_domain == failure_domain {
                heard.push(*address);
            }
        }
        heard
    }

    /// Time for which no node of a failure domain was heard; counted from the
    /// start when none ever was.
    #[must_use]
    pub fn domain_silence(&self, failure_domain: &str, now: Duration) -> Duration {
        let mut last = self.started;
        for peer in self.peers.values() {
            if peer.failure_domain == failure_domain {
                last = last.max(peer.heard_at);
            }
        }
        now.saturating_sub(last)
    }
}
