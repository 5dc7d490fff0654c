//! Rows of the list of backend servers that a node has missed.

use toucanring::core::peers::MissedRows;

/// Guards against rows that a node forgets to ask for after a pull that timed
/// out: it went on sending to a server that drains (DRAIN on scale-1 of
/// campanari-rete-grown, 773001).
#[tokio::test]
async fn rows_stay_missed_when_a_pull_times_out() {
    let rows = MissedRows::default();
    rows.note();
    let limit = std::time::Duration::from_millis(50);

    let pull = async {
        let pull = rows.start_pull();
        std::future::pending::<()>().await;
        pull.settle();
    };
    let ended = tokio::time::timeout(limit, pull).await;

    assert!(ended.is_err());
    assert!(rows.is_pending());
}

/// Guards against rows that are missed during a pull and forgotten with its end.
#[test]
fn rows_missed_during_a_pull_are_asked_for_again() {
    let rows = MissedRows::default();
    rows.note();

    let pull = rows.start_pull();
    rows.note();
    pull.settle();

    assert!(rows.is_pending());
}
