//! Command lines: arguments, exit codes and signals.

mod controller_args;
mod process_start;
mod report_args;

pub use {
    controller_args::ControllerArgs,
    process_start::{
        EXIT_FAILED, EXIT_SETTINGS, EXIT_USAGE, check_settings, load_settings, stop_signal,
    },
    report_args::{BurnArgs, ReportArgs, ReportCommand},
};
