use {
    super::{call_context::CallContext, caller_sink::CallerSink, dispatch_actor::fetch_report},
    crate::{
        adapters::{AdapterError, EventFailure, EventReader, SendFailure, refused_execution},
        core::{
            dispatch::{AttemptEnd, AttemptOrder, AttemptTarget, DispatchEvent, Refusal},
            retry::{AnswerTracker, ChunkHeader, ChunkVerdict},
        },
        wire::{Execution, ProblemBody},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, header},
    serde_json::Value,
    std::time::Duration,
    tokio::time::{Instant, timeout_at},
};

/// Longest time between two chunks of an answer, and before the first chunk of a resumed one. It
/// detects an engine that hangs; a silent connection is detected earlier, by pings.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the instance report that distinguishes a crash from a lost connection.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a failed report request is repeated.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum size of the body of a refusal; a larger one is treated as empty.
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// How an attempt to run a chat completion ended.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The final chunk and `[DONE]` have arrived.
    Complete,
    /// The caller's connection is closed, or the caller stopped reading.
    CallerLeft,
    /// The backend server refused the request as invalid, as every other server would.
    Rejected(Refusal),
    /// The attempt failed; a further attempt may succeed.
    Failed(AttemptEnd),
}

/// One attempt to run a chat completion at a backend server.
#[derive(Debug)]
pub(super) struct BackendAttempt<'a> {
    pub(super) context: &'a CallContext,
    pub(super) order: &'a AttemptOrder,
    pub(super) body: &'a Bytes,
    /// Incarnation of the server according to the group entry; another one in its report means that
    /// it crashed.
    pub(super) incarnation: Option<u64>,
}

