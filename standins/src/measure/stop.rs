use {
    crate::deploy::{DeployError, Result},
    tokio::runtime::Runtime,
    toucanring::cli::stop_signal,
};

/// Runs a measurement until it ends or the process gets SIGTERM or SIGINT. After a signal, the
/// measurement is dropped, which kills the processes that it started.
///
/// # Errors
/// The error of the measurement, or [`DeployError::Wait`] after a signal.
pub fn run_until_stopped<T>(measurement: impl Future<Output = Result<T>>) -> Result<T> {
    Runtime::new()?.block_on(async {
        tokio::select! {
            outcome = measurement => outcome,
            () = stop_signal() => Err(DeployError::Wait("stopped by a signal".to_owned())),
        }
    })
}
