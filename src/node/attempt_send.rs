//! One attempt: sends a request to a backend server and classifies the head of the response.

use {
    super::{
        ExchangeFailure, HttpConnection, NodeContext, ResponseHead, RoutedCall, ServerTarget,
        bounded_stream::MAX_HEAD_BYTES, has_unknown_coding, node_log::REQUEST_TAG,
        routed_call::KEEP_ALIVE, server_answers::asked_pause,
    },
    crate::core::{
        placement::failed_server,
        retry::{ConnectionHistory, NamedRequest, ResponseFacts, ResponseProof},
    },
    hyper::{Response, StatusCode, body::Incoming, header},
    slog::info,
    std::time::Duration,
};

/// Result of an attempt, as far as the head of the response shows it.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The response is the server's own; its body is still to be read.
    Responded(Box<AttemptResponse>),
    /// The server reports that the request did not run.
    NotRun {
        /// HTTP status of the response.
        status: StatusCode,
        /// Identifier of the server that the response names as the cause; none when it names no
        /// server, or one that only asks for a pause.
        culprit: Option<String>,
    },
    /// No byte of the request was sent, so it did not run.
    NotSent,
    /// No byte was sent, because the failure domain of the server is drained since the server was
    /// chosen.
    Withheld,
    /// The server may have refused the request, or have run it: the refusal may belong to an earlier
    /// request on the connection. It says nothing bad about the server unless it names a culprit.
    UnprovenRefusal {
        /// Identifier of the server that the response names as the cause; none when it names no
        /// server.
        culprit: Option<String>,
        /// Cause for the log.
        cause: &'static str,
    },
    /// The request may have run, but the response is missing or did not come from the server. The
    /// text is the cause for the log.
    Broken(&'static str),
}

/// A response whose head has been read.
#[derive(Debug)]
pub struct AttemptResponse {
    /// The response, with its body unread.
    pub response: Response<Incoming>,
    /// Connection of the response; it can be put into the pool when the body was read to its end.
    pub connection: HttpConnection,
    /// Idle time after which the server closes the connection; none when it states none.
    pub idle: Option<Duration>,
    /// False when the server announced that it closes the connection.
    pub reusable: bool,
}

/// Sends the request to the server `target`. `last_event` is the last event that the caller has
/// when a stream is resumed; `reuse` allows an idle connection from the pool.
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
    let mut history = if kept.is_some() {
        ConnectionHistory::Reused
    } else {
        ConnectionHistory::New
    };
    let mut connection = match kept {
        Some(connection) => connection,
        None => match open_connection(context, target).await {
            Ok(connection) => connection,
            Err(_) => return AttemptOutcome::NotSent,
        },
    };
    if !context.may_send_to(&target.server).await {
        return AttemptOutcome::Withheld;
    }
    let request = call.attempt(context, &target.server, last_event);
    let mut sent = connection.send(request).await;
    let was_closed = matches!(sent, Err(ExchangeFailure::NotSent));
    if history == ConnectionHistory::Reused && was_closed {
        // The server had closed the idle connection; nothing was sent on it.
        connection = match open_connection(context, target).await {
            Ok(connection) => connection,
            Err(_) => return AttemptOutcome::NotSent,
        };
        if !context.may_send_to(&target.server).await {
            return AttemptOutcome::Withheld;
        }
        let request = call.attempt(context, &target.server, last_event);
        sent = connection.send(request).await;
        history = ConnectionHistory::New;
    }
    match sent {
        Ok(response) => {
            if is_bodiless(response.status()) && connection.has_surplus().await {
                return AttemptOutcome::Broken("forbidden_body");
            }
            classify_response(context, call, target, response, connection, history)
        }
        Err(ExchangeFailure::NotSent) => AttemptOutcome::NotSent,
        Err(ExchangeFailure::Interrupted) => AttemptOutcome::Broken("connection_broken"),
        Err(ExchangeFailure::InvalidHead) => AttemptOutcome::Broken("invalid_head"),
        Err(ExchangeFailure::EndlessHead) => {
            info!(context.logger, #REQUEST_TAG,
                "closed a connection to a server whose answer has a head without end";
                "request" => &call.caller.request_id, "server" => &target.server,
                "limit_bytes" => MAX_HEAD_BYTES);
            AttemptOutcome::Broken("endless_head")
        }
    }
}

/// True for a status whose response can have no body, whatever its headers say.
const fn is_bodiless(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

async fn open_connection(
    context: &NodeContext,
    target: &ServerTarget,
) -> Result<HttpConnection, ExchangeFailure> {
    context.metrics.connections.inc();
    context.pool.open(target.address).await
}

fn classify_response(
    context: &NodeContext,
    call: &RoutedCall,
    target: &ServerTarget,
    response: Response<Incoming>,
    connection: HttpConnection,
    history: ConnectionHistory,
) -> AttemptOutcome {
    let head: ResponseHead = (context.codec.read_answer)(response.headers());
    let status = response.status();
    let named = match &head.request_id {
        None => NamedRequest::Absent,
        Some(id) if *id == call.caller.request_id => NamedRequest::Own,
        Some(_) => NamedRequest::Other,
    };
    let facts = ResponseFacts {
        status: status.as_u16(),
        named,
        not_run: head.not_run,
        sealed: head.sealed,
        encoded: head.encoded || has_unknown_coding(response.headers()),
        history,
    };
    if named != NamedRequest::Other {
        context.note_answer(target, status, &head.notice, &call.caller.request_id);
    }
    let is_paused = asked_pause(status, &head.notice).is_some();
    let culprit = failed_server(&target.server, head.culprit, is_paused);
    match facts.proof() {
        ResponseProof::Own => {}
        ResponseProof::NotRun => return AttemptOutcome::NotRun { status, culprit },
        ResponseProof::UnprovenRefusal(cause) => {
            info!(context.logger, #REQUEST_TAG,
                "a server refused an attempt without proof that it did not run";
                "request" => &call.caller.request_id, "server" => &target.server,
                "cause" => cause, "status" => status.as_u16(), "culprit" => &culprit,
                "reused_connection" => history == ConnectionHistory::Reused);
            return AttemptOutcome::UnprovenRefusal { culprit, cause };
        }
        ResponseProof::Foreign(cause) => return AttemptOutcome::Broken(cause),
    }
    let closes = response.headers().get(header::CONNECTION);
    let closes = closes.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let idle = idle_time(&response);
    AttemptOutcome::Responded(Box::new(AttemptResponse {
        response,
        connection,
        idle,
        reusable: !closes,
    }))
}

/// Idle time from the keep-alive header, which is in whole seconds.
fn idle_time(response: &Response<Incoming>) -> Option<Duration> {
    let text = response.headers().get(KEEP_ALIVE)?.to_str().ok()?;
    for part in text.split(',') {
        if let Some(seconds) = part.trim().strip_prefix("timeout=") {
            return seconds.trim().parse().ok().map(Duration::from_secs);
        }
    }
    None
}
