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

/// Exit code for settings or a text with faults.
pub const EXIT_SETTINGS: u8 = super::EXIT_FAULTS;

/// Reads the settings; on faults prints all of them to standard error.
///
/// # Errors
/// The exit code of the process.
pub fn load_settings(path: &Path) -> Result<ProcessSettings, ExitCode> {
    read_settings(path).map_err(|faults| {
        eprintln!("{} has {} fault(s):", path.display(), faults.0.len());
        eprintln!("{faults}");
        ExitCode::from(EXIT_SETTINGS)
    })
}

/// Carries out `--check` of a server binary: reads the settings and exits.
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
/// When the signal handlers cannot be installed.
pub async fn stop_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("SIGTERM handler installs");
    let mut interrupt = signal(SignalKind::interrupt()).expect("SIGINT handler installs");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reads the command line of a program; `--help` ends with 0 and wrong
/// arguments with [`EXIT_USAGE`].
///
/// # Errors
/// The exit code, after help or the fault was printed.
pub fn read_args<T: FromArgs>(program: &str) -> Result<T, ExitCode> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    T::from_args(&[program], &words).map_err(|exit| {
        if exit.status.is_ok() {
            // A closed standard output is no reason to fail.
            let _ = writeln!(io::stdout(), "{}", exit.output);
            return ExitCode::SUCCESS;
        }
        eprintln!("{program}: {}", exit.output);
        ExitCode::from(EXIT_USAGE)
    })
}

/// Prints the addresses in use to standard output, so that whoever starts the
/// process with port 0 learns the ports: `listening ADDR`, then `peer ADDR`.
pub fn announce(listen: SocketAddr, peer: SocketAddr) {
    // A closed standard output is no reason to stop.
    let _ = writeln!(io::stdout(), "listening {listen}\npeer {peer}");
}
