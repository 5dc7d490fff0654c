use {
    super::{EXIT_FAILED, EXIT_FAULTS, EXIT_USAGE, Result, ctl_exit::fail},
    crate::{
        adapters::{PlatformClient, call_peer, explain, read_pointer, read_text},
        conf::{AccessSettings, FaultList, read_access},
        core::{
            apply::{ConfigPointer, history_key},
            view::PeerCodec,
        },
        wire::{AgedHeartbeat, PeerReply, PeerRequest, ProcessStatus},
    },
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        path::Path,
        time::Duration,
    },
    tokio::task::JoinSet,
};

/// Bound of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// A process whose newest heartbeat is younger counts as live.
const LIVE_AGE_MS: u64 = 15_000;
/// Calls to processes at the same time.
const MAX_CALLS: usize = 32;

/// Access to the platform and to the processes.
#[derive(Debug, Clone)]
pub struct CtlAccess {
    /// Platform client.
    pub platform: PlatformClient,
    codec: PeerCodec,
    peers: Vec<SocketAddr>,
}

/// State of all processes as far as it can be learned.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ProcessSurvey {
    /// Processes that answered, by name.
    pub answered: BTreeMap<String, ProcessStatus>,
    /// Live processes that did not answer, with their newest heartbeat.
    pub silent: BTreeMap<String, AgedHeartbeat>,
}

impl ProcessSurvey {
    /// Names of live processes that do not have `version` in force.
    #[must_use]
    pub fn behind(&self, version: u64) -> Vec<String> {
        let mut names = Vec::new();
        for (name, status) in &self.answered {
            if status.heartbeat.config_version < version {
                let has = status.heartbeat.config_version;
                names.push(format!("{name} (has {has})"));
            }
        }
        for (name, known) in &self.silent {
            if known.heartbeat.config_version < version {
                let has = known.heartbeat.config_version;
                names.push(format!("{name} (does not answer, had {has})"));
            }
        }
        names
    }
}

impl CtlAccess {
    /// Reads the access settings.
    ///
    /// # Errors
    /// The exit code, after all faults were printed.
    pub fn open(path: &Path) -> Result<Self> {
        let access = read_access(path).or_else(|faults| print_faults(path, &faults))?;
        Ok(Self::new(&access))
    }

    /// Creates the access from checked settings.
    #[must_use]
    pub fn new(access: &AccessSettings) -> Self {
        let key = blake3::Hash::from_hex(&access.exchange_key);
        let key = key.map_or([0; 32], |key| *key.as_bytes());
        let domain = &access.failure_domain;
        Self {
            platform: PlatformClient::new(access.platform, domain, PLATFORM_TIMEOUT),
            codec: PeerCodec::new(key),
            peers: access.peers.clone(),
        }
    }

    /// Requires at least one peer address.
    ///
    /// # Errors
    /// [`EXIT_USAGE`] when the settings name none.
    pub fn require_peers(&self) -> Result<()> {
        if self.peers.is_empty() {
            return fail(EXIT_USAGE, "the settings name no peers to ask");
        }
        Ok(())
    }

    /// Reads the pointer in force.
    ///
    /// # Errors
    /// [`EXIT_FAILED`] when the platform does not answer.
    pub async fn current(&self) -> Result<Option<ConfigPointer>> {
        match read_pointer(&self.platform).await {
            Ok(found) => Ok(found.map(|(pointer, _)| pointer)),
            Err(error) => fail(
                EXIT_FAILED,
                format!("the platform does not answer: {}", explain(&error)),
            ),
        }
    }

    /// Reads the pointer of a version.
    ///
    /// # Errors
    /// [`EXIT_FAILED`] when it is not known.
    pub async fn version(&self, version: u64) -> Result<ConfigPointer> {
        let row = match self.platform.read(&history_key(version)).await {
            Ok(row) => row,
            Err(error) => {
                return fail(
                    EXIT_FAILED,
                    format!("the platform does not answer: {}", explain(&error)),
                );
            }
        };
        let pointer = row.and_then(|row| serde_json::from_value(row.value).ok());
        match pointer {
            Some(pointer) => Ok(pointer),
            None => fail(
                EXIT_FAILED,
                format!("version {version} is not in the history"),
            ),
        }
    }

    /// Reads a text by its digest.
    ///
    /// # Errors
    /// [`EXIT_FAILED`] when the platform does not have it.
    pub async fn text(&self, digest: &str) -> Result<String> {
        match read_text(&self.platform, digest).await {
            Ok(text) => Ok(text),
            Err(error) => fail(
                EXIT_FAILED,
                format!("the text cannot be read: {}", explain(&error)),
            ),
        }
    }

    /// Asks the first peer that answers.
    ///
    /// # Errors
    /// [`EXIT_FAILED`] when none does.
    pub async fn ask(&self, request: &PeerRequest) -> Result<PeerReply> {
        self.require_peers()?;
        for peer in &self.peers {
            if let Ok(reply) = call_peer(&self.codec, *peer, request.clone()).await {
                return Ok(reply);
            }
        }
        fail(EXIT_FAILED, "no peer answers")
    }

    /// Asks every process that the settings or other processes name.
    pub async fn survey(&self) -> ProcessSurvey {
        let mut survey = ProcessSurvey::default();
        let mut heard: BTreeMap<String, AgedHeartbeat> = BTreeMap::new();
        let mut asked: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut open: Vec<SocketAddr> = self.peers.clone();
        let mut calls = JoinSet::new();
        loop {
            while calls.len() < MAX_CALLS {
                let Some(address) = open.pop() else { break };
                if !asked.insert(address) {
                    continue;
                }
                let codec = self.codec.clone();
                calls.spawn(async move { call_peer(&codec, address, PeerRequest::Status).await });
            }
            let Some(outcome) = calls.join_next().await else {
                break;
            };
            let Ok(Ok(PeerReply::Status(status))) = outcome else {
                continue;
            };
            for known in &status.peers {
                if known.age_ms > LIVE_AGE_MS {
                    continue;
                }
                open.push(known.heartbeat.address);
                let name = known.heartbeat.process.clone();
                let newest = heard.entry(name).or_insert_with(|| known.clone());
                let rank =
                    |beat: &AgedHeartbeat| (beat.heartbeat.started_ms, beat.heartbeat.sequence);
                if rank(known) > rank(newest) {
                    *newest = known.clone();
                }
            }
            survey
                .answered
                .insert(status.heartbeat.process.clone(), status);
        }
        heard.retain(|name, _| !survey.answered.contains_key(name));
        survey.silent = heard;
        survey
    }
}

/// Prints the faults of a file to standard error.
///
/// # Errors
/// Always [`EXIT_FAULTS`].
pub fn print_faults<T>(path: &Path, faults: &FaultList) -> Result<T> {
    let count = faults.0.len();
    fail(
        EXIT_FAULTS,
        format!("{} has {count} fault(s):\n{faults}", path.display()),
    )
}
