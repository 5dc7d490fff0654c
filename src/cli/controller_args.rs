use {argh::FromArgs, std::path::PathBuf};

/// Forms, watches and repairs the replica groups of one failure domain.
/// One of the controllers of a failure domain holds the lease, the others stand by.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check the settings without starting:\n  {command_name} --settings controller.json --check",
    example = "Run until SIGTERM:\n  {command_name} --settings controller.json",
    error_code(
        1,
        "The process failed at run time, for example because a port is taken."
    ),
    error_code(3, "The settings have faults; all of them are listed.")
)]
pub struct ControllerArgs {
    /// process settings, a JSON file
    #[argh(option)]
    pub settings: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,
}
