//! Requests whose response is buffered whole before it is passed on, so that a broken response can
//! be replaced by that of a retry, or by an error response.

use {
    super::{
        AttemptHistory, AttemptOutcome, AttemptResponse, AttemptSlot, NodeContext, NodeMetrics,
        ReplyBody, RoutedCall, ends_with_connection, node_clock::now, problem_reply::ProblemReply,
        request_record::RequestRecord, routed_call::strip_connection_headers, send_attempt,
        stop_check::STOPPING,
    },
    crate::core::routes::RouteKind,
    hyper::{
        Response, StatusCode,
        body::{Body, Incoming},
        header,
        http::response::Parts,
    },
    std::{sync::Arc, time::Duration},
};

/// Retry-after time of a request that no server started.
const NOT_RUN_RETRY: Duration = Duration::from_millis(250);

/// Attempts that did not run, after which the request is given up.
const MAX_NOT_RUN: u32 = 4;

/// Time left to the caller below which no further attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Failed attempts of a request so far.
#[derive(Debug, Default)]
struct AttemptCounts {
    /// Attempts that may have run at a server.
    possible_runs: u32,
    /// Attempts that certainly did not run.
    not_run: u32,
}

/// Runs a request and returns the response for its caller.
pub async fn run_buffered(
    context: &Arc<NodeContext>,
    call: &RoutedCall,
    record: &mut RequestRecord,
) -> Response<ReplyBody> {
    let mut history = AttemptHistory::default();
    let mut counts = AttemptCounts::default();
    let mut failed: Option<Response<ReplyBody>> = None;
    let mut planned_retry: Option<&'static str> = None;
    loop {
        let mut slot = match AttemptSlot::acquire(context, call, &history).await {
            Ok(slot) => slot,
            Err(problem) if counts.possible_runs == 0 => return record.refuse(problem),
            Err(_) => return failure_reply(record, failed, "no_server"),
        };
        if let Some(cause) = planned_retry.take() {
            if !context.spend_retry(&call.service, cause) {
                return give_up(record, &counts, failed, (cause, None));
            }
            record.add_retry(cause);
        }
        record.add_server(&slot.target.server);
        let outcome = tokio::select! {
            biased;
            outcome = run_attempt(context, call, &mut slot, record) => outcome,
            () = tokio::time::sleep(call.time_left()) => {
                slot.record_failure(&mut history, false);
                let status = StatusCode::GATEWAY_TIMEOUT;
                return record.refuse(ProblemReply::unknown_execution(status, "timeout"));
            }
            () = context.wait_for_answers_end() => return failure_reply(record, failed, STOPPING),
        };
        let cause = match outcome {
            BufferedOutcome::Success(reply) => {
                slot.record_success();
                let outcome = if reply.status().is_success() {
                    "complete"
                } else {
                    "server_response"
                };
                record.set_response(reply.status(), outcome);
                return reply;
            }
            BufferedOutcome::ServerFailure(reply) => {
                slot.record_answer();
                slot.record_failure(&mut history, false);
                counts.possible_runs += 1;
                failed = Some(reply);
                "server_failure"
            }
            BufferedOutcome::NotRun => {
                slot.record_failure(&mut history, false);
                counts.not_run += 1;
                "not_run"
            }
            BufferedOutcome::Broken(cause) => {
                slot.record_break(cause);
                slot.record_failure(&mut history, false);
                counts.possible_runs += 1;
                cause
            }
        };
        drop(slot);
        let pause = context.pause_of(call);
        let may_retry = pause.is_none() && !context.is_blocked(call) && may_retry(call, &counts);
        if !may_retry || !context.has_retry(&call.service) {
            return give_up(record, &counts, failed, (cause, pause));
        }
        planned_retry = Some(cause);
    }
}

