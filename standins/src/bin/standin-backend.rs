//! Stand-in for backend servers. Prints `control ADDR`, then `listening INSTANCE ADDR` for each
//! server.

use {
    argh::FromArgs,
    standins::backend::{BackendFleet, BackendSettings},
    std::{error::Error, fs, path::PathBuf},
    tokio::net::TcpListener,
};

/// Runs many backend servers, each on its own port.
#[derive(Debug, FromArgs)]
struct BackendArgs {
    /// JSON settings file
    #[argh(option)]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: BackendArgs = argh::from_env();
    let settings: BackendSettings = serde_json::from_slice(&fs::read(args.settings)?)?;
    let control = TcpListener::bind(settings.control).await?;
    let fleet = BackendFleet::bind(settings)?;
    println!("control {}", control.local_addr()?);
    for server in &fleet.servers {
        println!("listening {} {}", server.settings.instance, server.address);
    }
    fleet.run(control).await;
    Ok(())
}
