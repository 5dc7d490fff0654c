use {
    super::{NodeContext, ReplyBody},
    crate::wire::{Execution, ProblemBody},
    bytes::Bytes,
    hyper::{Response, StatusCode, header},
    std::time::Duration,
};

/// An error response that the gateway makes itself, with a problem body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProblemReply {
    /// HTTP status of the response.
    pub status: StatusCode,
    /// Cause, as the type of the problem body and the outcome in the log.
    pub cause: &'static str,
    /// What is known about whether a backend server ran the request.
    pub execution: Execution,
    /// Time after which the caller may retry; none when a retry doesn't help or isn't safe.
    pub retry_after: Option<Duration>,
}

impl ProblemReply {
    /// The request did not run, and the caller may retry after some time; the status is 503.
    #[must_use]
    pub const fn not_run(cause: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            cause,
            execution: Execution::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// The request itself is at fault and did not run.
    #[must_use]
    pub const fn invalid_request(status: StatusCode, cause: &'static str) -> Self {
        Self {
            status,
            cause,
            execution: Execution::NotRun,
            retry_after: None,
        }
    }

    /// The request may have run, but there is no complete response.
    #[must_use]
    pub const fn unknown_execution(status: StatusCode, cause: &'static str) -> Self {
        Self {
            status,
            cause,
            execution: Execution::Unknown,
            retry_after: None,
        }
    }

    /// Builds the HTTP response.
    ///
    /// # Panics
    /// Never: a problem body has only fields that JSON can hold.
    #[must_use]
    pub fn into_response(self, context: &NodeContext, request_id: &str) -> Response<ReplyBody> {
        let problem = ProblemBody {
            reason: self.cause.to_owned(),
            status: self.status.as_u16(),
            detail: String::new(),
            execution: self.execution,
            request_id: request_id.to_owned(),
        };
        let body = serde_json::to_vec(&problem).expect("a problem body can be written as JSON");
        let mut reply = Response::new(ReplyBody::whole(Bytes::from(body)));
        *reply.status_mut() = self.status;
        let headers = reply.headers_mut();
        let json = header::HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(after) = self.retry_after {
            (context.codec.write_retry_after)(headers, after);
        }
        reply
    }
}
