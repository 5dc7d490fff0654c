use {
    super::{DeployError, Result},
    std::time::{Duration, Instant},
};

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls a condition every 20 ms until it returns a value, and returns that value.
///
/// # Errors
/// [`DeployError::Wait`] with the description when there is no value within `limit`.
pub async fn wait_until<T, R>(
    description: &str,
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
            return Err(DeployError::Wait(format!("{description} within {limit:?}")));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
