//! The bounded log of a node.

use {
    slog::info,
    toucanring::node::{REQUEST_TAG, start_node_log},
};

/// Guards against lines about groups that are lost among those of single
/// requests when load is at its worst.
#[test]
fn lines_about_groups_fit_after_too_many_about_requests() {
    let (logger, sink) = start_node_log("front-1");
    for index in 0..10_000 {
        info!(logger, #REQUEST_TAG, "placed"; "request" => index);
    }

    info!(logger, "group"; "phase" => "open");

    let text = String::from_utf8(sink.take()).unwrap();
    assert!(text.contains("\"msg\":\"group\""));
    assert!(text.contains("log lines dropped"));
}
