use std::{io::Write, process::ExitCode};

/// Prints a line to standard output. Unlike `println!`, it doesn't panic when the reader has closed
/// the pipe, as `head` does.
macro_rules! print_line {
    ($($argument:tt)*) => {{
        let _ = std::io::Write::write_fmt(
            &mut std::io::stdout(),
            format_args!("{}\n", format_args!($($argument)*)),
        );
    }};
}

pub(super) use print_line;

/// Exit code of a command that failed without changing anything.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for settings or a text with faults.
pub const EXIT_FAULTS: u8 = 3;
/// Exit code when another operator applied a version first.
pub const EXIT_CONFLICT: u8 = 4;
/// Exit code when the platform refuses the change.
pub const EXIT_REFUSED: u8 = 5;
/// Exit code when it is unknown whether the change took effect.
pub const EXIT_UNKNOWN: u8 = 6;
/// Exit code when a change was accepted but is not yet in force in every live process.
pub const EXIT_NOT_IN_FORCE: u8 = 7;

/// Result of a command. An error holds the exit code; its reason has been printed already.
pub type Result<T> = std::result::Result<T, u8>;

/// Prints the reason of a failure to standard error and returns its exit code.
pub fn fail<T>(code: u8, reason: impl std::fmt::Display) -> Result<T> {
    let _ = writeln!(std::io::stderr(), "toucanctl: {reason}");
    Err(code)
}

/// Turns the result of a command into the exit code of the process.
#[must_use]
pub fn to_exit_code(outcome: Result<()>) -> ExitCode {
    outcome.map_or_else(ExitCode::from, |()| ExitCode::SUCCESS)
}