/// Ends a request without another attempt. `pause` is the time after which the first server takes
/// requests again, when all pause.
fn give_up(
    record: &mut RequestRecord,
    counts: &AttemptCounts,
    failed: Option<Response<ReplyBody>>,
    (cause, pause): (&'static str, Option<Duration>),
) -> Response<ReplyBody> {
    if counts.possible_runs == 0 {
        let retry_after = pause.unwrap_or(NOT_RUN_RETRY);
        return record.refuse(ProblemReply::not_run("not_run", retry_after));
    }
    failure_reply(record, failed, cause)
}

fn failure_reply(
    record: &mut RequestRecord,
    failed: Option<Response<ReplyBody>>,
    cause: &'static str,
) -> Response<ReplyBody> {
    match failed {
        Some(reply) => {
            record.set_response(reply.status(), "server_failure");
            reply
        }
        None => record.refuse(ProblemReply::unknown_execution(
            StatusCode::BAD_GATEWAY,
            cause,
        )),
    }
}

fn may_retry(call: &RoutedCall, counts: &AttemptCounts) -> bool {
    if counts.not_run >= MAX_NOT_RUN || call.time_left() < MIN_TIME_LEFT {
        return false;
    }
    if counts.possible_runs == 0 {
        return true;
    }
    call.route().kind == RouteKind::Idempotent && counts.possible_runs < call.route().max_attempts
}

enum BufferedOutcome {
    /// The server's response, to be passed on.
    Success(Response<ReplyBody>),
    /// The server responded with a status of 500 or above; passed on unless a retry succeeds.
    ServerFailure(Response<ReplyBody>),
    /// The request did not run.
    NotRun,
    /// The request may have run, but there is no complete response. The text is the cause for the
    /// log.
    Broken(&'static str),
}

async fn run_attempt(
    context: &NodeContext,
    call: &RoutedCall,
    slot: &mut AttemptSlot,
    record: &mut RequestRecord,
) -> BufferedOutcome {
    // These requests are few. A new connection for each cannot collide with the server closing an
    // idle one.
    let outcome = send_attempt(context, call, &slot.target, None, false).await;
    let response = match outcome {
        AttemptOutcome::Responded(response) => *response,
        AttemptOutcome::NotRun { status, .. } => {
            record.set_server_status(status);
            return BufferedOutcome::NotRun;
        }
        AttemptOutcome::NotSent | AttemptOutcome::Withheld => return BufferedOutcome::NotRun,
        AttemptOutcome::UnprovenRefusal { cause, .. } | AttemptOutcome::Broken(cause) => {
            return BufferedOutcome::Broken(cause);
        }
    };
    let AttemptResponse {
        response,
        connection,
        ..
    } = response;
    let (parts, body) = response.into_parts();
    let status = parts.status;
    record.set_server_status(status);
    let reply = read_buffered(context, parts, body).await;
    drop(connection);
    let Some(reply) = reply else {
        return BufferedOutcome::Broken("answer_cut_off");
    };
    if status.is_server_error() {
        return BufferedOutcome::ServerFailure(reply);
    }
    NodeMetrics::observe(&context.metrics.answer, now().saturating_sub(call.arrived));
    BufferedOutcome::Success(reply)
}

/// Reads the body to its end; none when it ends early, is too large or doesn't fit the memory
/// budget. A success whose body ends with its connection and is empty counts as one that ended early:
/// a server that crashed after the head looks the same.
pub(super) async fn read_buffered(
    context: &NodeContext,
    mut parts: Parts,
    body: Incoming,
) -> Option<Response<ReplyBody>> {
    let is_unframed = !body.is_end_stream() && ends_with_connection(&parts.headers);
    let budget = &context.response_budget;
    let collected = budget
        .collect_with(body, || context.close_slowest_reader())
        .await?;
    if is_unframed && collected.is_empty() && parts.status.is_success() {
        return None;
    }
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let body = ReplyBody::whole(collected);
    Some(Response::from_parts(parts, body))
}
