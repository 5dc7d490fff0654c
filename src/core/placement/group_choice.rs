//! Which of the groups that could run a request gets it. Load pattern: many
//! gateways decide by the same figures, which are some requests old; if each
//! took the group that looks best, all would send to it at once.

use {
    super::TargetKey,
    rand::{RngExt, seq::IteratorRandom},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Gateways that may all look at the same groups.
const FEW_GATEWAYS: usize = 8;

/// Fewest groups that a gateway compares.
const LEAST_COMPARED: usize = 2;

/// Width of the random factor that keeps gateways from choosing the same group at once.
const CHOICE_NOISE: f64 = 0.15;

/// Added to the predicted time at groups of another failure domain.
const FOREIGN_COST: Duration = Duration::from_millis(6);

/// The same among many gateways, whose figures of other failure domains are
/// older than those of the own one.
const OLD_FOREIGN_COST: Duration = Duration::from_millis(15);

value_type! {
    /// A group that could run a request in time.
    #[derive(Copy)]
    pub struct GroupCandidate {
        /// The group.
        pub target: TargetKey,
        /// Predicted time to the first event.
        pub first: Duration,
        /// Requests thought to run there.
        pub running: u32,
        /// True when it is in another failure domain.
        pub foreign: bool,
    }
}

/// Chooses among the groups that could run a request, for one of `gateways`
/// gateways. Each compares a random part of them, so that about as many decide
/// on the same group at once as in a small deployment.
pub fn choose_group(
    candidates: &[GroupCandidate],
    gateways: usize,
    random: &mut impl rand::Rng,
) -> Option<GroupCandidate> {
    let mut best: Option<(f64, GroupCandidate)> = None;
    let foreign_cost = if gateways > FEW_GATEWAYS {
        OLD_FOREIGN_COST
    } else {
        FOREIGN_COST
    };
    for foreign in [false, true] {
        let of_kind = candidates.iter().filter(|one| one.foreign == foreign);
        let count = of_kind.clone().count();
        let part = (count * FEW_GATEWAYS).div_ceil(gateways.max(1));
        let compared = part.max(LEAST_COMPARED).min(count);
        let sample: SmallVec<[&GroupCandidate; 16]> =
            of_kind.sample(random, compared).into_iter().collect();
        for candidate in sample {
            let distance = if foreign {
                foreign_cost
            } else {
                Duration::ZERO
            };
            let noise = 1.0 + CHOICE_NOISE * random.random::<f64>();
            let cost = (candidate.first + distance).as_secs_f64() * noise;
            if best.is_none_or(|(other, _)| cost < other) {
                best = Some((cost, *candidate));
            }
        }
    }
    best.map(|(_, candidate)| candidate)
}
