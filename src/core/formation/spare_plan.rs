use {
    super::{FreeServer, ModelNeed, ServerKey},
    crate::core::routes::ModelShape,
};

/// Picks the next spare of a fabric domain to stage and the model for it: the
/// model with the most members at risk for each spare that holds it.
/// `needs[i].groups` are the groups of the fabric domain.
#[must_use]
pub fn plan_spare(
    free: &[FreeServer],
    models: &[ModelShape],
    needs: &[ModelNeed],
) -> Option<(ServerKey, usize)> {
    let holds = |server: &FreeServer, model: &ModelShape| {
        server.staged.contains(&model.name) || server.staging.as_ref() == Some(&model.name)
    };
    let empty = |server: &&FreeServer| server.staging.is_none() && server.staged.is_empty();
    let spare = free.iter().find(empty)?;
    let mut best: Option<(f64, usize)> = None;
    for (index, model) in models.iter().enumerate() {
        let warm = free.iter().filter(|server| holds(server, model)).count();
        let at_risk = model.size * needs.get(index).map_or(0, |need| need.groups);
        #[allow(clippy::cast_precision_loss)] // few servers
        let worth = (at_risk as f64 + 0.5) / (warm as f64 + 0.25);
        if best.is_none_or(|(other, _)| worth > other) {
            best = Some((worth, index));
        }
    }
    best.map(|(_, index)| (spare.key, index))
}
