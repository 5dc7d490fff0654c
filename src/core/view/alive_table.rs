use {
    super::ClusterView,
    crate::wire::{AliveMark, PeerHeartbeat},
    rand::RngExt,
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Highest heartbeat numbers of processes, by the low bits of their boot ids.
///
/// They are kept apart from the heartbeats themselves: a heartbeat that arrives
/// after a later mark still brings a newer version and readiness.
#[derive(Debug, Clone, Default)]
pub(super) struct AliveTable {
    marks: BTreeMap<u32, (String, u64)>,
}

impl AliveTable {
    /// Notes a heartbeat.
    pub fn note(&mut self, beat: &PeerHeartbeat) {
        let mark = self.marks.entry(low_bits(beat.boot));
        let (process, sequence) = mark.or_default();
        process.clone_from(&beat.process);
        *sequence = beat.sequence.max(*sequence);
    }

    /// Takes a mark: the process was alive when it counted to this number.
    pub fn take(&mut self, mark: AliveMark, now: Duration, view: &mut ClusterView) -> bool {
        let Some((process, sequence)) = self.marks.get_mut(&mark.boot) else {
            return false;
        };
        if *sequence >= mark.sequence {
            return false;
        }
        let Some(sighting) = view.peers.get_mut(process) else {
            return false;
        };
        if low_bits(sighting.heartbeat.boot) != mark.boot {
            return false;
        }
        *sequence = mark.sequence;
        sighting.heard_at = now;
        true
    }

    /// Chooses random marks of processes that were heard within `age`.
    pub fn choose(
        &self,
        count: usize,
        age: Duration,
        now: Duration,
        view: &ClusterView,
        rng: &mut ChaCha8Rng,
    ) -> Vec<AliveMark> {
        let mut fresh = Vec::new();
        for (boot, (process, sequence)) in &self.marks {
            let known = view.peers.get(process);
            if known.is_some_and(|known| now.saturating_sub(known.heard_at) <= age) {
                fresh.push(AliveMark {
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

    /// Forgets marks of processes that the view has forgotten.
    pub fn forget(&mut self, view: &ClusterView) {
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
