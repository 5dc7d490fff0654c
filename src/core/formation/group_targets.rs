use {crate::core::routes::ModelShape, smallvec::SmallVec};

/// Factor between the sizes of two models from which on their groups share
/// fabric domains.
const MUCH_SMALLER: usize = 2;

/// True when the groups of several models share a fabric domain: small groups
/// then fill what large ones leave, and their members are the reserve of the
/// large ones. Groups of similar size pack better with one model in each
/// fabric domain, where every survivor is a spare for the others.
#[must_use]
pub fn shares_domains(models: &[ModelShape]) -> bool {
    let sizes = models.iter().map(|model| model.size);
    let largest = sizes.clone().max().unwrap_or(0);
    let smallest = sizes.min().unwrap_or(0);
    smallest > 0 && largest >= MUCH_SMALLER * smallest
}

/// Groups of each model that `servers` servers should form, so that the most
/// loaded group has the least load; `weights` are shares of the work, as time
/// of a group.
///
/// ```
/// use {std::time::Duration, toucanring::core::{formation::group_targets, routes::ModelShape}};
///
/// let model = |size| ModelShape {
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
    models: &[ModelShape],
    weights: &[f64],
) -> SmallVec<[usize; 4]> {
    let mut targets: SmallVec<[usize; 4]> = SmallVec::from_elem(0, models.len());
    let mut left = servers;
    loop {
        let mut best: Option<(f64, usize)> = None;
        for (index, (model, weight)) in models.iter().zip(weights).enumerate() {
            if model.size == 0 || model.size > left {
                continue;
            }
            #[allow(clippy::cast_precision_loss)] // few groups
            let load = weight / (targets[index] as f64 + 1.0);
            if best.is_none_or(|(other, _)| load > other) {
                best = Some((load, index));
            }
        }
        let Some((_, index)) = best else {
            return targets;
        };
        targets[index] += 1;
        left -= models[index].size;
    }
}
