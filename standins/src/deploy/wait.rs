use {
    super::{DeployError, Result},
    std::time::{Duration, Instant},
};

/// Time between two checks of a condition.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Checks a condition until it gives a value, and returns that value.
///
/// # Errors
/// [`DeployError::Wait`] with `what` after `limit`.
pub async fn wait_until<T, R>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> R,
) -> Result<T>
where
    R: Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Ok(value);
        }
        if started.elapsed() > limit {
            return Err(DeployError::Wait(format!("{what} within {limit:?}")));
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}
