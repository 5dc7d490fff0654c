//! Reads the bodies of requests within the memory of the node.

use {
    super::{
        ActiveRoutes, NodeContext, NodeMetrics, attempt_slot::millis,
        bounded_stream::MAX_HEAD_BYTES, problem_reply::ProblemReply,
    },
    crate::{
        core::{intake::ReaderVerdict, routes::CallerLimits},
        intake::{BodyTerms, IntakeFault, NO_ROOM_RETRY, NO_ROOM_SPREAD_MS},
    },
    hyper::{Request, StatusCode, body::Incoming},
    rand::RngExt,
    slog::warn,
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// Room for the request line beside the headers, which the operator limits, in bytes.
const REQUEST_LINE_BYTES: usize = 4 * 1024;

/// Smallest read buffer of the HTTP parser in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Bytes that a header needs beside its name and its value.
const HEADER_OVERHEAD: usize = 64;

impl NodeContext {
    /// How the body of a request of `account` is read.
    pub(super) fn body_terms(&self, limits: &CallerLimits, account: Option<&str>) -> BodyTerms {
        let account = account.map(|account| {
            let mut hasher = DefaultHasher::new();
            account.hash(&mut hasher);
            hasher.finish()
        });
        BodyTerms {
            limit_bytes: limits.body_bytes,
            idle: self.settings.body_idle(limits.idle_timeout),
            account,
            // The connection counts its head.
            head_bytes: 0,
        }
    }

    /// Size of the read buffer of a caller's connection, which bounds the head of a request: the
    /// operator's limit with room for the request line.
    pub(super) fn caller_buffer_bytes(&self) -> usize {
        let Some(ActiveRoutes { table }) = self.routes() else {
            return MAX_HEAD_BYTES;
        };
        let head_bytes = table.rules().limits.head_bytes;
        (head_bytes.saturating_add(REQUEST_LINE_BYTES)).clamp(MIN_BUFFER_BYTES, MAX_HEAD_BYTES)
    }

    /// Closes the connections whose callers read no byte of a response for as long as an unfinished
    /// body may stall, and reports those that were closed to make room.
    pub(super) fn check_connections(&self) {
        self.note_closed("made_room", self.connections.take_closed());
        let Some(ActiveRoutes { table }) = self.routes() else {
            return;
        };
        let limit = self.settings.body_idle(table.rules().limits.idle_timeout);
        let closed = self.connections.close_stalled(limit);
        self.note_closed("stalled_reader", closed);
    }

    /// Closes the connection of a caller that does not read, when a response finds no room.
    pub(super) fn close_slowest_reader(&self) -> ReaderVerdict {
        let verdict = self.connections.close_slowest_reader();
        if matches!(verdict, ReaderVerdict::Close(_)) {
            self.note_closed("slow_reader", 1);
        }
        verdict
    }

    /// Counts and logs connections that were closed to make room, or whose callers did not read.
    fn note_closed(&self, reason: &'static str, closed: usize) {
        let amount = u64::try_from(closed).unwrap_or(u64::MAX);
        NodeMetrics::count_many(&self.metrics.memory.closed, reason, amount);
        if closed > 0 && self.is_log_due("closed_connection", reason) {
            let (connections, held_bytes) = self.connections.counts();
            warn!(self.logger, "closed connections of callers; logged once a minute for each reason";
                "reason" => reason, "closed" => closed, "connections" => connections,
                "connection_bytes" => held_bytes,
                "response_bytes" => self.response_budget.held_bytes());
        }
    }

    /// Counts and logs a body that was not read to its end, and reads the rest for a short time if
    /// that helps its caller to get the response.
    pub(super) fn reject_body(
        &self,
        fault: IntakeFault,
        body: Incoming,
        terms: BodyTerms,
    ) -> ProblemReply {
        let problem = body_problem(fault);
        NodeMetrics::count(&self.metrics.memory.bodies_dropped, problem.cause);
        if self.intake.is_log_due(fault) {
            warn!(self.logger, "rejected a request body; logged once a minute for each reason";
                "reason" => problem.cause, "held_bytes" => self.intake.held_bytes(),
                "requests" => self.intake.bodies(), "limit_bytes" => terms.limit_bytes,
                "idle_limit_ms" => millis(terms.idle));
        }
        if !matches!(fault, IntakeFault::CutOff | IntakeFault::Stalled) {
            self.intake.discard_rest(body, terms.limit_bytes);
        }
        problem
    }
}

/// Memory that the head of a request takes, in bytes.
pub(super) fn head_bytes(request: &Request<Incoming>) -> usize {
    let uri = request.uri();
    let mut bytes = uri.path().len() + uri.query().map_or(0, str::len);
    for (name, value) in request.headers() {
        bytes += name.as_str().len() + value.len() + HEADER_OVERHEAD;
    }
    bytes
}

fn body_problem(fault: IntakeFault) -> ProblemReply {
    let invalid = ProblemReply::invalid_request;
    let no_room = |cause| {
        let spread = rand::rng().random_range(0..NO_ROOM_SPREAD_MS);
        ProblemReply::not_run(cause, NO_ROOM_RETRY + Duration::from_millis(spread))
    };
    match fault {
        IntakeFault::TooLarge => invalid(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"),
        IntakeFault::Stalled => invalid(StatusCode::REQUEST_TIMEOUT, "body_stalled"),
        IntakeFault::NoRoom => no_room("no_body_room"),
        IntakeFault::Dropped => no_room("body_dropped"),
        // The caller closed the connection and won't read this response; it is only counted and
        // logged.
        IntakeFault::CutOff => invalid(StatusCode::BAD_REQUEST, "body_cut_off"),
    }
}
