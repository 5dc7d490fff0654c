//! Requests whose answer is passed on in one piece, so that a broken answer
//! can be replaced by a retry or by the truth.

use {
    super::{
        AnsweredAttempt, AttemptOutcome, CallHead, NodeContext, NodeMetrics, ReplyBody, Seat,
        SeatHistory, call_head::strip_connection_headers, node_clock::now,
        refusal_reply::OwnAnswer, request_record::RequestRecord, send_attempt,
    },
    crate::core::routes::RouteKind,
    hyper::{Response, StatusCode, body::Incoming, header, http::response::Parts},
    std::{sync::Arc, time::Duration},
};

/// When a caller may return whose request no server started.
const NOT_RUN_RETRY: Duration = Duration::from_millis(250);

/// Sends that did not run, after which the request is given up.
const MOST_NOT_RUN: u32 = 4;

/// Time left below which no further attempt is made.
const LEAST_TIME_LEFT: Duration = Duration::from_millis(30);

/// Attempts of a request so far.
#[derive(Debug, Default)]
struct AttemptCount {
    /// Servers that may have run it.
    ran: u32,
    /// Sends that surely did not run.
    not_run: u32,
}

/// Runs a request and returns the answer for its caller.
pub async fn run_whole(
    context: &Arc<NodeContext>,
    call: &CallHead,
    record: &mut RequestRecord,
) -> Response<ReplyBody> {
    let mut history = SeatHistory::default();
    let mut count = AttemptCount::default();
    let mut failed: Option<Response<ReplyBody>> = None;
    loop {
        let mut seat = match Seat::take(context, call, &history).await {
            Ok(seat) => seat,
            Err(answer) if count.ran == 0 => return record.refuse(answer),
            Err(_) => return give_up(record, failed, "no_server"),
        };
        record.sent_to(&seat.place.server);
        let attempt = run_attempt(context, call, &mut seat, record);
        let Ok(outcome) = tokio::time::timeout(call.time_left(), attempt).await else {
            seat.failed(&mut history, false);
            let status = StatusCode::GATEWAY_TIMEOUT;
            return record.refuse(OwnAnswer::unknown(status, "timeout"));
        };
        let cause = match outcome {
            WholeOutcome::Success(reply) => {
                seat.succeeded();
                return reply;
            }
            WholeOutcome::ServerFailure(reply) => {
                seat.failed(&mut history, false);
                count.ran += 1;
                failed = Some(reply);
                "server_failure"
            }
            WholeOutcome::NotRun => {
                seat.failed(&mut history, false);
                count.not_run += 1;
                "not_run"
            }
            WholeOutcome::Broken(cause) => {
                seat.failed(&mut history, false);
                count.ran += 1;
                cause
            }
        };
        drop(seat);
        if !may_repeat(call, &count) || !context.spend_retry(&call.service, cause) {
            if count.ran == 0 {
                return record.refuse(OwnAnswer::not_run("not_run", NOT_RUN_RETRY));
            }
            return give_up(record, failed, cause);
        }
        record.retried(cause);
    }
}

fn give_up(
    record: &mut RequestRecord,
    failed: Option<Response<ReplyBody>>,
    cause: &'static str,
) -> Response<ReplyBody> {
    match failed {
        Some(reply) => reply,
        None => record.refuse(OwnAnswer::unknown(StatusCode::BAD_GATEWAY, cause)),
    }
}

fn may_repeat(call: &CallHead, count: &AttemptCount) -> bool {
    if count.not_run >= MOST_NOT_RUN || call.time_left() < LEAST_TIME_LEFT {
        return false;
    }
    if count.ran == 0 {
        return true;
    }
    call.route().kind == RouteKind::Idempotent && count.ran < call.route().max_attempts
}

enum WholeOutcome {
    /// The server's answer, to be passed on.
    Success(Response<ReplyBody>),
    /// The server's own failure; passed on unless a retry does better.
    ServerFailure(Response<ReplyBody>),
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Broken(&'static str),
}

async fn run_attempt(
    context: &NodeContext,
    call: &CallHead,
    seat: &mut Seat,
    record: &mut RequestRecord,
) -> WholeOutcome {
    // Plain calls are few; a new connection for each cannot meet a close.
    let outcome = send_attempt(context, call, &seat.place, None, false).await;
    let answered = match outcome {
        AttemptOutcome::Answered(answered) => *answered,
        AttemptOutcome::NotRun { status, .. } => {
            record.note_status(status);
            return WholeOutcome::NotRun;
        }
        AttemptOutcome::NotSent => return WholeOutcome::NotRun,
        AttemptOutcome::Broken(cause) => return WholeOutcome::Broken(cause),
    };
    let AnsweredAttempt {
        answer, connection, ..
    } = answered;
    let (parts, body) = answer.into_parts();
    let status = parts.status;
    record.note_status(status);
    let reply = read_whole(context, parts, body).await;
    drop(connection);
    let Some(reply) = reply else {
        return WholeOutcome::Broken("answer_cut_off");
    };
    if status.is_server_error() {
        return WholeOutcome::ServerFailure(reply);
    }
    NodeMetrics::observe(&context.metrics.answer, now().saturating_sub(call.arrived));
    WholeOutcome::Success(reply)
}

/// Reads the body to its end; none when it ends early or has no end.
async fn read_whole(
    context: &NodeContext,
    mut parts: Parts,
    body: Incoming,
) -> Option<Response<ReplyBody>> {
    let collected = context.answers.collect(body).await?;
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let body = ReplyBody::whole(collected);
    Some(Response::from_parts(parts, body))
}
