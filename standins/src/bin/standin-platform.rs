//! Stand-in for the platform's services. Prints `listening ADDR` when it accepts connections.

use {
    argh::FromArgs,
    standins::platform::{PlatformServer, PlatformSettings},
    std::{error::Error, fs, net::SocketAddr, path::PathBuf},
    tokio::net::TcpListener,
};

/// Runs the table service, object store, instance list and weight store in memory.
#[derive(Debug, FromArgs)]
struct PlatformArgs {
    /// IP address and port; port 0 takes a free one
    #[argh(option)]
    listen: SocketAddr,

    /// JSON settings file
    #[argh(option)]
    settings: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args: PlatformArgs = argh::from_env();
    let settings = match args.settings {
        Some(path) => serde_json::from_slice(&fs::read(path)?)?,
        None => PlatformSettings::default(),
    };
    let listener = TcpListener::bind(args.listen).await?;
    println!("listening {}", listener.local_addr()?);
    PlatformServer::new(settings).run(listener).await;
    Ok(())
}
