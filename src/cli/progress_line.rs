use std::{
    io::{IsTerminal, Write},
    time::{Duration, Instant},
};

/// How long a wait must last before it is shown.
const MIN_SHOWN_WAIT: Duration = Duration::from_secs(1);
/// Minimum time between two lines when standard error is not a terminal.
const LINE_INTERVAL: Duration = Duration::from_secs(5);

/// Shows on standard error what a long wait is for. On a terminal it is one line that is redrawn,
/// and removed on drop.
#[derive(Debug)]
pub struct ProgressLine {
    started: Instant,
    /// When the reason was last shown; `None` if it wasn't yet.
    shown: Option<Instant>,
    /// True when standard error is a terminal.
    terminal: bool,
}

impl ProgressLine {
    /// Starts the clock of a wait.
    #[must_use]
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            shown: None,
            terminal: std::io::stderr().is_terminal(),
        }
    }

    /// Shows the reason for the wait and how long it has lasted, unless the wait is short or the
    /// last line is recent.
    pub fn show(&mut self, reason: &str) {
        let elapsed = self.started.elapsed();
        if elapsed < MIN_SHOWN_WAIT {
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
            .is_none_or(|shown| shown.elapsed() >= LINE_INTERVAL)
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
