//! Calls to the store about the lease of a failure domain.

use {
    super::{NodeContext, StoreClient},
    crate::{
        core::{
            lease::{LeaseEvent, LeaseRow},
            store::{RowExpectation, RowName, RowValue, StoreAnswer, StoreCall, StoreRow},
        },
        wire::{CommitRequest, RowCondition, TableRow},
    },
    serde_json::Value,
    slog::warn,
};

/// Table of the leases; each failure domain has its own part.
const LEASE_TABLE: &str = "lease";

fn lease_key(domain: &str) -> String {
    format!("lease/{domain}")
}

/// Result of a call about a lease.
#[derive(Debug)]
pub struct LeaseReply {
    /// Era of the store that answered; none without a usable answer.
    pub era: Option<u64>,
    /// Result of the call for the lease manager.
    pub event: LeaseEvent,
}

impl LeaseReply {
    const fn new(era: u64, event: LeaseEvent) -> Self {
        Self {
            era: Some(era),
            event,
        }
    }

    /// A call without a usable answer.
    const fn failed() -> Self {
        Self {
            era: None,
            event: LeaseEvent::CallFailed,
        }
    }
}

/// Reads the lease row of a failure domain. Rows of other keys are ignored.
pub(super) async fn read_lease(
    context: &NodeContext,
    client: &StoreClient,
    domain: &str,
) -> LeaseReply {
    let key = lease_key(domain);
    let call = StoreCall::Range {
        table: LEASE_TABLE.to_owned(),
        part: domain.to_owned(),
        from: key.clone(),
    };
    let Ok(StoreAnswer::Rows { rows, version, .. }) = client.call(&call).await else {
        return LeaseReply::failed();
    };
    let row = rows.into_iter().find(|row| row.name.key == key);
    let row = row.and_then(|row| lease_row(context, row));
    LeaseReply::new(version.era, LeaseEvent::Read(row))
}

/// Writes the lease row of a failure domain, if the conditions of the request hold.
pub(super) async fn commit_lease(
    client: &StoreClient,
    domain: &str,
    request: CommitRequest,
) -> LeaseReply {
    match client.call(&lease_transaction(domain, request)).await {
        Ok(StoreAnswer::Committed(version)) => {
            LeaseReply::new(version.era, LeaseEvent::Committed(version.number))
        }
        Ok(StoreAnswer::Conflict { rows, era }) => {
            LeaseReply::new(era, LeaseEvent::Conflict(lease_conflicts(domain, rows)))
        }
        // A write whose answer was lost may have taken effect; the next read shows it.
        _ => LeaseReply::failed(),
    }
}

/// Rows whose version prevented a commit; if the store names none, the lease row as one that
/// doesn't exist.
fn lease_conflicts(domain: &str, rows: Vec<StoreRow>) -> Vec<RowCondition> {
    let mut conditions = Vec::new();
    for row in rows {
        conditions.push(RowCondition {
            key: row.name.key,
            version: row.version.number,
        });
    }
    if conditions.is_empty() {
        conditions.push(RowCondition {
            key: lease_key(domain),
            version: 0,
        });
    }
    conditions
}

/// Converts a row for the lease manager; none when it was removed. A value that is not a lease
/// becomes null, so that the next holder can replace the row under its version.
fn lease_row(context: &NodeContext, row: StoreRow) -> Option<TableRow> {
    let bytes = row.value?;
    let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
    if LeaseRow::decode(&value).is_none() && context.note_ignored("lease", &row.name.key) {
        warn!(context.logger, "ignored the content of a lease row that cannot be decoded";
            "key" => &row.name.key, "version" => %row.version, "bytes" => bytes.len());
    }
    Some(TableRow {
        key: row.name.key,
        version: row.version.number,
        value,
    })
}

fn lease_transaction(domain: &str, request: CommitRequest) -> StoreCall {
    let name = |key: String| RowName {
        table: LEASE_TABLE.to_owned(),
        part: domain.to_owned(),
        key,
    };
    let expectations = request
        .conditions
        .into_iter()
        .map(|condition| RowExpectation {
            name: name(condition.key),
            version: condition.version,
        });
    let writes = request.writes.into_iter().map(|write| RowValue {
        name: name(write.key),
        value: write.value.to_string().into_bytes(),
    });
    StoreCall::Transact {
        expectations: expectations.collect(),
        writes: writes.collect(),
    }
}
