use {
    crate::report::MinuteStamp,
    argh::FromArgs,
    std::{net::SocketAddr, path::PathBuf},
};

/// Reports on the service level from the minutes that the processes stored.
#[derive(Debug, FromArgs)]
pub struct ReportArgs {
    /// report to make
    #[argh(subcommand)]
    pub command: ReportCommand,
}

/// The reports.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ReportCommand {
    /// Service-level burn.
    Burn(BurnArgs),
}

/// Error budget used over 5 min, 1 h, 6 h and 3 d, refusals, group downtime and
/// stranded accelerators.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "burn")]
pub struct BurnArgs {
    /// address of the platform's services
    #[argh(option)]
    pub platform: Option<SocketAddr>,

    /// directory with an export of the objects burn/ and config/ and of the row
    /// config/current, read in place of the platform
    #[argh(option)]
    pub from_dir: Option<PathBuf>,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// write one self-contained HTML page to this file
    #[argh(option)]
    pub html: Option<PathBuf>,

    /// last minute of the report, as minutes since the Unix epoch or as
    /// YYYY-MM-DDTHH:MM in UTC; the last complete minute by default
    #[argh(option)]
    pub until: Option<MinuteStamp>,
}
