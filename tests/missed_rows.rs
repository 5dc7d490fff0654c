//! Tests of the tracking of missed rows in the list of backend servers.

use toucanring::core::peers::MissedRows;

/// Guards against missed rows that are no longer requested after a pull has timed out. In such a
/// case a node continued to send requests to a draining server (DRAIN on scale-1 of
/// campanari-rete-grown, 773001).
#[tokio::test]
async fn rows_stay_missed_when_a_pull_times_out() {
    let rows = MissedRows::default();
    rows.note();
    let pull_timeout = std::time::Duration::from_millis(50);

    let pull = async {
        let pull = rows.start_pull();
        std::future::pending::<()>().await;
        pull.settle();
    };
    let ended = tokio::time::timeout(pull_timeout, pull).await;

    assert!(ended.is_err());
    assert!(rows.is_pending());
}

/// Guards against rows that are missed during a pull and forgotten when it ends.
#[test]
fn rows_missed_during_a_pull_require_another_pull() {
    let rows = MissedRows::default();
    rows.note();

    let pull = rows.start_pull();
    rows.note();
    pull.settle();

    assert!(rows.is_pending());
}
