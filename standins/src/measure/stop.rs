use {
    crate::deploy::{DeployError, Result},
    tokio::runtime::Runtime,
    toucanring::cli::stop_signal,
};

/// Runs a measurement; SIGTERM and SIGINT end it, so that the processes that
/// it started are killed and not left behind.
///
/// # Errors
/// The error of the measurement, or [`DeployError::Wait`] after a signal.
pub fn run_until_stopped<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    Runtime::new()?.block_on(async {
        tokio::select! {
            outcome = work => outcome,
            () = stop_signal() => Err(DeployError::Wait("stopped by a signal".to_owned())),
        }
    })
}
