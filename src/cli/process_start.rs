use {
    super::EXIT_USAGE,
    crate::conf::{ProcessSettings, read_settings},
    argh::FromArgs,
    std::{
        io::{self, Write},
        net::SocketAddr,
        path::Path,
        process::ExitCode,
    },
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit code for settings with faults; the same as [`super::EXIT_FAULTS`].
pub const EXIT_SETTINGS: u8 = super::EXIT_FAULTS;

/// Reads the settings of a process; prints all faults to standard error if there are any.
///
/// # Errors
/// Returns [`EXIT_SETTINGS`] if the settings have faults.
pub fn load_settings(path: &Path) -> Result<ProcessSettings, ExitCode> {
    read_settings(path).map_err(|faults| {
        eprintln!("{} has {} fault(s):", path.display(), faults.0.len());
        eprintln!("{faults}");
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Runs `--check` of a gateway or controller: reads the settings and returns the exit code.
#[must_use]
pub fn check_settings(path: &Path) -> ExitCode {
    match load_settings(path) {
        Ok(settings) => {
            println!(
                "{}: settings of {} are valid",
                path.display(),
                settings.name
            );
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Panics
/// Panics when the signal handlers cannot be installed.
pub async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM handler installs");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT handler installs");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reads the command line of a program.
///
/// # Errors
/// Returns the exit code, after printing the help or the fault: 0 for `--help` and [`EXIT_USAGE`]
/// for wrong arguments.
pub fn read_args<T: FromArgs>(program: &str) -> Result<T, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    T::from_args(&[program], &words).map_err(|exit| {
        if exit.status.is_ok() {
            // `--help` succeeds even if standard output is closed.
            let _ = writeln!(io::stdout(), "{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{program}: {}", exit.output);
        ExitCode::from(EXIT_USAGE)
    })
}

/// Prints the addresses in use to standard output as `listening ADDR` and `peer ADDR`. A program
/// that starts the process with port 0 learns the ports from these lines.
pub fn print_addresses(listen: SocketAddr, peer: SocketAddr) {
    // The process runs on even if standard output is closed.
    let _ = writeln!(io::stdout(), "listening {listen}\npeer {peer}");
}
