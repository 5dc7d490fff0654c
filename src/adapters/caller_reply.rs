use {
    crate::{
        core::dispatch::Refusal,
        wire::{Execution, ProblemBody},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, combinators::BoxBody},
    hyper::{
        Response, StatusCode,
        body::{Body, Frame},
        header::{self, HeaderValue},
    },
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
    tokio::sync::{mpsc, oneshot},
};

/// Body of a response to a caller, in memory or streamed.
pub type CallerBody = BoxBody<Bytes, Infallible>;

/// HTTP response to a caller.
pub type CallerReply = Response<CallerBody>;

/// Body of a streamed response. Dropping it closes the channel through which the task of the call
/// learns that the caller left.
#[derive(Debug)]
pub struct StreamBody {
    frames: mpsc::Receiver<Bytes>,
    _caller_presence: oneshot::Sender<()>,
}

impl StreamBody {
    /// Creates a body from a queue of frames. `caller_presence` is dropped with the body; nothing
    /// is sent through it.
    #[must_use]
    pub const fn new(frames: mpsc::Receiver<Bytes>, caller_presence: oneshot::Sender<()>) -> Self {
        Self {
            frames,
            _caller_presence: caller_presence,
        }
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let frame = self.frames.poll_recv(context);
        frame.map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Builds a response from a complete body. An invalid `content_type` is left out.
#[must_use]
pub fn full_reply(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> CallerReply {
    let mut reply = Response::new(Full::new(body.into()).boxed());
    *reply.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

/// Builds a response with status 200 that streams server-sent events.
#[must_use]
pub fn stream_reply(body: StreamBody) -> CallerReply {
    let mut reply = Response::new(body.boxed());
    let headers = reply.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/event-stream"),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    reply
}

/// Builds the problem body that describes a refusal to the caller.
#[must_use]
pub fn problem_body(refusal: &Refusal, request_id: &str) -> ProblemBody {
    ProblemBody {
        reason: refusal.reason.name().to_owned(),
        status: refusal.reason.status(),
        detail: refusal.detail.clone(),
        execution: refusal.execution,
        request_id: request_id.to_owned(),
    }
}

/// Builds the response to a refused request. `Retry-After` is rounded up to whole seconds, and left
/// out if the refusal has no delay.
#[must_use]
pub fn problem_reply(refusal: &Refusal, request_id: &str) -> CallerReply {
    let body = problem_body(refusal, request_id);
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = full_reply(status, "application/problem+json", encode(&body));
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        let value = HeaderValue::from(seconds);
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// Builds the server-sent event that ends a streamed answer that cannot be completed.
#[must_use]
pub fn error_event(refusal: &Refusal, request_id: &str) -> Bytes {
    let body = encode(&problem_body(refusal, request_id));
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

fn encode(body: &ProblemBody) -> String {
    // Does not fail: a struct of strings and numbers can always be encoded as JSON.
    serde_json::to_string(body).unwrap_or_default()
}

/// What a backend server stated about the execution of a request that it refused. `Unknown` if the
/// body is not a problem body.
#[must_use]
pub fn refused_execution(body: &[u8]) -> Execution {
    serde_json::from_slice::<ProblemBody>(body)
        .map_or(Execution::Unknown, |problem| problem.execution)
}
