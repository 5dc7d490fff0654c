use {
    serde::{Deserialize, Serialize},
    std::sync::{Mutex, PoisonError},
};

/// Runs kept; enough for the longest measurement, later runs are only counted.
const MAX_RECORDS: usize = 200_000;

/// One start of a request on an engine or plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
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

/// All runs of the process, counted independently of the gateways.
#[derive(Debug, Default)]
pub struct RunLedger {
    records: Mutex<(u64, Vec<RunRecord>)>,
}

impl RunLedger {
    /// Adds a run and returns its number, counted from 0.
    pub fn start(&self, record: RunRecord) -> u64 {
        let mut guard = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let (count, records) = &mut *guard;
        if records.len() < MAX_RECORDS {
            records.push(record);
        }
        *count += 1;
        *count - 1
    }

    /// Marks a run as completed.
    pub fn complete(&self, number: u64) {
        let mut guard = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        if let Some(record) = guard.1.get_mut(index) {
            record.completed = true;
        }
    }

    /// Returns the number of runs and the kept records, of one key if given.
    #[must_use]
    pub fn list(&self, key: Option<&str>) -> (u64, Vec<RunRecord>) {
        let guard = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let records = guard.1.iter();
        let chosen = records.filter(|record| key.is_none() || record.key.as_deref() == key);
        (guard.0, chosen.cloned().collect())
    }
}
