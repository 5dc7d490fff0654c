use {
    serde::{Deserialize, Serialize},
    std::{
        sync::{Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
};

/// Most runs, and most refusals, in the ledger; enough for the longest measurement.
const MAX_RECORDS: usize = 200_000;

/// One run of a request on an engine or by a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Start of the run, in milliseconds since the start of the process.
    pub at_ms: u64,
    /// `Idempotency-Key` of the request, if any.
    pub key: Option<String>,
    /// `Attempt-Id` of the request; empty when it had none.
    pub attempt: String,
    /// Digest that determines the answer of a model request; digest of the body for a plain one.
    pub digest: u64,
    /// Path of the request, without its query.
    pub path: String,
    /// Instance that ran the request; the head (rank 0 member) of the group for a model request.
    pub instance: String,
    /// Group and epoch of a model request; `None` for a plain one.
    pub group: Option<(String, u64)>,
    /// Tokens that `Resume-From` left out; 0 when the answer starts at its beginning.
    pub resumed_from: u32,
    /// Milliseconds from the announcement that the server is leaving to the start of the run;
    /// `None` when there was none.
    pub after_leaving_ms: Option<u64>,
    /// True once the whole answer was generated and, if streamed, queued for sending.
    pub completed: bool,
}

/// A model request that a backend server refused since it was not the head (rank 0
/// member) of the named group and epoch, or since the group was not complete.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalRecord {
    /// Time of the refusal, in milliseconds since the start of the process.
    pub at_ms: u64,
    /// Instance that refused the request.
    pub instance: String,
}

/// Response to `GET /control/runs`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunList {
    /// Time of the response, in milliseconds since the start of the process.
    pub now_ms: u64,
    /// Runs in the order of their start.
    pub runs: Vec<RunRecord>,
    /// Refused requests in the order of refusal; those over 200 000 are not listed.
    pub refusals: Vec<RefusalRecord>,
}

/// All runs of the process, recorded independently of what the gateways report.
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
    /// Milliseconds since the ledger was created, at the start of the process.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Adds a run and returns its index, for `complete`.
    ///
    /// # Panics
    /// Panics when the ledger is full, since a test would miss runs.
    pub fn start(&self, record: RunRecord) -> usize {
        let mut list = self.lock();
        assert!(list.runs.len() < MAX_RECORDS, "run ledger is full");
        list.runs.push(record);
        list.runs.len() - 1
    }

    /// Marks the run with this index as completed.
    pub fn complete(&self, index: usize) {
        self.lock().runs[index].completed = true;
    }

    /// Adds a refusal by this instance, unless the ledger is full.
    pub fn record_refusal(&self, instance: &str) {
        let at_ms = self.now_ms();
        let mut list = self.lock();
        if list.refusals.len() < MAX_RECORDS {
            list.refusals.push(RefusalRecord {
                at_ms,
                instance: instance.to_owned(),
            });
        }
    }

    /// Returns the runs, only those with the idempotency key if one is given, and all refusals.
    #[must_use]
    pub fn list(&self, key: Option<&str>) -> RunList {
        let now_ms = self.now_ms();
        let list = self.lock();
        let runs = list.runs.iter();
        let matching = runs.filter(|run| key.is_none() || run.key.as_deref() == key);
        RunList {
            now_ms,
            runs: matching.cloned().collect(),
            refusals: list.refusals.clone(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, RunList> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
