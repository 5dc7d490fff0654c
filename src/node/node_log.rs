//! Logs of a node on standard output: JSON lines in a bounded buffer that one
//! task writes. Nothing waits for it; lines over the bound are counted.

use {
    slog::{Drain, Logger, o},
    std::{
        io::{self, Write},
        os::fd::AsFd,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::net::unix::pipe,
};

/// Bytes of log lines that may wait for the writer.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Bytes after which lines about single requests are dropped, so that the lines
/// about groups, leases and the store still fit when load is at its worst.
const REQUEST_LINES_LIMIT_BYTES: usize = 192 * 1024;

/// Tag of the log lines about single requests.
pub const REQUEST_TAG: &str = "request";

/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct LogBuffer {
    lines: Vec<u8>,
    dropped: u64,
}

/// Writes whole lines into the bounded buffer.
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

    /// True when a further line fits; counts the line as dropped otherwise.
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

    /// Takes what waits, with a line on what was dropped.
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

    /// Writes what waits to standard output, once, without waiting.
    pub fn flush_now(&self) {
        let lines = self.take();
        // Nobody is left to tell that standard output is closed.
        let _ = io::stdout().write_all(&lines);
    }

    /// Writes the buffer out until the process ends.
    pub async fn run(self) {
        // Standard output may be a pipe that nobody reads, or a plain file.
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
                // Standard output is closed; the lines have nowhere to go.
                Err(_) => unwritten.clear(),
            }
        }
    }
}

/// Passes records on while there is room.
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
            // Writing into memory does not fail.
            let _ = self.inner.log(record, values);
        }
        Ok(())
    }
}

/// Creates the logger of a node and the sink that [`LogSink::run`] empties.
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
