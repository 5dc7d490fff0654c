use {
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    smallvec::SmallVec,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Up to this many peers, each message is sent to all of them instead of a random choice.
pub const MAX_BROADCAST_PEERS: usize = 8;

/// Addresses of the peers: the seeds from the settings, which are always kept, and those learned
/// from heartbeats.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    all: Vec<SocketAddr>,
    /// Index in `all` of the peer that [`Self::rotate`] returned last.
    cursor: usize,
}

impl PeerTable {
    /// Creates a table that holds the seeds; `own` is never returned as a peer.
    #[must_use]
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut table = Self {
            own,
            seeds: seeds.iter().copied().collect(),
            all: Vec::new(),
            cursor: 0,
        };
        table.set_learned(std::iter::empty());
        table
    }

    /// Replaces the learned addresses and keeps the seeds.
    pub fn set_learned(&mut self, learned: impl Iterator<Item = SocketAddr>) {
        let mut all = self.seeds.clone();
        all.extend(learned);
        all.remove(&self.own);
        self.all = all.into_iter().collect();
    }

    /// All peers in order of address.
    #[must_use]
    pub fn all(&self) -> &[SocketAddr] {
        &self.all
    }

    /// Chooses `count` random peers other than `except`, or all of them when there are at most
    /// [`MAX_BROADCAST_PEERS`] or `count`.
    pub fn choose(
        &self,
        count: usize,
        except: Option<SocketAddr>,
        rng: &mut ChaCha8Rng,
    ) -> SmallVec<[SocketAddr; 4]> {
        let mut targets = SmallVec::new();
        if self.all.len() <= MAX_BROADCAST_PEERS.max(count) {
            targets.extend(self.all.iter().copied());
            targets.retain(|target| Some(*target) != except);
            return targets;
        }
        while targets.len() < count {
            let target = self.all[rng.random_range(0..self.all.len())];
            if Some(target) == except || targets.contains(&target) {
                continue;
            }
            targets.push(target);
        }
        targets
    }

    /// Returns the next `count` peers in rotation, so that each is reached equally often.
    pub fn rotate(&mut self, count: usize) -> SmallVec<[SocketAddr; 4]> {
        let mut targets = SmallVec::new();
        for _ in 0..count.min(self.all.len()) {
            self.cursor = (self.cursor + 1) % self.all.len();
            targets.push(self.all[self.cursor]);
        }
        targets
    }
}
