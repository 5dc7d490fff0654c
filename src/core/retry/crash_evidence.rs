use {smallvec::SmallVec, std::time::Duration};

/// Most crashes kept for a subject.
const MAX_CRASHES: usize = 32;

/// Time for which a subject is blocked at first; doubled with each further block.
const FIRST_BLOCK: Duration = Duration::from_mins(1);

/// Most doublings of a block, so that repaired servers are tried again within minutes.
const MAX_DOUBLINGS: u8 = 3;

value_type! {
    /// A server that crashed while a request with the subject waited for its first event.
    #[derive(Copy, Eq)]
    pub struct SubjectCrash {
        /// Hash of the identifier and the start time of the server. Restarts of a server count as
        /// different servers.
        pub server: u32,
        /// Hash of the request that waited.
        pub request: u32,
        /// Time of the crash.
        pub at: Duration,
    }
}

/// The crashes that speak against one subject.
///
/// Merging is a union, so that the order and the repetition of reports don't matter.
#[derive(Debug, Clone, Default)]
pub struct CrashEvidence {
    /// Ordered by time, each server once.
    crashes: SmallVec<[SubjectCrash; 4]>,
    /// Position of the subject in the prompts, counted from 1; see [`Self::raise_depth`].
    depth: u8,
    /// Highest number of blocks that this node or a peer has counted.
    blocks: u8,
    /// End and number of the last block that this node has begun.
    last_block: Option<(Duration, u8)>,
}

impl CrashEvidence {
    /// The crashes kept, by time.
    #[must_use]
    pub fn crashes(&self) -> &[SubjectCrash] {
        &self.crashes
    }

    /// Number of blocks so far, the present one included.
    #[must_use]
    pub const fn blocks(&self) -> u8 {
        self.blocks
    }

    /// Highest position of the subject in a prompt.
    #[must_use]
    pub const fn depth(&self) -> u8 {
        self.depth
    }

    /// Time of the latest crash; none without crashes.
    #[must_use]
    pub fn latest(&self) -> Option<Duration> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Adds a crash; returns whether it was not known.
    pub fn add(&mut self, crash: SubjectCrash) -> bool {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.server == crash.server) {
            // Nodes see a crash at slightly different times and beside different requests.
            known.at = known.at.min(crash.at);
            known.request = known.request.min(crash.request);
            self.crashes.sort_by_key(|crash| crash.at);
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.at);
        if self.crashes.len() > MAX_CRASHES {
            self.remove_densest();
        }
        let mut kept = self.crashes.iter();
        kept.any(|known| known.server == crash.server)
    }

    /// Removes the crash that follows soonest on another, but not the latest one, which times the
    /// block. The others show best over which time the crashes came.
    fn remove_densest(&mut self) {
        let gaps = self
            .crashes
            .windows(2)
            .map(|pair| pair[1].at.saturating_sub(pair[0].at));
        let inner = gaps.take(MAX_CRASHES - 1).enumerate();
        if let Some((index, _)) = inner.min_by_key(|(_, gap)| *gap) {
            self.crashes.remove(index + 1);
        }
    }

    /// Raises the number of blocks to that of a peer, which may have counted more of them.
    pub fn raise_blocks(&mut self, blocks: u8) {
        self.blocks = self.blocks.max(blocks);
    }

    /// Raises the position of the subject. Of two parts with the same crashes the later one in the
    /// prompts is at fault more likely, since more requests share the earlier one.
    pub fn raise_depth(&mut self, depth: u8) {
        self.depth = self.depth.max(depth);
    }

    /// Removes the crashes up to `until`, since the subject was proven sound.
    pub fn forget(&mut self, until: Duration) {
        self.crashes.retain(|crash| crash.at > until);
    }

    /// Begins a block, or extends the present one to the latest crash; returns the end of the
    /// block, which may be over. A crash after the end of a block begins the next one.
    pub fn extend_block(&mut self) -> Duration {
        let latest = self.latest().unwrap_or_default();
        let counted = match self.last_block {
            None => 1,
            Some((until, number)) if latest >= until => number.saturating_add(1),
            Some((_, number)) => number,
        };
        self.blocks = self.blocks.max(counted);
        let doublings = self.blocks.saturating_sub(1).min(MAX_DOUBLINGS);
        let until = latest + FIRST_BLOCK * 2_u32.pow(u32::from(doublings));
        self.last_block = Some((until, self.blocks));
        until
    }
}
