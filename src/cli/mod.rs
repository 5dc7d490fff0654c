//! Command lines of all programs: arguments, exit codes and signals, and the commands of
//! `toucanctl`.

mod controller_args;
mod ctl_access;
mod ctl_args;
mod ctl_exit;
mod ctl_run;
mod ctl_state;
mod ctl_texts;
mod gateway_args;
mod process_start;
mod progress_line;
mod report_args;
mod text_table;

pub use {
    controller_args::ControllerArgs,
    ctl_access::{CtlAccess, ProcessSurvey},
    ctl_args::{
        ApplyArgs, CheckArgs, CtlArgs, CtlCommand, DiffArgs, DrainArgs, GroupsArgs, HistoryArgs,
        KeyDigestArgs, StatusArgs,
    },
    ctl_exit::{
        EXIT_CONFLICT, EXIT_FAILED, EXIT_FAULTS, EXIT_NOT_IN_FORCE, EXIT_REFUSED, EXIT_UNKNOWN,
        EXIT_USAGE, Result, to_exit_code,
    },
    ctl_run::run_ctl,
    gateway_args::GatewayArgs,
    process_start::{
        EXIT_SETTINGS, check_settings, load_settings, print_addresses, read_args, stop_signal,
    },
    progress_line::ProgressLine,
    report_args::{BurnArgs, ReportArgs, ReportCommand},
    text_table::TextTable,
};
