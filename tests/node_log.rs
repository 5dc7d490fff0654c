//! Tests of the bounded log buffer of a node.

use {
    slog::info,
    toucanring::node::{REQUEST_TAG, log_panics, start_node_log},
};

/// Guards against losing log lines about groups at the highest load, when lines about single
/// requests fill the buffer.
#[test]
fn lines_about_groups_fit_when_request_lines_exceed_their_limit() {
    let (logger, sink) = start_node_log("front-1");
    for index in 0..10_000 {
        info!(logger, #REQUEST_TAG, "placed a request at a replica group"; "request" => index);
    }

    info!(logger, "replica group changed phase"; "phase" => "open");

    let text = String::from_utf8(sink.take()).unwrap();
    assert!(text.contains("\"msg\":\"replica group changed phase\""));
    assert!(text.contains("log lines dropped"));
}

/// Guards against a task that ends without a line in the log, so that a connection closed by a panic
/// looks like one that its caller has closed.
#[test]
fn a_panic_is_logged_with_its_place() {
    let (_, sink) = start_node_log("front-1");
    log_panics("front-1", &sink);

    let task = std::thread::spawn(|| panic!("an index is out of range"));

    assert!(task.join().is_err());
    let text = String::from_utf8(sink.take()).unwrap();
    assert!(text.contains("\"msg\":\"a task panicked and has ended\""));
    assert!(text.contains("tests/node_log.rs:"));
    assert!(text.contains("an index is out of range"));
}
