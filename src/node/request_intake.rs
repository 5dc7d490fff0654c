//! Reads the bodies of requests within the memory of the node.

use {
    super::{NodeContext, NodeMetrics, attempt_slot::millis, problem_reply::ProblemReply},
    crate::{
        core::routes::CallerLimits,
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

/// Bytes that a header needs beside its name and its value.
const HEADER_OVERHEAD: usize = 64;

impl NodeContext {
    /// How the body of a request of `account` is read.
    pub(super) fn body_terms(
        &self,
        limits: &CallerLimits,
        account: Option<&str>,
        request: &Request<Incoming>,
    ) -> BodyTerms {
        let account = account.map(|account| {
            let mut hasher = DefaultHasher::new();
            account.hash(&mut hasher);
            hasher.finish()
        });
        let mut head_bytes = request.uri().path().len();
        for (name, value) in request.headers() {
            head_bytes += name.as_str().len() + value.len() + HEADER_OVERHEAD;
        }
        BodyTerms {
            limit_bytes: limits.body_bytes,
            idle: self.settings.body_idle(limits.idle_timeout),
            account,
            head_bytes,
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
            self.intake.drain(body, terms.limit_bytes);
        }
        problem
    }
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
