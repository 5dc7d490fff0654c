use {
    super::NodeBeacon,
    crate::core::{cold::NodeSighting, transfer::Holder},
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
        /// Version of the configuration that the node uses; 0 without any.
        pub routes_version: u64,
        /// True when the node is shutting down.
        pub stopping: bool,
        /// Number of nodes of its failure domain that the node knows, itself included.
        pub domain_nodes: u16,
        /// Time at which that beacon arrived.
        pub received_at: Duration,
    }
}

/// The other nodes known to a node, by address.
#[derive(Debug, Clone)]
pub struct PeerBook {
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, PeerRecord>,
    /// Addresses of `peers` by failure domain.
    domains: BTreeMap<String, BTreeSet<SocketAddr>>,
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
            domains: BTreeMap::new(),
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
        if let Some(known) = self.peers.get_mut(&beacon.address) {
            if known.boot == beacon.boot && known.sequence >= beacon.sequence {
                return false;
            }
            if known.failure_domain == beacon.failure_domain {
                known.boot = beacon.boot;
                known.sequence = beacon.sequence;
                known.routes_version = beacon.routes_version;
                known.stopping = beacon.stopping;
                known.domain_nodes = beacon.domain_nodes;
                known.received_at = now;
                return true;
            }
            let former = known.failure_domain.clone();
            self.leave_domain(&former, beacon.address);
        }
        let record = PeerRecord {
            boot: beacon.boot,
            sequence: beacon.sequence,
            failure_domain: beacon.failure_domain.clone(),
            routes_version: beacon.routes_version,
            stopping: beacon.stopping,
            domain_nodes: beacon.domain_nodes,
            received_at: now,
        };
        self.unheard.remove(&beacon.address);
        self.peers.insert(beacon.address, record);
        let domain = beacon.failure_domain.clone();
        self.domains
            .entry(domain)
            .or_default()
            .insert(beacon.address);
        true
    }

    fn leave_domain(&mut self, failure_domain: &str, address: SocketAddr) {
        let Some(addresses) = self.domains.get_mut(failure_domain) else {
            return;
        };
        addresses.remove(&address);
        if addresses.is_empty() {
            self.domains.remove(failure_domain);
        }
    }

    /// The known nodes of a failure domain, by address.
    fn peers_in(&self, failure_domain: &str) -> impl Iterator<Item = (SocketAddr, &PeerRecord)> {
        let addresses = self.domains.get(failure_domain).into_iter().flatten();
        addresses.filter_map(|address| Some((*address, self.peers.get(address)?)))
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
        let is_silent = |peer: &PeerRecord| now >= peer.received_at + REMOVAL_TIMEOUT;
        let removed = self.peers.extract_if(.., |_, peer| is_silent(peer));
        for (address, peer) in removed.collect::<Vec<_>>() {
            self.leave_domain(&peer.failure_domain, address);
        }
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

    /// True when this node is among the first `count` living nodes of `failure_domain`, by address,
    /// that are not shutting down. Tasks that need only a few nodes go to these.
    #[must_use]
    pub fn is_among_first(&self, count: usize, failure_domain: &str, now: Duration) -> bool {
        let before = self
            .peers_in(failure_domain)
            .take_while(|(address, _)| *address < self.own);
        let ranked =
            before.filter(|(_, peer)| now < peer.received_at + ALIVE_TIMEOUT && !peer.stopping);
        ranked.take(count).count() < count
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
        let peers = self.peers_in(failure_domain);
        let heard = peers.filter(|(_, peer)| now < peer.received_at + ALIVE_TIMEOUT);
        heard.map(|(address, _)| address).collect()
    }

    /// The last beacons of the known nodes of a failure domain, without this one.
    pub fn sightings<'a>(
        &'a self,
        failure_domain: &str,
    ) -> impl Iterator<Item = NodeSighting> + use<'a> {
        let addresses = self.domains.get(failure_domain).into_iter().flatten();
        addresses.filter_map(|address| {
            let peer = self.peers.get(address)?;
            Some(NodeSighting {
                address: *address,
                heard_at: peer.received_at,
                stopping: peer.stopping,
                known_nodes: peer.domain_nodes,
            })
        })
    }

    /// The living nodes that use a version of the configuration above `version`, seen from a node of
    /// `failure_domain`.
    #[must_use]
    pub fn holders_above(&self, version: u64, failure_domain: &str, now: Duration) -> Vec<Holder> {
        let mut holders = Vec::new();
        for (address, peer) in &self.peers {
            if peer.routes_version <= version || now >= peer.received_at + ALIVE_TIMEOUT {
                continue;
            }
            holders.push(Holder {
                address: *address,
                version: peer.routes_version,
                is_local: peer.failure_domain == failure_domain,
                heard_at: peer.received_at,
            });
        }
        holders
    }

    /// Time since the last beacon from any other node of a failure domain; since the start of this
    /// node when none is known.
    #[must_use]
    pub fn domain_silence(&self, failure_domain: &str, now: Duration) -> Duration {
        let heard = self.peers_in(failure_domain);
        let last = heard.map(|(_, peer)| peer.received_at).max();
        now.saturating_sub(last.unwrap_or(self.started).max(self.started))
    }
}
