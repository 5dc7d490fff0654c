//! Gateway process.

use {std::process::ExitCode, toucanring::cli::GatewayArgs};

#[tokio::main]
async fn main() -> ExitCode {
    argh::from_env::<GatewayArgs>().run().await
}
