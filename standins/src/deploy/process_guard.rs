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

/// Time to wait for one expected line of a process.
const LINE_TIMEOUT: Duration = Duration::from_secs(20);

/// Finds a program of this workspace in the directory of the running program or its parent.
///
/// # Errors
/// [`DeployError::Program`] when it has not been built.
pub fn find_program(name: &str) -> Result<PathBuf> {
    let running = env::current_exe().map_err(|error| DeployError::Program(error.to_string()))?;
    // Test programs are built into `deps`, one directory below the other programs.
    let directories = running.ancestors().skip(1).take(2);
    let mut programs = directories.map(|directory| directory.join(name));
    let missing = || DeployError::Program(format!("{name} is not built; run scripts/test.sh"));
    programs.find(|path| path.is_file()).ok_or_else(missing)
}

/// A child process that is killed, by its process id, when the guard is dropped.
#[derive(Debug)]
pub struct ProcessGuard {
    name: String,
    child: Child,
    lines: Mutex<Receiver<String>>,
}

impl ProcessGuard {
    /// Starts a program of this workspace; its standard error replaces the log file.
    ///
    /// # Errors
    /// [`DeployError::Program`] when the program can't be found or started, or the log file
    /// can't be created.
    pub fn start(program: &str, arguments: &[&str], log: &Path) -> Result<Self> {
        let program_error =
            |error: std::io::Error| DeployError::Program(format!("{program}: {error}"));
        let mut child = Command::new(find_program(program)?)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::create(log).map_err(program_error)?)
            .spawn()
            .map_err(program_error)?;
        let (sender, lines) = channel();
        if let Some(output) = child.stdout.take() {
            // Reads the output to its end so that the process never blocks on a full pipe.
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

    /// Waits up to 20 s for the next line that starts with `prefix` and returns the rest of it.
    /// Lines in between are dropped.
    ///
    /// # Errors
    /// [`DeployError::Line`] when there is none in time or the process has ended.
    pub fn read_line(&self, prefix: &str) -> Result<String> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let deadline = Instant::now() + LINE_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = lines.recv_timeout(time_left) else {
                return Err(DeployError::Line(format!("{prefix:?} of {}", self.name)));
            };
            if let Some(rest) = line.strip_prefix(prefix) {
                return Ok(rest.trim().to_owned());
            }
        }
    }

    /// Id of the process, also after its end.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and waits for its end; does nothing after its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, named without `SIG`, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    /// [`DeployError::Program`] when the signal can't be sent.
    pub fn signal(&self, name: &str) -> Result<()> {
        // The standard library sends only SIGKILL, and the crate forbids unsafe code.
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status();
        match status {
            Ok(status) if status.success() => Ok(()),
            outcome => Err(DeployError::Program(format!("kill -{name}: {outcome:?}"))),
        }
    }

    /// Exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for ProcessGuard {
    fn drop(&mut self) {
        self.kill();
    }
}
