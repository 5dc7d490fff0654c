use {crate::core::routes::ModelProfile, smallvec::SmallVec};

/// Ratio of the largest to the smallest group size from which on models share
/// fabric domains.
const SHARING_SIZE_RATIO: usize = 2;

/// True when groups of several models share a fabric domain. Small groups then use
/// the servers that large ones leave over, and their members are the reserve of
/// the large ones. Groups of similar size pack better with one model in each
/// fabric domain, where every survivor of a loss is a spare for the other groups.
#[must_use]
pub fn shares_domains(models: &[ModelProfile]) -> bool {
    let sizes = models.iter().map(|model| model.size);
    let largest = sizes.clone().max().unwrap_or(0);
    let smallest = sizes.min().unwrap_or(0);
    smallest > 0 && largest >= SHARING_SIZE_RATIO * smallest
}

/// Number of groups of each model that `servers` servers should form. Each group
/// goes to the model with the highest work share per group that still fits.
/// `work_shares` has the share of each model in the total group time.
///
/// ```
/// use {std::time::Duration, toucanring::core::{formation::group_targets, routes::ModelProfile}};
///
/// let model = |size| ModelProfile {
///     name: format!("m-{size}"),
///     size,
///     share: 0.5,
///     pace: 1.0,
///     load: Duration::from_secs(16),
///     warm: Duration::from_secs(2),
/// };
/// let targets = group_targets(74, &[model(16), model(4)], &[0.2, 0.8]);
/// assert_eq!(targets.as_slice(), [2, 10]);
/// ```
#[must_use]
pub fn group_targets(
    servers: usize,
    models: &[ModelProfile],
    work_shares: &[f64],
) -> SmallVec<[usize; 4]> {
    let mut targets: SmallVec<[usize; 4]> = SmallVec::from_elem(0, models.len());
    let mut remaining = servers;
    loop {
        let mut best: Option<(f64, usize)> = None;
        for (index, (model, work_share)) in models.iter().zip(work_shares).enumerate() {
            if model.size == 0 || model.size > remaining {
                continue;
            }
            #[allow(clippy::cast_precision_loss)] // few groups
            let share = work_share / (targets[index] as f64 + 1.0);
            if best.is_none_or(|(other, _)| share > other) {
                best = Some((share, index));
            }
        }
        let Some((_, index)) = best else {
            return targets;
        };
        targets[index] += 1;
        remaining -= models[index].size;
    }
}
