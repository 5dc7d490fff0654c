use std::{
    io::{IsTerminal, Write},
    time::{Duration, Instant},
};

/// Waits shorter than this show nothing.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Time between two lines when standard error is not a terminal.
const LINE_PERIOD: Duration = Duration::from_secs(5);

/// Shows on standard error what a long wait is for.
#[derive(Debug)]
pub struct ProgressLine {
    started: Instant,
    shown: Option<Instant>,
    terminal: bool,
}

impl ProgressLine {
    /// Starts a wait.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            shown: None,
            terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Shows the reason for the wait and its length.
    pub fn show(&mut self, reason: &str) {
        let elapsed = self.started.elapsed();
        if elapsed < QUIET_TIME {
            return;
        }
        let mut output = std::io::stderr();
        let seconds = elapsed.as_secs();
        if self.terminal {
            // A failure to draw progress must not stop the command.
            let _ = write!(output, "\r\x1b[K{reason}, {seconds} s");
            let _ = output.flush();
        } else if self
            .shown
            .is_none_or(|shown| shown.elapsed() >= LINE_PERIOD)
        {
            let _ = writeln!(output, "{reason}, {seconds} s");
        } else {
            return;
        }
        self.shown = Some(Instant::now());
    }
}

impl Default for ProgressLine {
    fn default() -> Self {
        Self::new()
    }
}

impl Drop for ProgressLine {
    fn drop(&mut self) {
        if self.terminal && self.shown.is_some() {
            eprint!("\r\x1b[K");
        }
    }
}