impl BackendAttempt<'_> {
    /// Sends the request and delivers the chunks of the answer to `sink`.
    pub(super) async fn run(
        &self,
        tracker: &mut AnswerTracker,
        sink: &mut CallerSink,
    ) -> AttemptOutcome {
        tracker.begin(&self.order.attempt);
        let first_chunk_deadline = if tracker.delivered() == 0 {
            self.context.to_instant(self.order.deadline)
        } else {
            Instant::now() + PROGRESS_TIMEOUT
        };
        let call = self
            .context
            .pool
            .send(self.order.address, self.build_request(tracker.delivered()));
        let response = match timeout_at(first_chunk_deadline, call).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendFailure::NotSent(_))) => {
                return AttemptOutcome::Failed(AttemptEnd::ConnectFailed);
            }
            Ok(Err(SendFailure::Broken(_))) => return self.resolve_broken_connection().await,
            Err(_) => return timeout_outcome(tracker),
        };
        if response.status() != StatusCode::OK {
            return refusal_outcome(response).await;
        }
        self.read_stream(response, first_chunk_deadline, tracker, sink)
            .await
    }

    async fn read_stream(
        &self,
        response: Response<Incoming>,
        first_chunk_deadline: Instant,
        tracker: &mut AnswerTracker,
        sink: &mut CallerSink,
    ) -> AttemptOutcome {
        let mut events = EventReader::new(response.into_body());
        let mut chunk_deadline = first_chunk_deadline;
        loop {
            let data = match timeout_at(chunk_deadline, events.next()).await {
                Ok(Ok(data)) => data,
                Ok(Err(EventFailure::Malformed)) => {
                    return AttemptOutcome::Failed(AttemptEnd::Unresponsive);
                }
                Ok(Err(_)) => return self.resolve_broken_connection().await,
                Err(_) => return timeout_outcome(tracker),
            };
            if data == "[DONE]" {
                if tracker.close() {
                    return AttemptOutcome::Complete;
                }
                return self.resolve_broken_connection().await;
            }
            let Ok(chunk) = serde_json::from_str::<Value>(&data) else {
                return AttemptOutcome::Failed(AttemptEnd::Unresponsive);
            };
            match accept_chunk(&chunk, tracker) {
                Some(ChunkVerdict::Deliver) => {}
                Some(ChunkVerdict::Drop) => continue,
                Some(ChunkVerdict::Gap) => {
                    return AttemptOutcome::Failed(AttemptEnd::ConnectionLost);
                }
                None => return AttemptOutcome::Failed(AttemptEnd::Unresponsive),
            }
            if tracker.delivered() == 1 {
                self.context
                    .send_event(DispatchEvent::FirstToken(self.order.ticket));
            }
            if !sink.deliver(chunk).await {
                return AttemptOutcome::CallerLeft;
            }
            chunk_deadline = Instant::now() + PROGRESS_TIMEOUT;
        }
    }

    fn build_request(&self, resume_from: u64) -> Request<Full<Bytes>> {
        let remaining = self
            .order
            .deadline
            .saturating_sub(self.context.now())
            .as_millis();
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/chat/completions", self.order.address))
            .header(header::CONTENT_TYPE, "application/json")
            .header("Attempt-Id", &self.order.attempt)
            .header("Resume-From", resume_from)
            .header("Request-Deadline-Ms", remaining.to_string())
            .header("Request-Priority", u32::from(self.order.priority));
        if let AttemptTarget::Group(group, epoch) = &self.order.target {
            builder = builder
                .header("Group-Id", &group.0)
                .header("Group-Epoch", *epoch);
        }
        // The parts were checked before, so that building cannot fail. The empty request sent
        // otherwise would be refused by the server.
        builder
            .body(Full::new(self.body.clone()))
            .unwrap_or_default()
    }

    /// Requests the server's report to find out whether it crashed or only the connection broke.
    async fn resolve_broken_connection(&self) -> AttemptOutcome {
        let confirm_deadline = Instant::now() + CONFIRM_TIMEOUT;
        let client = &self.context.client;
        loop {
            let remaining = confirm_deadline.saturating_duration_since(Instant::now());
            let report = fetch_report(client, self.order.address, remaining).await;
            let end = match report {
                Ok(report) if Some(report.incarnation) != self.incarnation => AttemptEnd::Crashed,
                Ok(_) => AttemptEnd::ConnectionLost,
                Err(error) if matches!(error.current_context(), AdapterError::Connect) => {
                    AttemptEnd::Crashed
                }
                // The report request may have used a connection that the same crash broke. Only a
                // new connection shows whether the server is up.
                Err(_) if Instant::now() + CONFIRM_RETRY_DELAY < confirm_deadline => {
                    tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
                    continue;
                }
                Err(_) => AttemptEnd::Unresponsive,
            };
            return AttemptOutcome::Failed(end);
        }
    }
}

fn timeout_outcome(tracker: &AnswerTracker) -> AttemptOutcome {
    AttemptOutcome::Failed(if tracker.delivered() == 0 {
        AttemptEnd::DeadlinePassed
    } else {
        AttemptEnd::Unresponsive
    })
}

/// Returns `None` if the chunk has no valid `id` or `sequence`.
fn accept_chunk(chunk: &Value, tracker: &mut AnswerTracker) -> Option<ChunkVerdict> {
    let attempt = chunk["id"].as_str()?;
    let sequence = chunk["sequence"].as_u64()?;
    let last = !chunk["choices"][0]["finish_reason"].is_null();
    Some(tracker.accept(&ChunkHeader {
        attempt,
        sequence,
        last,
    }))
}

async fn refusal_outcome(response: Response<Incoming>) -> AttemptOutcome {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_PROBLEM_BYTES);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    if refused_execution(&body) != Execution::NotRun {
        return AttemptOutcome::Failed(AttemptEnd::Unresponsive);
    }
    if status == StatusCode::BAD_REQUEST || status == StatusCode::UNPROCESSABLE_ENTITY {
        let problem: Option<ProblemBody> = serde_json::from_slice(&body).ok();
        let detail = problem.map_or_else(String::new, |problem| problem.detail);
        return AttemptOutcome::Rejected(super::request_head::invalid(&detail));
    }
    AttemptOutcome::Failed(AttemptEnd::NotStarted)
}
