use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Time after its last beacon for which a node counts as heard.
const HEARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after its last beacon for which a node keeps its share, unless the reserve of the plan permits
/// another one to take it over before. A node that is cut off stops after [`HEARD_TIMEOUT`]; the rest
/// is more than a second, so that both do not count in one second.
const SHARE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// Time after its last beacon for which a node counts as known. It must exceed the longest partition:
/// otherwise the smaller part would forget the others and regard itself as the majority.
const MEMORY: Duration = Duration::from_mins(10);

/// Most nodes that are remembered. The one that was heard longest ago is dropped first.
const MAX_NODES: usize = 1_024;

/// Time after the start of this node for which it sends nothing to cold servers: it does not know
/// the other nodes yet, nor what it sent before a restart.
const START_DELAY: Duration = Duration::from_secs(2);

/// Time without an update after which the list of nodes is not used.
const MAX_UPDATE_AGE: Duration = Duration::from_secs(1);

value_type! {
    /// What the last beacon of a node of the own failure domain said.
    #[derive(Copy)]
    pub struct NodeSighting {
        /// Address of the node.
        pub address: SocketAddr,
        /// Time at which the beacon arrived.
        pub heard_at: Duration,
        /// True when the node is shutting down.
        pub stopping: bool,
        /// Number of nodes of the failure domain that the node knows, itself included.
        pub known_nodes: u16,
    }

    /// Nodes with a share that come before this one in the rendezvous order of a server.
    #[derive(Copy, Eq)]
    pub struct ServerRank {
        /// Nodes that are heard.
        pub heard: usize,
        /// Nodes that are not heard any more, and may still send.
        pub silent: usize,
    }

    /// Whether this node may send to cold servers at all.
    #[derive(Copy, Eq)]
    pub enum SendRight {
        /// It hears enough of the other nodes.
        Granted,
        /// It has started recently, or was suspended, and waits until this time.
        Starting(Duration),
        /// It hears too few of the nodes that it knows.
        Isolated,
    }
}

/// The nodes of the own failure domain, this one included, as far as known.
#[derive(Debug, Clone)]
pub struct NodeRoster {
    own: SocketAddr,
    nodes: BTreeMap<SocketAddr, NodeSighting>,
    quiet_until: Duration,
    updated_at: Duration,
    hears_enough: bool,
    /// Nodes that have a share, this one included, by address, and whether each is heard.
    sharers: Vec<(SocketAddr, bool)>,
    revision: u64,
}

impl NodeRoster {
    /// Creates the roster of the node at `own`, which starts now.
    #[must_use]
    pub fn new(own: SocketAddr, now: Duration) -> Self {
        Self {
            own,
            nodes: BTreeMap::new(),
            quiet_until: now + START_DELAY,
            updated_at: now,
            hears_enough: true,
            sharers: vec![(own, true)],
            revision: 0,
        }
    }

    /// Takes the last beacons of the other nodes of the failure domain. To be called several times a
    /// second. After a long gap, in which this process did not run, it counts as started again.
    pub fn update(&mut self, now: Duration, heard: impl IntoIterator<Item = NodeSighting>) {
        if now >= self.updated_at + HEARD_TIMEOUT {
            self.quiet_until = now + START_DELAY;
        }
        self.updated_at = now;
        for sighting in heard {
            self.nodes.insert(sighting.address, sighting);
        }
        self.nodes.remove(&self.own);
        self.forget(now);
        self.hears_enough = self.hears_majority(now);
        let mut sharers = vec![(self.own, true)];
        for node in self.nodes.values() {
            if now < node.heard_at + SHARE_TIMEOUT {
                sharers.push((node.address, now < node.heard_at + HEARD_TIMEOUT));
            }
        }
        sharers.sort_unstable();
        if sharers != self.sharers {
            self.sharers = sharers;
            self.revision += 1;
        }
    }

    /// Removes nodes that have been silent for the memory, and stopping ones after the share timeout.
    fn forget(&mut self, now: Duration) {
        self.nodes.retain(|_, node| {
            let memory = if node.stopping { SHARE_TIMEOUT } else { MEMORY };
            now < node.heard_at + memory
        });
        while self.nodes.len() > MAX_NODES {
            let oldest = self.nodes.values().min_by_key(|node| node.heard_at);
            let Some(address) = oldest.map(|node| node.address) else {
                return;
            };
            self.nodes.remove(&address);
        }
    }

    /// True when more than half of the known nodes are heard, or half of them with the first one by
    /// address: of two halves that do not hear each other only one may send. Nodes that know more
    /// than this one count, since it may have started while it was cut off from the others.
    fn hears_majority(&self, now: Duration) -> bool {
        let is_heard = |node: &&NodeSighting| now < node.heard_at + HEARD_TIMEOUT;
        let own_known = self.known();
        let heard = self.nodes.values().filter(is_heard);
        let others_known = heard.clone().map(|node| node.known_nodes.into());
        let known = own_known.max(others_known.max().unwrap_or(0));
        let heard = heard.count() + 1;
        let first = self.nodes.values().next();
        let hears_first = first.is_none_or(|node| node.address > self.own || is_heard(&node));
        2 * heard > known || (2 * heard == known && known == own_known && hears_first)
    }

    /// Number of nodes that this node knows by itself, itself included.
    #[must_use]
    pub fn known(&self) -> usize {
        self.nodes.len() + 1
    }

    /// Whether this node may send to cold servers at all.
    #[must_use]
    pub fn right(&self, now: Duration) -> SendRight {
        if now < self.quiet_until {
            return SendRight::Starting(self.quiet_until);
        }
        let is_current = now < self.updated_at + MAX_UPDATE_AGE;
        if is_current && self.hears_enough {
            SendRight::Granted
        } else {
            SendRight::Isolated
        }
    }

    /// Number of nodes that have a share of the requests to cold servers, this one included.
    #[must_use]
    pub const fn sharers(&self) -> usize {
        self.sharers.len()
    }

    /// Counter that grows with each change of the list of sharers.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Sharers that come before this node in the rendezvous order of a server. Removing or adding a
    /// node moves the others by one place at most.
    #[must_use]
    pub fn rank(&self, server: &str) -> ServerRank {
        let own = (weight(self.own, server), self.own);
        let mut rank = ServerRank {
            heard: 0,
            silent: 0,
        };
        for (address, is_heard) in &self.sharers {
            if (weight(*address, server), *address) <= own {
                continue;
            }
            if *is_heard {
                rank.heard += 1;
            } else {
                rank.silent += 1;
            }
        }
        rank
    }
}

/// Rendezvous weight of a node for a server, the same in every process.
fn weight(node: SocketAddr, server: &str) -> u64 {
    // FNV-1a, and the finalizer of MurmurHash3, without which similar addresses would get similar
    // weights.
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    let mut add = |byte: u8| {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    };
    server.bytes().for_each(&mut add);
    match node {
        SocketAddr::V4(node) => node.ip().octets().into_iter().for_each(&mut add),
        SocketAddr::V6(node) => node.ip().octets().into_iter().for_each(&mut add),
    }
    node.port().to_le_bytes().into_iter().for_each(&mut add);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
