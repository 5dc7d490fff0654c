use std::collections::{HashMap, VecDeque};

/// Maximum number of (prefix, group) pairs remembered; a gateway sees a few hundred distinct
/// prefixes.
const MAX_PREFIXES: usize = 4_096;

/// Rendezvous hashing weight of a group for a prefix.
///
/// The group with the highest weight is the preferred group of the prefix. All gateways compute the
/// same one without exchanging messages. `prefix` and `group` are hashes.
///
/// ```
/// use toucanring::core::routing::rendezvous_weight;
///
/// assert_eq!(rendezvous_weight(1, 2), rendezvous_weight(1, 2));
/// assert_ne!(rendezvous_weight(1, 2), rendezvous_weight(1, 3));
/// ```
#[must_use]
pub const fn rendezvous_weight(prefix: u64, group: u64) -> u64 {
    // The finalizer of SplitMix64 spreads each input bit over the output.
    let mut mixed = prefix ^ group.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Prompt prefixes that this gateway has sent to each group.
///
/// Cache events of the engines arrive late and with gaps, so the gateway assumes a prefix to be
/// cached only on groups to which it sent that prefix itself.
#[derive(Debug, Clone, Default)]
pub struct PrefixAffinity {
    /// Tokens sent, by the hashes of prefix and group.
    tokens_sent: HashMap<(u64, u64), u32>,
    /// Keys of `tokens_sent`, oldest first.
    insertion_order: VecDeque<(u64, u64)>,
}

impl PrefixAffinity {
    /// Records that a prefix of `tokens` tokens was sent to a group; replaces an earlier record.
    pub fn record_sent(&mut self, prefix: u64, group: u64, tokens: u32) {
        let key = (prefix, group);
        if self.tokens_sent.insert(key, tokens).is_none() {
            self.insertion_order.push_back(key);
        }
        if self.insertion_order.len() <= MAX_PREFIXES {
            return;
        }
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.tokens_sent.remove(&oldest);
        }
    }

    /// Tokens of the prefix that the group is expected to have cached; 0 if it was not sent there.
    #[must_use]
    pub fn cached_tokens(&self, prefix: u64, group: u64) -> u32 {
        self.tokens_sent.get(&(prefix, group)).copied().unwrap_or(0)
    }
}
