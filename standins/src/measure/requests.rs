use {
    super::{Figure, requests_faults::count_faults, requests_pick, requests_policy},
    crate::deploy::Result,
};

/// Runs all measurements of requests. The counters come from real processes;
/// goodput, first token, token gap, crashes and shares from virtual time; the
/// time of a choice from the processor's clock.
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
