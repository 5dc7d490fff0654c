use {
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// Runs and refusals kept of each kind; enough for the longest measurement.
const MAX_RECORDS: usize = 200_000;

/// One start of a request on an engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Start in milliseconds since the start of the process.
    pub at_ms: u64,
    /// `Idempotency-Key` of the call, if any.
    pub key: Option<String>,
    /// `Attempt-Id` of the call.
    pub attempt: String,
    /// Digest of the request as for its answer; of the body for a plain call.
    pub digest: u64,
    /// Path of the call.
    pub path: String,
    /// Instance that ran it.
    pub instance: String,
    /// Group and epoch, for a model request.
    pub group: Option<(String, u64)>,
    /// Chunks that `Resume-From` left out.
    pub resumed_from: u32,
    /// Milliseconds since the server announced that it is leaving.
    pub after_leaving_ms: Option<u64>,
    /// True once the last byte of the answer was handed over.
    pub completed: bool,
}

/// A request that reached a backend server and was refused there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Arrival in milliseconds since the start of the process.
    pub at_ms: u64,
    /// Instance that refused.
    pub instance: String,
}

/// Answer of `GET /control/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunList {
    /// Milliseconds since the start of the process.
    pub now_ms: u64,
    /// Runs in the order of their start.
    pub runs: Vec<RunRecord>,
    /// Refused requests in the order of their arrival.
    pub refusals: Vec<RefusalRecord>,
}

/// All runs of the process, counted independently of the gateways.
#[derive(Debug)]
pub struct RunLedger {
    started: Instant,
    list: Mutex<RunList>,
}

impl Default for RunLedger {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            list: Mutex::default(),
        }
    }
}

impl RunLedger {
    /// Milliseconds since the start of the process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a run and returns its index.
    ///
    /// # Panics
    /// Panics when the ledger is full, since a checker would miss runs.
    pub fn start(&self, record: RunRecord) -> usize {
        let mut list = self.lock();
        assert!(list.runs.len() < MAX_RECORDS, "run ledger is full");
        list.runs.push(record);
        list.runs.len() - 1
    }

    /// Marks a run as completed.
    pub fn complete(&self, index: usize) {
        self.lock().runs[index].completed = true;
    }

    /// Adds a refusal.
    pub fn refuse(&self, instance: &str) {
        let at_ms = self.now_ms();
        let mut list = self.lock();
        if list.refusals.len() < MAX_RECORDS {
            list.refusals.push(RefusalRecord {
                at_ms,
                instance: instance.to_owned(),
            });
        }
    }

    /// Returns the runs, of one key if given, and all refusals.
    #[must_use]
    pub fn list(&self, key: Option<&str>) -> RunList {
        let now_ms = self.now_ms();
        let list = self.lock();
        let runs = list.runs.iter();
        let chosen = runs.filter(|run| key.is_none() || run.key.as_deref() == key);
        RunList {
            now_ms,
            runs: chosen.cloned().collect(),
            refusals: list.refusals.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
