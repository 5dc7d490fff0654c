//! Command lines: arguments, exit codes and signals.

mod gateway_args;
mod process_start;

pub use gateway_args::GatewayArgs;
pub use process_start::{
    EXIT_FAILED, EXIT_SETTINGS, EXIT_USAGE, check_settings, load_settings, stop_signal,
};
