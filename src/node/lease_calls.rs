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

/// Reads the lease row of a failure domain. Rows of other keys are ignored.
pub(super) async fn read_lease(
    context: &NodeContext,
    client: &StoreClient,
    domain: &str,
) -> LeaseEvent {
    let key = lease_key(domain);
    let call = StoreCall::Range {
        table: LEASE_TABLE.to_owned(),
        part: domain.to_owned(),
        from: key.clone(),
    };
    let Ok(StoreAnswer::Rows { rows, .. }) = client.call(&call).await else {
        return LeaseEvent::CallFailed;
    };
    let row = rows.into_iter().find(|row| row.name.key == key);
    LeaseEvent::Read(row.and_then(|row| lease_row(context, row)))
}

/// Writes the lease row of a failure domain, if the conditions of the request hold.
pub(super) async fn commit_lease(
    client: &StoreClient,
    domain: &str,
    request: CommitRequest,
) -> LeaseEvent {
    match client.call(&lease_transaction(domain, request)).await {
        Ok(StoreAnswer::Committed(version)) => LeaseEvent::Committed(version.number),
        Ok(StoreAnswer::Conflict { rows, .. }) => {
            LeaseEvent::Conflict(lease_conflicts(domain, rows))
        }
        // A write whose answer was lost may have taken effect; the next read shows it.
        _ => LeaseEvent::CallFailed,
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
