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

/// Body of an answer to a caller.
pub type CallerBody = BoxBody<Bytes, Infallible>;

/// Answer to a caller.
pub type CallerReply = Response<CallerBody>;

/// Body of a streamed answer. Its drop tells the call that the caller left.
#[derive(Debug)]
pub struct StreamBody {
    frames: mpsc::Receiver<Bytes>,
    _presence: oneshot::Sender<()>,
}

impl StreamBody {
    /// Creates a body from a queue of frames.
    #[must_use]
    pub const fn new(frames: mpsc::Receiver<Bytes>, presence: oneshot::Sender<()>) -> Self {
        Self {
            frames,
            _presence: presence,
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

/// Builds an answer with a whole body.
#[must_use]
pub fn whole_reply(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> CallerReply {
    let mut reply = Response::new(Full::new(body.into()).boxed());
    *reply.status_mut() = status;
    if let Ok(value) = HeaderValue::from_str(content_type) {
        reply.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    reply
}

/// Builds a stream of server-sent events.
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

/// Fields of a refusal as callers see them.
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

/// Builds the answer to a refused request.
#[must_use]
pub fn problem_reply(refusal: &Refusal, request_id: &str) -> CallerReply {
    let body = problem_body(refusal, request_id);
    let status = StatusCode::from_u16(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = whole_reply(status, "application/problem+json", encode(&body));
    if let Some(wait) = refusal.retry_after {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        let value = HeaderValue::from(seconds);
        reply.headers_mut().insert(header::RETRY_AFTER, value);
    }
    reply
}

/// Builds the event that ends an answer that cannot be completed.
#[must_use]
pub fn error_event(refusal: &Refusal, request_id: &str) -> Bytes {
    let body = encode(&problem_body(refusal, request_id));
    Bytes::from(format!("event: error\ndata: {body}\n\n"))
}

fn encode(body: &ProblemBody) -> String {
    // A struct of strings and numbers always has a JSON form.
    serde_json::to_string(body).unwrap_or_default()
}

/// What a backend server said about the execution of a request that it refused.
#[must_use]
pub fn refused_execution(body: &[u8]) -> Execution {
    serde_json::from_slice::<ProblemBody>(body)
        .map_or(Execution::Unknown, |problem| problem.execution)
}
