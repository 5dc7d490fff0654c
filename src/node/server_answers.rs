//! Takes from the answers of backend servers what they say about themselves, logs it and passes it
//! on to the fleet.

use {
    super::{
        NodeContext, NodeMetrics, RoutedCall, ServerNotice, ServerTarget, attempt_slot::millis,
        node_clock::now, node_log::REQUEST_TAG,
    },
    crate::core::{
        fleet::{LeavingOutcome, MAX_SERVER_PAUSE},
        placement::return_delay,
    },
    hyper::StatusCode,
    slog::{info, warn},
    std::time::Duration,
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
        if status == StatusCode::SERVICE_UNAVAILABLE {
            self.note_pause(target, notice, request_id);
        }
        if let Some(left) = notice.cold_left {
            self.note_cold_answer(target, left);
        }
        if notice.leaving {
            self.note_leaving(&target.server, target.born_ms, "answer", request_id);
        }
    }

    /// Takes from the beacon of another node that a server said that it is leaving.
    pub fn note_peer_leaving(&self, server: &str, born_ms: u64, peer: &str) {
        self.note_leaving(server, born_ms, "peer", peer);
    }

    fn note_pause(&self, target: &ServerTarget, notice: &ServerNotice, request_id: &str) {
        let pause = match &notice.pause {
            Ok(None) => return,
            Ok(Some(pause)) => *pause,
            Err(error) => {
                NodeMetrics::count(&self.metrics.server_notices, "pause_unreadable");
                warn!(self.logger, #REQUEST_TAG, "ignored a pause that cannot be decoded";
                    "server" => &target.server, "request" => request_id, "error" => &error.rule,
                    "bytes" => error.bytes);
                return;
            }
        };
        let at = now();
        let is_later = {
            let mut fleet = self.fleet();
            let is_later = fleet.note_pause(&target.server, target.born_ms, at + pause);
            if is_later {
                self.scheduler().apply_pauses(&fleet);
                self.plain_balancer().apply_pauses(&fleet);
            }
            is_later
        };
        let is_cut = pause == MAX_SERVER_PAUSE;
        let label = if is_cut { "pause_cut" } else { "pause" };
        NodeMetrics::count(&self.metrics.server_notices, label);
        info!(self.logger, #REQUEST_TAG, "a backend server asked for a pause";
            "server" => &target.server, "born_ms" => target.born_ms, "request" => request_id,
            "holds_ms" => millis(pause), "cut_to_longest" => is_cut,
            "outcome" => if is_later { "gets no new requests" } else { "no later than known" });
    }

    /// True while the server wants no requests from this node.
    pub(super) fn is_paused(&self, target: &ServerTarget) -> bool {
        now() < self.fleet().paused_until(&target.server, target.born_ms)
    }

    /// Time after which a caller is told to return while all servers that could run its request
    /// pause; none while one of them does not.
    pub(super) fn pause_of(&self, call: &RoutedCall) -> Option<Duration> {
        let at = now();
        let until = match &call.caller.model {
            Some(model) if call.needs_engine() => {
                let group = (call.service.as_str(), model.as_str());
                self.scheduler().paused_until(at, group, None)
            }
            _ => self.plain_balancer().paused_until(at, &call.service),
        };
        until.map(|until| return_delay(at, until, rand::random()))
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

/// The pause that a server asked for with a response of this status; none without one.
pub(super) fn asked_pause(status: StatusCode, notice: &ServerNotice) -> Option<Duration> {
    let pause = notice.pause.as_ref().ok().copied().flatten();
    pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE)
}

fn source_label(source: &'static str) -> &'static str {
    if source == "peer" {
        "leaving_from_peer"
    } else {
        "leaving_from_answer"
    }
}
