//! Properties of the stand-ins that other tests rely on.

use {
    serde_json::json,
    standins::{
        backend::{RunLedger, RunRecord, TaskGate},
        platform::{InstanceHistory, TableStore},
        web::RateLimiter,
    },
    std::time::Duration,
    tokio::time::{Instant, timeout},
    toucanring::wire::{CommitRequest, RowCondition, RowWrite},
};

fn commit(key: &str, version: u64, value: serde_json::Value) -> CommitRequest {
    let key = key.to_owned();
    CommitRequest {
        conditions: vec![RowCondition {
            key: key.clone(),
            version,
        }],
        writes: vec![RowWrite { key, value }],
    }
}

// Guards against a table that accepts two commits with the same condition, so that two writers
// both believe that they won, for instance a lease.
#[test]
fn second_writer_with_the_same_condition_loses() {
    let mut table = TableStore::default();

    let first = table.commit(commit("lease/a", 0, json!("one")));
    let second = table.commit(commit("lease/a", 0, json!("two")));

    assert_eq!(first.map(|answer| answer.version), Ok(1));
    let conflicts = second.expect_err("condition fails").conflicts;
    assert_eq!(conflicts[0].version, 1);
    assert_eq!(
        table.read("lease/a", false).map(|row| row.value),
        Some(json!("one"))
    );
}

// Guards against a stale read that returns a value which the row never had.
#[test]
fn stale_read_returns_the_previous_version() {
    let mut table = TableStore::default();
    for (version, value) in [(0, "one"), (1, "two")] {
        table
            .commit(commit("row", version, json!(value)))
            .expect("condition holds");
    }

    let (fresh, stale) = (table.read("row", false), table.read("row", true));

    assert_eq!(fresh.map(|row| row.value), Some(json!("two")));
    assert_eq!(stale.map(|row| row.value), Some(json!("one")));
}

// Guards against an instance list that shows a change before its lag has passed, or never.
#[test]
fn instance_list_lags() {
    let now = Instant::now();
    let lag = Duration::from_secs(1);
    let row = serde_json::from_value(json!({
        "name": "a", "address": "127.0.0.1:1", "failure_domain": "d",
        "fabric_domain": "f", "accelerators": 4, "state": "live",
    }));
    let row: toucanring::wire::InstanceRow = row.expect("row is valid");
    let mut history = InstanceHistory::new(vec![row], lag);

    history.replace(now, Vec::new());

    assert_eq!(history.visible(now).len(), 1);
    assert!(history.visible(now + lag).is_empty());
}

// Guards against a run list that misses runs of a key or lists those of others.
#[test]
fn ledger_lists_runs_by_key() {
    let ledger = RunLedger::default();
    let record = |key: &str| RunRecord {
        at_ms: 0,
        key: Some(key.to_owned()),
        attempt: String::new(),
        digest: 0,
        path: String::new(),
        instance: String::new(),
        group: None,
        resumed_from: 0,
        after_leaving_ms: None,
        completed: false,
    };

    for key in ["a", "b", "a"] {
        let index = ledger.start(record(key));
        ledger.complete(index);
    }

    let runs = ledger.list(Some("a")).runs;
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|run| run.completed));
}

// Guards against a gate that lets tasks pass while it is closed, or that does not wake the waiting
// tasks when it opens; a paused server would not resume its connections.
#[tokio::test]
async fn gate_blocks_and_releases_tasks() {
    let gate = std::sync::Arc::new(TaskGate::default());
    gate.close();
    let blocked = timeout(Duration::from_millis(10), gate.wait_open()).await;
    let waiter = tokio::spawn({
        let gate = std::sync::Arc::clone(&gate);
        async move { gate.wait_open().await }
    });

    gate.open();

    assert!(blocked.is_err());
    waiter.await.expect("waiter passes");
}

// Guards against a weight store that gives each reader the full rate.
#[tokio::test]
async fn readers_share_the_rate() {
    let limiter = RateLimiter::new(1_000.0);
    let started = Instant::now();

    tokio::join!(limiter.acquire(100.0), limiter.acquire(100.0));

    assert!(started.elapsed() >= Duration::from_millis(190));
}
