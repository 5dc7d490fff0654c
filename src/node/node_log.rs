//! Log of a node on standard output: JSON lines go into a bounded buffer, which one task writes
//! out. Logging never waits for the writer; lines that do not fit are dropped and counted.

use {
    slog::{Drain, Logger, o},
    std::{
        io::{self, Write},
        os::fd::AsFd,
        panic,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::net::unix::pipe,
};

/// Size of the buffer above which all new lines are dropped.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Size of the buffer above which new lines about single requests are dropped, so that the lines
/// about groups, leases and the store still fit at the highest load.
const REQUEST_LINES_LIMIT_BYTES: usize = 192 * 1024;

/// Tag of the log lines about single requests, which are dropped first; it is not written out.
pub const REQUEST_TAG: &str = "request";

/// Time between two writes to standard output.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct LogBuffer {
    lines: Vec<u8>,
    dropped: u64,
}

/// The bounded buffer of log lines; clones share it. Writing appends, and the limits are checked
/// before a line is formatted.
#[derive(Debug, Clone, Default)]
pub struct LogSink {
    buffer: Arc<Mutex<LogBuffer>>,
}

impl Write for LogSink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        buffer.lines.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogSink {
    fn lock(&self) -> std::sync::MutexGuard<'_, LogBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True when a line with this tag fits; otherwise counts it as dropped.
    fn admits(&self, tag: &str) -> bool {
        let bound = if tag == REQUEST_TAG {
            REQUEST_LINES_LIMIT_BYTES
        } else {
            MAX_BUFFERED_BYTES
        };
        let mut buffer = self.lock();
        if buffer.lines.len() < bound {
            return true;
        }
        buffer.dropped += 1;
        false
    }

    /// Takes the buffered lines, with a line that gives the number of dropped ones, if any.
    #[must_use]
    pub fn take(&self) -> Vec<u8> {
        let mut buffer = self.lock();
        let mut lines = std::mem::take(&mut buffer.lines);
        if buffer.dropped > 0 {
            let line = format!(
                "{{\"msg\":\"log lines dropped\",\"count\":{}}}\n",
                buffer.dropped
            );
            lines.extend_from_slice(line.as_bytes());
            buffer.dropped = 0;
        }
        lines
    }

    /// Adds a line without a logger, for places where the lock of the logger may be held.
    fn add_line(&self, line: &[u8]) {
        let mut buffer = self.lock();
        if buffer.lines.len() >= MAX_BUFFERED_BYTES {
            buffer.dropped += 1;
            return;
        }
        buffer.lines.extend_from_slice(line);
        buffer.lines.push(b'\n');
    }

    /// Writes the buffered lines to standard output once; for the end of the process.
    pub fn flush_now(&self) {
        let lines = self.take();
        // An error cannot be reported when standard output is closed.
        let _ = io::stdout().write_all(&lines);
    }

    /// Writes the buffer to standard output periodically until the process ends.
    pub async fn run(self) {
        // A pipe that nobody reads must not block the node, so it is written without waiting; a
        // plain file is written directly.
        let owned = io::stdout().as_fd().try_clone_to_owned();
        let piped = owned.and_then(pipe::Sender::from_owned_fd);
        let mut unwritten: Vec<u8> = Vec::new();
        loop {
            tokio::time::sleep(WRITE_INTERVAL).await;
            if unwritten.is_empty() {
                unwritten = self.take();
            }
            if unwritten.is_empty() {
                continue;
            }
            let written = match &piped {
                Ok(sender) => sender.try_write(&unwritten),
                Err(_) => io::stdout().write_all(&unwritten).map(|()| unwritten.len()),
            };
            match written {
                Ok(count) => {
                    unwritten.drain(..count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                // Standard output is closed, so the lines are dropped.
                Err(_) => unwritten.clear(),
            }
        }
    }
}

/// Passes records on while the buffer has space for them.
struct BoundedDrain<D> {
    sink: LogSink,
    inner: D,
}

impl<D: Drain> Drain for BoundedDrain<D> {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        if self.sink.admits(record.tag()) {
            // Writing into the buffer does not fail.
            let _ = self.inner.log(record, values);
        }
        Ok(())
    }
}

/// Creates the logger of a node and its buffer, which [`LogSink::run`] writes out. Each line names
/// the process.
pub fn start_node_log(process: &str) -> (Logger, LogSink) {
    let sink = LogSink::default();
    let json = slog_json::Json::default(sink.clone());
    let drain = BoundedDrain {
        sink: sink.clone(),
        inner: Mutex::new(json),
    };
    let logger = Logger::root(drain.fuse(), o!("process" => process.to_owned()));
    (logger, sink)
}

/// Writes a log line for each panic, besides the message on standard error. The task that panics
/// ends, and with it the connection of a caller or a duty of the node.
pub fn log_panics(process: &str, sink: &LogSink) {
    let process = process.to_owned();
    let sink = sink.clone();
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        let line = serde_json::json!({
            "msg": "a task panicked and has ended", "level": "ERRO", "process": process,
            "location": info.location().map(ToString::to_string),
            "reason": info.payload_as_str(),
        });
        sink.add_line(line.to_string().as_bytes());
        report(info);
    }));
}
