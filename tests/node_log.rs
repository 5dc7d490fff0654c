//! Tests of the bounded log buffer of a node.

use {
    slog::info,
    toucanring::node::{REQUEST_TAG, start_node_log},
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
