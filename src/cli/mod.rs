//! Command lines: arguments, exit codes and signals.

mod controller_args;
mod gateway_args;
mod process_start;

pub use {
    controller_args::ControllerArgs,
    gateway_args::GatewayArgs,
    process_start::{
        EXIT_FAILED, EXIT_SETTINGS, EXIT_USAGE, announce, check_settings, load_settings,
        stop_signal,
    },
};
