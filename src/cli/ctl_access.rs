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

/// Maximum duration of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum age of the newest heartbeat of a process that counts as live, in milliseconds.
const MAX_LIVE_AGE_MS: u64 = 15_000;
/// Maximum number of concurrent calls to processes.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Clients with which `toucanctl` reaches the platform and the processes.
#[derive(Debug, Clone)]
pub struct CtlAccess {
    /// Client of the platform's services.
    pub platform: PlatformClient,
    codec: PeerCodec,
    peers: Vec<SocketAddr>,
}

/// Status of all processes that could be found.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ProcessSurvey {
    /// Status of the processes that answered, by process name.
    pub answered: BTreeMap<String, ProcessStatus>,
    /// Newest heartbeats of the live processes that did not answer, by process name.
    pub silent: BTreeMap<String, AgedHeartbeat>,
}

impl ProcessSurvey {
    /// Names of the live processes that have a version before `version` in force, each with that
    /// version.
    #[must_use]
    pub fn names_behind(&self, version: u64) -> Vec<String> {
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
    /// Returns [`EXIT_FAULTS`], after printing all faults.
    pub fn open(path: &Path) -> Result<Self> {
        let access = read_access(path).or_else(|faults| print_faults(path, &faults))?;
        Ok(Self::new(&access))
    }

    /// Creates the clients from checked settings.
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

    /// Checks that the settings name at least one peer.
    ///
    /// # Errors
    /// Returns [`EXIT_USAGE`] when they name none.
    pub fn require_peers(&self) -> Result<()> {
        if self.peers.is_empty() {
            return fail(EXIT_USAGE, "the settings name no peers to ask");
        }
        Ok(())
    }

    /// Reads the pointer to the version in force; `None` if no configuration has been applied yet.
    ///
    /// # Errors
    /// Returns [`EXIT_FAILED`] when the platform does not answer.
    pub async fn read_current(&self) -> Result<Option<ConfigPointer>> {
        match read_pointer(&self.platform).await {
            Ok(found) => Ok(found.map(|(pointer, _)| pointer)),
            Err(error) => fail(
                EXIT_FAILED,
                format!("the platform does not answer: {}", explain(&error)),
            ),
        }
    }

    /// Reads the pointer to a version from the history.
    ///
    /// # Errors
    /// Returns [`EXIT_FAILED`] when the platform does not answer or the version is not in the
    /// history.
    pub async fn read_version(&self, version: u64) -> Result<ConfigPointer> {
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

    /// Reads an operator text by its digest.
    ///
    /// # Errors
    /// Returns [`EXIT_FAILED`] when the text cannot be read.
    pub async fn read_text(&self, digest: &str) -> Result<String> {
        match read_text(&self.platform, digest).await {
            Ok(text) => Ok(text),
            Err(error) => fail(
                EXIT_FAILED,
                format!("the text cannot be read: {}", explain(&error)),
            ),
        }
    }

    /// Sends a request to one peer after the other until one replies.
    ///
    /// # Errors
    /// Returns [`EXIT_FAILED`] when none does, or [`EXIT_USAGE`] when the settings name no peers.
    pub async fn call_any_peer(&self, request: &PeerRequest) -> Result<PeerReply> {
        self.require_peers()?;
        for peer in &self.peers {
            if let Ok(reply) = call_peer(&self.codec, *peer, request.clone()).await {
                return Ok(reply);
            }
        }
        fail(EXIT_FAILED, "no peer answers")
    }

    /// Asks every process for its status: those named by the settings, and those of which others
    /// have heard a heartbeat.
    pub async fn survey(&self) -> ProcessSurvey {
        let mut survey = ProcessSurvey::default();
        let mut newest_heartbeats: BTreeMap<String, AgedHeartbeat> = BTreeMap::new();
        let mut called: BTreeSet<SocketAddr> = BTreeSet::new();
        let mut pending: Vec<SocketAddr> = self.peers.clone();
        let mut calls = JoinSet::new();
        loop {
            while calls.len() < MAX_CONCURRENT_CALLS {
                let Some(address) = pending.pop() else { break };
                if !called.insert(address) {
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
            for peer in &status.peers {
                if peer.age_ms > MAX_LIVE_AGE_MS {
                    continue;
                }
                pending.push(peer.heartbeat.address);
                let name = peer.heartbeat.process.clone();
                let newest = newest_heartbeats
                    .entry(name)
                    .or_insert_with(|| peer.clone());
                let version =
                    |aged: &AgedHeartbeat| (aged.heartbeat.started_ms, aged.heartbeat.sequence);
                if version(peer) > version(newest) {
                    *newest = peer.clone();
                }
            }
            survey
                .answered
                .insert(status.heartbeat.process.clone(), status);
        }
        newest_heartbeats.retain(|name, _| !survey.answered.contains_key(name));
        survey.silent = newest_heartbeats;
        survey
    }
}

/// Prints the faults of a file to standard error.
///
/// # Errors
/// Always returns [`EXIT_FAULTS`].
pub fn print_faults<T>(path: &Path, faults: &FaultList) -> Result<T> {
    let count = faults.0.len();
    fail(
        EXIT_FAULTS,
        format!("{} has {count} fault(s):\n{faults}", path.display()),
    )
}
