use {
    super::ClusterView,
    crate::wire::{CompactHeartbeat, PeerHeartbeat},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Highest known heartbeat sequence of each process, keyed by the low 32 bits of its boot id.
///
/// The table is separate from the heartbeats in the view, because a heartbeat that arrives after a
/// later compact one still carries a newer configuration version and readiness.
#[derive(Debug, Clone, Default)]
pub(super) struct AliveTable {
    sequences: BTreeMap<u32, (String, u64)>,
}

impl AliveTable {
    /// Records the sequence of a received heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        let entry = self.sequences.entry(low_bits(heartbeat.boot));
        let (process, sequence) = entry.or_default();
        process.clone_from(&heartbeat.process);
        *sequence = heartbeat.sequence.max(*sequence);
    }

    /// Applies a compact heartbeat; returns true when its sequence is higher than the known one.
    /// It is ignored if its boot is unknown.
    pub fn apply_compact(
        &mut self,
        compact: CompactHeartbeat,
        now: Duration,
        view: &mut ClusterView,
    ) -> bool {
        let Some((process, sequence)) = self.sequences.get_mut(&compact.boot) else {
            return false;
        };
        if *sequence >= compact.sequence {
            return false;
        }
        let Some(record) = view.peers.get_mut(process) else {
            return false;
        };
        if low_bits(record.heartbeat.boot) != compact.boot {
            return false;
        }
        *sequence = compact.sequence;
        record.received_at = now;
        true
    }

    /// Chooses up to `count` random processes known to be alive within the last `age`, and returns
    /// their compact heartbeats.
    pub fn choose(
        &self,
        count: usize,
        age: Duration,
        now: Duration,
        view: &ClusterView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<CompactHeartbeat> {
        let mut fresh = Vec::new();
        for (boot, (process, sequence)) in &self.sequences {
            let known = view.peers.get(process);
            if known.is_some_and(|known| now.saturating_sub(known.received_at) <= age) {
                fresh.push(CompactHeartbeat {
                    boot: *boot,
                    sequence: *sequence,
                });
            }
        }
        let mut chosen = Vec::new();
        while chosen.len() < count && !fresh.is_empty() {
            chosen.push(fresh.swap_remove(rng.random_range(0..fresh.len())));
        }
        chosen
    }

    /// Removes the sequences of processes or boots that the view no longer has.
    pub fn retain_known(&mut self, view: &ClusterView) {
        self.sequences.retain(|boot, (process, _)| {
            let known = view.peers.get(process);
            known.is_some_and(|known| low_bits(known.heartbeat.boot) == *boot)
        });
    }
}

fn low_bits(boot: u64) -> u32 {
    let [_, _, _, _, bytes @ ..] = boot.to_be_bytes();
    u32::from_be_bytes(bytes)
}
