use {
    super::{DeployError, Result},
    std::{
        env,
        fs::File,
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::{
            Mutex, PoisonError,
            mpsc::{Receiver, channel},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Longest time from the start of a process to the line that it prints.
const LINE_LIMIT: Duration = Duration::from_secs(20);

/// Finds a program of this workspace next to the running one or above it.
///
/// # Errors
/// [`DeployError::Program`] when it has not been built.
pub fn find_program(name: &str) -> Result<PathBuf> {
    let own = env::current_exe().map_err(|error| DeployError::Program(error.to_string()))?;
    // Test binaries lie in `deps`, one directory below the programs.
    let directories = own.ancestors().skip(1).take(2);
    let mut programs = directories.map(|directory| directory.join(name));
    let missing = || DeployError::Program(format!("{name} is not built; run scripts/test.sh"));
    programs.find(|path| path.is_file()).ok_or_else(missing)
}

/// A child process that is killed, by its id, when the guard is dropped.
#[derive(Debug)]
pub struct ProcessGuard {
    name: String,
    child: Child,
    lines: Mutex<Receiver<String>>,
}

impl ProcessGuard {
    /// Starts a program; standard error goes to the log file.
    ///
    /// # Errors
    /// [`DeployError::Program`] when it does not start.
    pub fn start(program: &str, arguments: &[&str], log: &Path) -> Result<Self> {
        let fault = |error: std::io::Error| DeployError::Program(format!("{program}: {error}"));
        let mut child = Command::new(find_program(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log).map_err(fault)?)
            .spawn()
            .map_err(fault)?;
        let (sender, lines) = channel();
        if let Some(output) = child.stdout.take() {
            // Reads to the end so that the process never blocks on a full pipe.
            thread::spawn(move || {
                for line in BufReader::new(output)
                    .lines()
                    .map_while(std::io::Result::ok)
                {
                    let _ = sender.send(line);
                }
            });
        }
        Ok(Self {
            name: program.to_owned(),
            child,
            lines: Mutex::new(lines),
        })
    }

    /// Waits for the next line that starts with `word` and returns the rest of it.
    ///
    /// # Errors
    /// [`DeployError::Line`] when there is none in time.
    pub fn read_line(&self, word: &str) -> Result<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let deadline = Instant::now() + LINE_LIMIT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = lines.recv_timeout(left) else {
                return Err(DeployError::Line(format!("{word:?} of {}", self.name)));
            };
            if let Some(rest) = line.strip_prefix(word) {
                return Ok(rest.trim().to_owned());
            }
        }
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGTERM, SIGSTOP or SIGCONT, by name without `SIG`.
    ///
    /// # Errors
    /// [`DeployError::Program`] when the signal can't be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        // The standard library can only kill; the crate forbids unsafe code.
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        match status {
            Ok(status) if status.success() => Ok(()),
            outcome => Err(DeployError::Program(format!("kill -{name}: {outcome:?}"))),
        }
    }

    /// Exit status once the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        self.kill();
    }
}
