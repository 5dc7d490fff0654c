use {
    super::{Figure, requests_faults::count_faults, requests_pick, requests_policy},
    crate::deploy::Result,
};

/// Runs all measurements of requests.
///
/// The counts of requests come from real processes. Goodput, first token, token gap, crashes and
/// account shares are measured in virtual time, and the time to pick a group in real time.
///
/// # Errors
/// See [`crate::deploy::DeployError`].
pub fn requests(seed: u64) -> Result<Vec<Figure>> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut figures = runtime.block_on(count_faults(seed))?;
    figures.extend(requests_policy::goodput(seed));
    figures.extend(requests_policy::crashes(seed));
    figures.extend(requests_policy::account_share(seed));
    figures.extend(requests_pick::pick_times());
    Ok(figures)
}
