use std::collections::{HashMap, VecDeque};

/// Most prefixes remembered; a gateway sees a few hundred distinct ones.
const MOST_PREFIXES: usize = 4_096;

/// Weight of a group for a prefix; the group with the highest weight is its
/// home, on every gateway alike and without exchange.
///
/// ```
/// use toucanring::core::routing::rendezvous_weight;
///
/// assert_eq!(rendezvous_weight(1, 2), rendezvous_weight(1, 2));
/// assert_ne!(rendezvous_weight(1, 2), rendezvous_weight(1, 3));
/// ```
#[must_use]
pub const fn rendezvous_weight(prefix: u64, group: u64) -> u64 {
    // The finalizer of SplitMix64, which spreads each input bit over the output.
    let mut mixed = prefix ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Which prefix this gateway sent where.
///
/// Cache events of the engines arrive late and with gaps, so the gateway
/// counts on a cached prefix only where it sent that prefix itself.
#[derive(Debug, Clone, Default)]
pub struct PrefixAffinity {
    sent: HashMap<(u64, u64), u32>,
    order: VecDeque<(u64, u64)>,
}

impl PrefixAffinity {
    /// Notes that a prefix of `tokens` tokens was sent to a group.
    pub fn note(&mut self, prefix: u64, group: u64, tokens: u32) {
        let key = (prefix, group);
        if self.sent.insert(key, tokens).is_none() {
            self.order.push_back(key);
        }
        if self.order.len() <= MOST_PREFIXES {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.sent.remove(&oldest);
        }
    }

    /// Tokens of the prefix that the group is expected to have cached.
    #[must_use]
    pub fn cached(&self, prefix: u64, group: u64) -> u32 {
        self.sent.get(&(prefix, group)).copied().unwrap_or(0)
    }
}
