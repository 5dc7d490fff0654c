//! One attempt: a request sent to a backend server, and the head of its answer.

use {
    super::{
        AnswerHead, ExchangeFailure, HttpConnection, NodeContext, RoutedCall, ServerTarget,
        routed_call::KEEP_ALIVE,
    },
    hyper::{Response, StatusCode, body::Incoming, header},
    std::time::Duration,
};

/// What the head of an answer shows.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The server's own answer, whose body is still to be read.
    Answered(Box<AnsweredAttempt>),
    /// The server says that the request did not run.
    NotRun {
        /// Status of the answer.
        status: StatusCode,
        /// Server that the answer blames.
        culprit: Option<String>,
    },
    /// No byte of the request was sent.
    NotSent,
    /// The request may have run; the answer is missing or not the server's.
    Broken(&'static str),
}

/// An answer whose head has been read.
#[derive(Debug)]
pub struct AnsweredAttempt {
    /// The answer.
    pub answer: Response<Incoming>,
    /// Its connection; kept when the body was read to its end.
    pub connection: HttpConnection,
    /// Idle time after which the server closes the connection; none when it does not say.
    pub idle: Option<Duration>,
    /// True when the connection may be used again.
    pub reusable: bool,
}

/// Sends the request to the server of a place.
pub async fn send_attempt(
    context: &NodeContext,
    call: &RoutedCall,
    target: &ServerTarget,
    last_event: Option<u64>,
    reuse: bool,
) -> AttemptOutcome {
    let kept = if reuse {
        context.pool.take(target.address)
    } else {
        None
    };
    let was_kept = kept.is_some();
    let mut connection = match kept {
        Some(connection) => connection,
        None => match open(context, target).await {
            Ok(connection) => connection,
            Err(_) => return AttemptOutcome::NotSent,
        },
    };
    let request = call.attempt(context, &target.server, last_event);
    let mut sent = connection.send(request).await;
    if was_kept && matches!(sent, Err(ExchangeFailure::NotSent)) {
        // The server closed the kept connection; nothing was sent on it.
        connection = match open(context, target).await {
            Ok(connection) => connection,
            Err(_) => return AttemptOutcome::NotSent,
        };
        let request = call.attempt(context, &target.server, last_event);
        sent = connection.send(request).await;
    }
    match sent {
        Ok(answer) => classify_response(context, call, answer, connection),
        Err(ExchangeFailure::NotSent) => AttemptOutcome::NotSent,
        Err(ExchangeFailure::Interrupted) => AttemptOutcome::Broken("connection_broken"),
    }
}

async fn open(
    context: &NodeContext,
    target: &ServerTarget,
) -> Result<HttpConnection, ExchangeFailure> {
    context.metrics.connections.inc();
    context.pool.open(target.address).await
}

fn classify_response(
    context: &NodeContext,
    call: &RoutedCall,
    answer: Response<Incoming>,
    connection: HttpConnection,
) -> AttemptOutcome {
    let head: AnswerHead = (context.codec.read_answer)(answer.headers());
    let status = answer.status();
    let names_other_request = head
        .request_id
        .as_ref()
        .is_some_and(|id| *id != call.caller.request_id);
    if names_other_request {
        return AttemptOutcome::Broken("answer_of_another_request");
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun {
            status,
            culprit: head.culprit,
        };
    }
    if head.encoded {
        return AttemptOutcome::Broken("encoded_answer");
    }
    if !head.sealed || head.request_id.is_none() {
        return AttemptOutcome::Broken("unsealed_answer");
    }
    let closes = answer.headers().get(header::CONNECTION);
    let closes = closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let idle = idle_time(&answer);
    AttemptOutcome::Answered(Box::new(AnsweredAttempt {
        answer,
        connection,
        idle,
        reusable: !closes,
    }))
}

/// Idle time that the server states in whole seconds.
fn idle_time(answer: &Response<Incoming>) -> Option<Duration> {
    let text = answer.headers().get(KEEP_ALIVE)?.to_str().ok()?;
    for part in text.split(',') {
        if let Some(seconds) = part.trim().strip_prefix("timeout=") {
            return seconds.trim().parse().ok().map(Duration::from_secs);
        }
    }
    None
}
