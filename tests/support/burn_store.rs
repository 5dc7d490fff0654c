use {
    std::collections::BTreeMap,
    toucanring::{
        core::burn::{FinishedRequest, MinuteRecord, RequestOutcome},
        wire::Execution,
    },
};

/// Fake object store that keeps the last record written under each key.
#[derive(Default)]
pub struct BurnStore {
    pub objects: BTreeMap<String, MinuteRecord>,
}

impl BurnStore {
    pub fn put(&mut self, key: &str, record: MinuteRecord) {
        self.objects.insert(key.to_owned(), record);
    }

    /// Number of requests in all records.
    pub fn count(&self) -> u64 {
        let rows = self.objects.values().flat_map(|record| &record.requests);
        rows.map(|row| row.count).sum()
    }

    /// Number of requests that the records state as lost.
    pub fn lost(&self) -> u64 {
        let records = self.objects.values();
        records.map(|record| record.lost.requests).sum()
    }
}

pub fn finished(account: &str) -> FinishedRequest {
    FinishedRequest {
        service: "chat".to_owned(),
        account: account.to_owned(),
        kind: "note".to_owned(),
        weight: 1.0,
        outcome: RequestOutcome::Completed,
    }
}

pub fn refused(reason: &str) -> FinishedRequest {
    FinishedRequest {
        outcome: RequestOutcome::Refused {
            reason: reason.to_owned(),
            execution: Execution::NotRun,
        },
        ..finished("foundry")
    }
}
