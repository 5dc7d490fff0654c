//! Chooses one of the groups that could run a request. Load pattern: many gateways decide by the
//! same load reports, which lag by some requests. If each gateway chose the group with the best
//! prediction, all of them would send to that group at once.

use {
    super::TargetKey,
    rand::{RngExt, seq::IteratorRandom},
    smallvec::SmallVec,
    std::time::Duration,
};

/// Number of gateways up to which each gateway compares all groups.
const SMALL_DEPLOYMENT_GATEWAYS: usize = 8;

/// Smallest number of groups that a gateway compares, if there are as many.
const MIN_COMPARED_GROUPS: usize = 2;

/// Largest random increase of a group's cost, as a share of it. The randomness keeps gateways from
/// choosing the same group at once.
const CHOICE_NOISE: f64 = 0.15;

/// Added to the predicted time at groups of another failure domain when at most
/// [`SMALL_DEPLOYMENT_GATEWAYS`] gateways exist.
const REMOTE_DOMAIN_COST: Duration = Duration::from_millis(6);

/// Added instead in larger deployments, where load reports from other failure domains are older
/// than those from the gateway's own.
const STALE_REMOTE_DOMAIN_COST: Duration = Duration::from_millis(15);

value_type! {
    /// A group that could run a request within its objective.
    #[derive(Copy)]
    pub struct GroupCandidate {
        /// Key of the group.
        pub target: TargetKey,
        /// Predicted time to the first event of the request.
        pub predicted: Duration,
        /// Requests of all gateways that run at the group, by the load known to this gateway.
        pub running: u32,
        /// True when the group is in another failure domain than the gateway.
        pub remote: bool,
    }
}

/// Chooses the group with the lowest cost among a random sample of `candidates`; none only without
/// candidates. The more of the `gateways` exist, the smaller the sample, so that each group is
/// compared by about as many gateways at once as in a small deployment.
pub fn choose_group(
    candidates: &[GroupCandidate],
    gateways: usize,
    random: &mut impl rand::Rng,
) -> Option<GroupCandidate> {
    let mut best: Option<(f64, GroupCandidate)> = None;
    let remote_cost = if gateways > SMALL_DEPLOYMENT_GATEWAYS {
        STALE_REMOTE_DOMAIN_COST
    } else {
        REMOTE_DOMAIN_COST
    };
    for remote in [false, true] {
        let in_scope = candidates.iter().filter(|one| one.remote == remote);
        let count = in_scope.clone().count();
        let share = (count * SMALL_DEPLOYMENT_GATEWAYS).div_ceil(gateways.max(1));
        let compared = share.max(MIN_COMPARED_GROUPS).min(count);
        let sample: SmallVec<[&GroupCandidate; 16]> =
            in_scope.sample(random, compared).into_iter().collect();
        for candidate in sample {
            let domain_cost = if remote { remote_cost } else { Duration::ZERO };
            let noise = 1.0 + CHOICE_NOISE * random.random::<f64>();
            let cost = (candidate.predicted + domain_cost).as_secs_f64() * noise;
            if best.is_none_or(|(other, _)| cost < other) {
                best = Some((cost, *candidate));
            }
        }
    }
    best.map(|(_, candidate)| candidate)
}
