use {
    super::NodeBeacon,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time after its last beacon for which a node counts as alive.
const ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after its last beacon at which a node is removed.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest number of addresses kept for nodes that have not sent a beacon.
const MAX_UNHEARD_ADDRESSES: usize = 512;

value_type! {
    /// What the last beacon of another node said.
    pub struct PeerRecord {
        /// Boot number of the process, which changes when the node restarts.
        pub boot: u64,
        /// Sequence number of the latest beacon of this boot.
        pub sequence: u64,
        /// Failure domain of the node.
        pub failure_domain: String,
        /// True when the node is shutting down.
        pub stopping: bool,
        /// Time at which that beacon arrived.
        pub received_at: Duration,
    }
}

/// The other nodes known to a node, by address.
#[derive(Debug, Clone)]
pub struct PeerBook {
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, PeerRecord>,
    /// Addresses from the settings and from other nodes, at which no node has sent a beacon yet.
    unheard: BTreeSet<SocketAddr>,
    started: Duration,
}

impl PeerBook {
    /// Creates the book of the node at `own`. `seeds` are the addresses from its settings.
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
        let mut unheard: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        unheard.remove(&own);
        Self {
            own,
            peers: BTreeMap::new(),
            unheard,
            started: now,
        }
    }

    /// Records a beacon and the addresses that it names. Returns false when the beacon is this
    /// node's own or not newer than the latest one of its sender.
    pub fn take(&mut self, now: Duration, beacon: &NodeBeacon) -> bool {
        if beacon.address == self.own {
            return false;
        }
        for address in &beacon.known {
            self.add_address(*address);
        }
        let known = self.peers.get(&beacon.address);
        let is_old =
            |peer: &PeerRecord| peer.boot == beacon.boot && peer.sequence >= beacon.sequence;
        if known.is_some_and(is_old) {
            return false;
        }
        let record = PeerRecord {
            boot: beacon.boot,
            sequence: beacon.sequence,
            failure_domain: beacon.failure_domain.clone(),
            stopping: beacon.stopping,
            received_at: now,
        };
        self.unheard.remove(&beacon.address);
        self.peers.insert(beacon.address, record);
        true
    }

    /// Adds an address at which there may be a node. Known addresses are ignored, and new ones
    /// while too many are waiting for a first beacon.
    pub fn add_address(&mut self, address: SocketAddr) {
        let known = address == self.own || self.peers.contains_key(&address);
        if known || self.unheard.len() >= MAX_UNHEARD_ADDRESSES {
            return;
        }
        self.unheard.insert(address);
    }

    /// Removes nodes that have sent no beacon for the removal timeout.
    pub fn expire(&mut self, now: Duration) {
        self.peers
            .retain(|_, peer| now < peer.received_at + REMOVAL_TIMEOUT);
    }

    /// Addresses of all known nodes, whether or not a beacon has arrived from them.
    #[must_use]
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let heard = self.peers.keys().copied();
        heard.chain(self.unheard.iter().copied()).collect()
    }

    /// Addresses of the nodes that are alive, those shutting down included.
    #[must_use]
    pub fn heard(&self, now: Duration) -> Vec<SocketAddr> {
        let is_alive = |peer: &PeerRecord| now < peer.received_at + ALIVE_TIMEOUT;
        let heard = self.peers.iter().filter(|(_, peer)| is_alive(peer));
        heard.map(|(address, _)| *address).collect()
    }

    /// Number of nodes that are alive, this one included.
    #[must_use]
    pub fn gateways(&self, now: Duration) -> u32 {
        u32::try_from(self.heard(now).len() + 1).unwrap_or(u32::MAX)
    }

    /// Position of this node, from 0, in the address order of the living nodes of `failure_domain`
    /// that are not shutting down. Tasks that need only a few nodes go to the first ones.
    #[must_use]
    pub fn rank_in(&self, failure_domain: &str, now: Duration) -> usize {
        let mut rank = 0;
        for (address, peer) in &self.peers {
            let is_ranked = now < peer.received_at + ALIVE_TIMEOUT && !peer.stopping;
            if is_ranked && peer.failure_domain == failure_domain && *address < self.own {
                rank += 1;
            }
        }
        rank
    }

    /// Position of this node, from 0, in the address order of all living nodes that are not
    /// shutting down.
    #[must_use]
    pub fn rank(&self, now: Duration) -> usize {
        let is_ranked =
            |peer: &PeerRecord| now < peer.received_at + ALIVE_TIMEOUT && !peer.stopping;
        let before = self.peers.range(..self.own);
        before.filter(|(_, peer)| is_ranked(peer)).count()
    }

    /// Addresses of the living nodes of a failure domain, without this one.
    #[must_use]
    pub fn heard_in(&self, failure_domain: &str, now: Duration) -> Vec<SocketAddr> {
        let mut heard = Vec::new();
        for (address, peer) in &self.peers {
            let is_alive = now < peer.received_at + ALIVE_TIMEOUT;
            if is_alive && peer.failure_domain == failure_domain {
                heard.push(*address);
            }
        }
        heard
    }

    /// Time since the last beacon from any other node of a failure domain; since the start of this
    /// node when none is known.
    #[must_use]
    pub fn domain_silence(&self, failure_domain: &str, now: Duration) -> Duration {
        let mut last = self.started;
        for peer in self.peers.values() {
            if peer.failure_domain == failure_domain {
                last = last.max(peer.received_at);
            }
        }
        now.saturating_sub(last)
    }
}
