use {
    super::{BurnTally, ReportError, Result},
    crate::{adapters::PlatformClient, conf::OperatorText, core::burn::MinuteRecord},
    bytes::Bytes,
    error_stack::{Report, ResultExt},
    std::{io, path::PathBuf, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep_until},
    },
};

/// Minutes in a block. The objects of a block are listed with one call, by a key prefix that leaves
/// out the last digit of the minute.
const MINUTES_PER_BLOCK: u64 = 10;

/// Number of objects read at the same time, as a batch.
const CONCURRENT_READS: usize = 16;

/// Minimum time between the starts of two batches. It leaves half of the object store's 2,000
/// reads/s to the processes that serve requests.
const MIN_BATCH_TIME: Duration = Duration::from_millis(16);

/// Source from which the report reads its objects.
#[derive(Debug, Clone)]
pub enum MinuteSource {
    /// The platform's services.
    Platform(Box<PlatformClient>),
    /// An export: a directory whose files are named after the keys.
    Directory(PathBuf),
}

wire_type! {
    /// Value of the row `config/current`, as far as the report needs it.
    struct CurrentConfig {
        /// Digest of the operator text, which is part of its key.
        digest: String,
    }
}

impl MinuteSource {
    /// Reads the objective from the operator text in force.
    ///
    /// # Errors
    /// Returns [`ReportError::NoConfiguration`] when no text has been applied, and
    /// [`ReportError::Read`] or [`ReportError::Format`] when the text cannot be read or decoded.
    pub async fn objective(&self) -> Result<f64> {
        let current = self.current_config().await?;
        let key = format!("config/{}", current.digest);
        let body = self
            .read(&key)
            .await?
            .ok_or_else(|| Report::new(ReportError::Read(key.clone())))?;
        let text: OperatorText =
            serde_json::from_slice(&body).change_context(ReportError::Format(key))?;
        Ok(text.objective.completion)
    }

    /// Adds all records of the tally's longest window, minute by minute.
    ///
    /// # Errors
    /// Returns [`ReportError::Read`] when a list cannot be read. A single object that cannot be
    /// used is recorded in the tally instead.
    pub async fn load(&self, tally: &mut BurnTally) -> Result<()> {
        let first = tally.first_minute();
        let last = tally.last_minute();
        for block in first / MINUTES_PER_BLOCK..=last / MINUTES_PER_BLOCK {
            let mut keys = self.list(block).await?;
            keys.retain(|key| minute_of(key).is_none_or(|minute| (first..=last).contains(&minute)));
            for batch in keys.chunks(CONCURRENT_READS) {
                let next_batch_at = Instant::now() + MIN_BATCH_TIME;
                self.load_batch(batch, tally).await;
                if matches!(self, Self::Platform(_)) {
                    sleep_until(next_batch_at).await;
                }
            }
        }
        Ok(())
    }

    async fn load_batch(&self, keys: &[String], tally: &mut BurnTally) {
        let mut reads = JoinSet::new();
        for (index, key) in keys.iter().enumerate() {
            let source = self.clone();
            let key = key.clone();
            reads.spawn(async move { (index, source.read(&key).await) });
        }
        let mut bodies = reads.join_all().await;
        bodies.sort_by_key(|(index, _)| *index);
        for (index, body) in bodies {
            add_body(tally, &keys[index], body);
        }
    }

    async fn current_config(&self) -> Result<CurrentConfig> {
        let key = "config/current";
        let value = match self {
            Self::Platform(client) => {
                let row = client.read(key).await;
                row.change_context(ReportError::Read(key.to_owned()))?
                    .map(|row| row.value)
            }
            Self::Directory(_) => {
                let body = self.read(key).await?;
                body.map(|body| serde_json::from_slice(&body))
                    .transpose()
                    .change_context(ReportError::Format(key.to_owned()))?
            }
        };
        let value = value.ok_or_else(|| Report::new(ReportError::NoConfiguration))?;
        serde_json::from_value(value).change_context(ReportError::Format(key.to_owned()))
    }

    async fn read(&self, key: &str) -> Result<Option<Bytes>> {
        match self {
            Self::Platform(client) => {
                let body = client.read_object(key).await;
                body.change_context(ReportError::Read(key.to_owned()))
            }
            Self::Directory(root) => match std::fs::read(root.join(key)) {
                Ok(body) => Ok(Some(Bytes::from(body))),
                Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
                Err(error) => {
                    Err(Report::new(error).change_context(ReportError::Read(key.to_owned())))
                }
            },
        }
    }

    /// Lists the keys of a block of minutes, in order.
    async fn list(&self, block: u64) -> Result<Vec<String>> {
        match self {
            Self::Platform(client) => {
                let prefix = format!("burn/{block:07}");
                let keys = client.list_objects(&prefix).await;
                keys.change_context(ReportError::Read(prefix))
            }
            Self::Directory(root) => {
                let mut keys = Vec::new();
                for minute in (0..MINUTES_PER_BLOCK).map(|last| block * MINUTES_PER_BLOCK + last) {
                    let prefix = format!("burn/{minute:08}");
                    let names = list_files(root.join(&prefix));
                    let names = names.change_context_lazy(|| ReportError::Read(prefix.clone()))?;
                    keys.extend(names.into_iter().map(|name| format!("{prefix}/{name}")));
                }
                Ok(keys)
            }
        }
    }
}

/// Names of the files in a directory, in order; none when it does not exist.
fn list_files(directory: PathBuf) -> io::Result<Vec<String>> {
    let entries = match std::fs::read_dir(directory) {
        Ok(entries) => entries,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(error),
    };
    let mut names = Vec::new();
    for entry in entries {
        names.push(entry?.file_name().to_string_lossy().into_owned());
    }
    names.sort();
    Ok(names)
}

/// Minute in a key such as `burn/<minute>/<process>-<boot>`.
fn minute_of(key: &str) -> Option<u64> {
    key.split('/').nth(1)?.parse().ok()
}

/// Adds an object to the tally, as a record or as unreadable.
fn add_body(tally: &mut BurnTally, key: &str, body: Result<Option<Bytes>>) {
    let body = match body {
        Ok(Some(body)) => body,
        Ok(None) => return tally.skip(key, "the object vanished after it was listed"),
        Err(report) => return tally.skip(key, &report.to_string()),
    };
    match serde_json::from_slice::<MinuteRecord>(&body) {
        Ok(record) if minute_of(key) == Some(record.minute) => tally.add(&record),
        Ok(record) => tally.skip(key, &format!("it holds minute {}", record.minute)),
        Err(error) => tally.skip(key, &error.to_string()),
    }
}
