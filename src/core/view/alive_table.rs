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
/// later mark still carries a newer configuration version and readiness.
#[derive(Debug, Clone, Default)]
pub(super) struct AliveTable {
    marks: BTreeMap<u32, (String, u64)>,
}

impl AliveTable {
    /// Records the sequence of a received heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat) {
        let mark = self.marks.entry(low_bits(heartbeat.boot));
        let (process, sequence) = mark.or_default();
        process.clone_from(&heartbeat.process);
        *sequence = heartbeat.sequence.max(*sequence);
    }

    /// Applies a mark, which says that the process was alive at this heartbeat sequence. Returns
    /// true when that is newer than what was known; a mark of an unknown boot is ignored.
    pub fn apply_mark(
        &mut self,
        mark: CompactHeartbeat,
        now: Duration,
        view: &mut ClusterView,
    ) -> bool {
        let Some((process, sequence)) = self.marks.get_mut(&mark.boot) else {
            return false;
        };
        if *sequence >= mark.sequence {
            return false;
        }
        let Some(record) = view.peers.get_mut(process) else {
            return false;
        };
        if low_bits(record.heartbeat.boot) != mark.boot {
            return false;
        }
        *sequence = mark.sequence;
        record.received_at = now;
        true
    }

    /// Chooses up to `count` random marks of processes known to be alive within the last `age`.
    pub fn choose(
        &self,
        count: usize,
        age: Duration,
        now: Duration,
        view: &ClusterView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<CompactHeartbeat> {
        let mut fresh = Vec::new();
        for (boot, (process, sequence)) in &self.marks {
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

    /// Removes the marks of processes or boots that the view no longer has.
    pub fn retain_known(&mut self, view: &ClusterView) {
        self.marks.retain(|boot, (process, _)| {
            let known = view.peers.get(process);
            known.is_some_and(|known| low_bits(known.heartbeat.boot) == *boot)
        });
    }
}

fn low_bits(boot: u64) -> u32 {
    let [_, _, _, _, bytes @ ..] = boot.to_be_bytes();
    u32::from_be_bytes(bytes)
}
