//! Watches attempts for servers that crash before they begin to answer.

use {
    super::{
        NodeContext, NodeMetrics, RoutedCall, attempt_slot::millis, node_clock::now,
        node_log::REQUEST_TAG,
    },
    slog::info,
    smallvec::SmallVec,
    std::time::Duration,
};

/// Causes of a broken attempt that may be a crash of the server. Others, such as the answer of
/// another request, show that it runs.
const CRASH_CAUSES: [&str; 4] = [
    "connection_broken",
    "stream_cut_off",
    "event_cut_off",
    "answer_cut_off",
];

/// One attempt, from its slot to its first event.
#[derive(Debug)]
pub(super) struct CrashWatch {
    request_id: String,
    parts: SmallVec<[u64; 4]>,
    server: String,
    /// Start time of the server in Unix milliseconds; 0 when unknown.
    born_ms: u64,
    started: Duration,
    /// True until the first event has arrived.
    waiting: bool,
}

impl CrashWatch {
    pub(super) fn new(context: &NodeContext, call: &RoutedCall, server: &str) -> Self {
        let born_ms = context.fleet().get(server).map_or(0, |entry| entry.born_ms);
        Self {
            request_id: call.caller.request_id.clone(),
            parts: call.caller.prompt_parts.clone(),
            server: server.to_owned(),
            born_ms,
            started: now(),
            waiting: true,
        }
    }

    /// Records that an event of the answer has arrived.
    pub(super) fn note_first_event(&mut self, _context: &NodeContext) {
        self.waiting = false;
    }

    /// Records that the attempt broke off. After the first event a crash of the server says nothing
    /// about the request, as another one has begun to run since.
    pub(super) fn record_break(&mut self, context: &NodeContext, cause: &'static str) {
        if !self.waiting || !CRASH_CAUSES.contains(&cause) {
            return;
        }
        self.waiting = false;
        NodeMetrics::count(&context.metrics.crash_evidence, cause);
        info!(context.logger, #REQUEST_TAG,
            "the connection to a server broke before its first event to a request";
            "request" => &self.request_id, "server" => &self.server,
            "server_started_ms" => self.born_ms, "cause" => cause,
            "prompt_parts" => part_list(&self.parts),
            "waited_ms" => millis(now().saturating_sub(self.started)));
    }
}

/// Identifiers of prompt parts for a log line, in hexadecimal as the callers write them.
fn part_list(parts: &[u64]) -> String {
    let texts: Vec<String> = parts.iter().map(|part| format!("{part:x}")).collect();
    texts.join(" ")
}
