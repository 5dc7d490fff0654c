//! Command-line tool with which operators change the configuration and inspect the system.

use {
    std::process::ExitCode,
    toucanring::cli::{run_ctl, to_exit_code},
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    to_exit_code(run_ctl(&arguments).await)
}
