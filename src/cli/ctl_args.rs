use {argh::FromArgs, std::path::PathBuf};

/// Controls a toucanring deployment.
#[derive(Debug, FromArgs)]
#[argh(
    example = "First day:\n  toucanctl check consorzio.json\n  toucanctl apply consorzio.json --base 0 --wait",
    example = "Change:\n  toucanctl history --text 12 > edited.json\n  (edit it)\n  toucanctl diff edited.json\n  toucanctl apply edited.json --base 12 --wait",
    example = "Maintenance:\n  toucanctl drain val-isarco-m03 --wait\n  toucanctl drain val-isarco-m03 --undo",
    note = "Exit codes:\n  0 done\n  1 failed, nothing was changed\n  2 wrong arguments\n  3 faults in a text or in settings\n  4 conflict: another operator was first\n  5 refused by the platform\n  6 unknown: the change may have taken effect\n  7 accepted, but not yet in force in every live process"
)]
pub struct CtlArgs {
    /// settings file with the platform's address, peers and exchange key;
    /// settings of a gateway or controller work too (default: toucanctl.json)
    #[argh(option, default = "PathBuf::from(\"toucanctl.json\")")]
    pub settings: PathBuf,

    /// print JSON
    #[argh(switch)]
    pub json: bool,

    /// what to do
    #[argh(subcommand)]
    pub command: CtlCommand,
}

/// A command of `toucanctl`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum CtlCommand {
    /// Check a file.
    Check(CheckArgs),
    /// Compare a text with the one in force.
    Diff(DiffArgs),
    /// Put a text into force.
    Apply(ApplyArgs),
    /// List versions.
    History(HistoryArgs),
    /// List processes.
    Status(StatusArgs),
    /// List replica groups.
    Groups(GroupsArgs),
    /// Drain an instance.
    Drain(DrainArgs),
    /// Digest a bearer key.
    KeyDigest(KeyDigestArgs),
}

/// Check an operator text or settings and list all faults; needs no platform.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check", example = "toucanctl check consorzio.json")]
pub struct CheckArgs {
    /// file to check
    #[argh(positional)]
    pub file: PathBuf,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List what applying a text would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff", example = "toucanctl diff edited.json")]
pub struct DiffArgs {
    /// operator text
    #[argh(positional)]
    pub file: PathBuf,
    /// version to compare with (default: the one in force)
    #[argh(option)]
    pub with: Option<u64>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Put an operator text into force, unless another version came first.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    example = "toucanctl apply edited.json --base 12 --wait"
)]
pub struct ApplyArgs {
    /// operator text
    #[argh(positional)]
    pub file: PathBuf,
    /// version that was edited; 0 for the first text of a deployment
    #[argh(option)]
    pub base: u64,
    /// wait until every live process has the version in force
    #[argh(switch)]
    pub wait: bool,
    /// seconds after which the command gives up (default: 30)
    #[argh(option, default = "30")]
    pub timeout: u64,
    /// name to record (default: $USER)
    #[argh(option)]
    pub author: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the applied versions, newest last, or print the text of one.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "history",
    example = "toucanctl history --text 12 > edited.json"
)]
pub struct HistoryArgs {
    /// print the text of this version
    #[argh(option)]
    pub text: Option<u64>,
    /// most versions to list (default: 20)
    #[argh(option, default = "20")]
    pub limit: usize,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the processes with their configuration version and readiness.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status", example = "toucanctl status")]
pub struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// List the replica groups.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "groups",
    example = "toucanctl groups --failure-domain kochi"
)]
pub struct GroupsArgs {
    /// only groups of this failure domain
    #[argh(option)]
    pub failure_domain: Option<String>,
    /// also groups that are dissolved
    #[argh(switch)]
    pub all: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Take an instance out of service without interrupting a request.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "drain",
    example = "toucanctl drain val-isarco-m03 --wait",
    example = "toucanctl drain val-isarco-m03 --undo"
)]
pub struct DrainArgs {
    /// name of the instance
    #[argh(positional)]
    pub instance: String,
    /// end the drain
    #[argh(switch)]
    pub undo: bool,
    /// wait until every live process knows of the drain
    #[argh(switch)]
    pub wait: bool,
    /// seconds after which the command gives up (default: 30)
    #[argh(option, default = "30")]
    pub timeout: u64,
    /// name to record (default: $USER)
    #[argh(option)]
    pub author: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Read a bearer key from standard input and print the digest for
/// `client_accounts[].key_digest`.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "key-digest",
    example = "printf %s \"$KEY\" | toucanctl key-digest"
)]
pub struct KeyDigestArgs {}
