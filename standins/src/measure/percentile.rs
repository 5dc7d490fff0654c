/// Returns the smallest sample that at least the given share of the samples, from 0 to 1, does not
/// exceed (nearest rank), and NaN without samples; sorts the samples.
///
/// ```
/// let mut samples = vec![3.0, 1.0, 2.0, 4.0];
/// assert_eq!(standins::measure::percentile(&mut samples, 0.5), 2.0);
/// ```
#[must_use]
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss
)]
pub fn percentile(samples: &mut [f64], share: f64) -> f64 {
    samples.sort_by(f64::total_cmp);
    let rank = (samples.len() as f64 * share).ceil() as usize;
    samples
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}
