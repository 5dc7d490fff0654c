use {
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    smallvec::SmallVec,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Up to this many peers, everything goes to all of them.
pub const FULL_PEERS: usize = 8;

/// Addresses of the peers: those of the settings, which are never forgotten,
/// and those learned from heartbeats.
#[derive(Debug, Clone)]
pub struct PeerTable {
    own: SocketAddr,
    seeds: BTreeSet<SocketAddr>,
    all: Vec<SocketAddr>,
    cursor: usize,
}

impl PeerTable {
    /// Creates a table with the addresses of the settings.
    #[must_use]
    pub fn new(own: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut table = Self {
            own,
            seeds: seeds.iter().copied().collect(),
            all: Vec::new(),
            cursor: 0,
        };
        table.learn(std::iter::empty());
        table
    }

    /// Replaces the learned addresses.
    pub fn learn(&mut self, learned: impl Iterator<Item = SocketAddr>) {
        let mut all = self.seeds.clone();
        all.extend(learned);
        all.remove(&self.own);
        self.all = all.into_iter().collect();
    }

    /// All peers.
    #[must_use]
    pub fn all(&self) -> &[SocketAddr] {
        &self.all
    }

    /// Chooses `count` random peers without `except`; all when they are few.
    pub fn choose(
        &self,
        count: usize,
        except: Option<SocketAddr>,
        rng: &mut ChaCha8Rng,
    ) -> SmallVec<[SocketAddr; 4]> {
        let mut targets = SmallVec::new();
        if self.all.len() <= FULL_PEERS.max(count) {
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

    /// Takes the next `count` peers in turn, so that each is reached equally often.
    pub fn rotate(&mut self, count: usize) -> SmallVec<[SocketAddr; 4]> {
        let mut targets = SmallVec::new();
        for _ in 0..count.min(self.all.len()) {
            self.cursor = (self.cursor + 1) % self.all.len();
            targets.push(self.all[self.cursor]);
        }
        targets
    }
}
