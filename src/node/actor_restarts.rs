use {
    super::Result,
    slog::{Logger, warn},
    std::time::Duration,
    tokio::task::JoinHandle,
};

/// Starts an actor again whenever it has ended, as by a panic, which ractor catches; `delay` later,
/// so that one that ends each time costs little. `start` gets the number of the start, from 1; a
/// start that fails is tried again after the same delay. Never returns.
///
/// ```no_run
/// # async fn run(logger: slog::Logger) {
/// use {std::time::Duration, toucanring::node::keep_actor};
///
/// let first = tokio::spawn(async {});
/// let delay = Duration::from_secs(1);
/// keep_actor(logger, "control", delay, first, |_| async { Ok(tokio::spawn(async {})) }).await;
/// # }
/// ```
pub async fn keep_actor<F>(
    logger: Logger,
    name: &'static str,
    delay: Duration,
    first: JoinHandle<()>,
    mut start: impl FnMut(u32) -> F,
) where
    F: Future<Output = Result<JoinHandle<()>>>,
{
    let mut running = Some(first);
    let mut starts: u32 = 0;
    loop {
        if let Some(handle) = running.take() {
            let ended = handle.await;
            warn!(logger, "an actor ended; starting it again"; "actor" => name,
                "starts" => starts, "error" => ended.err().map(|error| error.to_string()),
                "delay_ms" => super::attempt_slot::millis(delay));
        }
        tokio::time::sleep(delay).await;
        starts = starts.saturating_add(1);
        match start(starts).await {
            Ok(handle) => running = Some(handle),
            Err(error) => {
                warn!(logger, "failed to start an actor; trying again"; "actor" => name,
                    "starts" => starts, "error" => %error);
            }
        }
    }
}
