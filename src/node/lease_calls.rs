//! Calls to the store about the lease of a failure domain.

use {
    super::StoreClient,
    crate::{
        core::{
            lease::LeaseEvent,
            store::{RowExpectation, RowName, RowValue, StoreAnswer, StoreCall, StoreRow},
        },
        wire::{CommitRequest, RowCondition, TableRow},
    },
};

/// Table of the leases; each failure domain has its own part.
const LEASE_TABLE: &str = "lease";

/// Reads the lease row of a failure domain.
pub(super) async fn read_lease(client: &StoreClient, domain: &str) -> LeaseEvent {
    let call = StoreCall::Range {
        table: LEASE_TABLE.to_owned(),
        part: domain.to_owned(),
        from: String::new(),
    };
    match client.call(&call).await {
        Ok(StoreAnswer::Rows { rows, .. }) => {
            LeaseEvent::Read(rows.into_iter().find_map(lease_row))
        }
        _ => LeaseEvent::CallFailed,
    }
}

/// Writes the lease row of a failure domain, if the conditions of the request hold.
pub(super) async fn commit_lease(
    client: &StoreClient,
    domain: &str,
    request: CommitRequest,
) -> LeaseEvent {
    match client.call(&lease_transaction(domain, request)).await {
        Ok(StoreAnswer::Committed(version)) => LeaseEvent::Committed(version),
        Ok(StoreAnswer::Conflict(rows)) => LeaseEvent::Conflict(lease_conflicts(domain, rows)),
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
            version: row.version,
        });
    }
    if conditions.is_empty() {
        conditions.push(RowCondition {
            key: format!("lease/{domain}"),
            version: 0,
        });
    }
    conditions
}

/// Decodes a row for the lease manager; none when it was removed or is not JSON.
fn lease_row(row: StoreRow) -> Option<TableRow> {
    let value = serde_json::from_slice(&row.value?).ok()?;
    Some(TableRow {
        key: row.name.key,
        version: row.version,
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
