//! Command lines: arguments, exit codes and signals.

mod process_start;

pub use process_start::{
    EXIT_FAILED, EXIT_SETTINGS, EXIT_USAGE, check_settings, load_settings, stop_signal,
};
