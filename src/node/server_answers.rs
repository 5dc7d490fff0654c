//! Takes from the answers of backend servers what they say about themselves, logs it and passes it
//! on to the fleet.

use {
    super::{NodeContext, NodeMetrics, ServerNotice, ServerTarget, node_clock::now},
    crate::core::fleet::LeavingOutcome,
    hyper::StatusCode,
    slog::info,
};

impl NodeContext {
    /// Start time of the known incarnation of a server; 0 when the server has no entry.
    pub(super) fn born_of(&self, server: &str) -> u64 {
        self.fleet().get(server).map_or(0, |entry| entry.born_ms)
    }

    /// Takes what a server said about itself in the head of an answer. The answer must belong
    /// to the request `request_id` that was sent to `target`.
    pub fn note_answer(
        &self,
        target: &ServerTarget,
        status: StatusCode,
        notice: &ServerNotice,
        request_id: &str,
    ) {
        // Another server answers at the address of the one that was meant.
        if status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        if notice.leaving {
            self.note_leaving(&target.server, target.born_ms, "answer", request_id);
        }
    }

    /// Takes from the beacon of another node that a server said that it is leaving.
    pub fn note_peer_leaving(&self, server: &str, born_ms: u64, peer: &str) {
        self.note_leaving(server, born_ms, "peer", peer);
    }

    /// `heard_by` is the identifier of the request or the name of the node from which this was
    /// heard.
    fn note_leaving(&self, server: &str, born_ms: u64, source: &'static str, heard_by: &str) {
        let outcome = self.fleet().note_leaving(now(), server, born_ms);
        let (label, change) = match outcome {
            LeavingOutcome::Known => return,
            LeavingOutcome::Noted => ("no entry changed", None),
            LeavingOutcome::Marked(change) => ("gets no new requests", Some(change)),
        };
        NodeMetrics::count(&self.metrics.server_notices, source_label(source));
        info!(self.logger, "a backend server said that it is leaving";
            "server" => server, "born_ms" => born_ms, "source" => source, "from" => heard_by,
            "holds" => "until the server ends", "outcome" => label);
        if let Some(change) = change {
            self.publish_fleet_changes(&[change], source);
        }
    }
}

fn source_label(source: &'static str) -> &'static str {
    if source == "peer" {
        "leaving_from_peer"
    } else {
        "leaving_from_answer"
    }
}
