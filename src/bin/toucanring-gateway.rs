//! Gateway process: accepts the requests of callers and sends them to backend servers.

use {
    std::process::ExitCode,
    toucanring::cli::{GatewayArgs, read_args},
};

#[tokio::main]
async fn main() -> ExitCode {
    match read_args::<GatewayArgs>("toucanring-gateway") {
        Ok(args) => args.run().await,
        Err(code) => code,
    }
}
