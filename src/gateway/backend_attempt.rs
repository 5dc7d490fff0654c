use {
    super::{call_context::CallContext, caller_sink::CallerSink, dispatch_actor::ask_report},
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

/// Longest time between two chunks of an answer. A silent connection is found
/// earlier by pings; this bound finds an engine that hangs.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for the report that tells a crash from a lost connection.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Wait before the report is asked for again.
const CONFIRM_PAUSE: Duration = Duration::from_millis(10);

/// Largest body of a refusal in bytes.
const MAX_PROBLEM_BYTES: usize = 64 * 1024;

/// How an attempt at a chat completion went.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The answer is complete.
    Complete,
    /// The caller left.
    CallerLeft,
    /// The backend server refused the request itself; another one would too.
    Rejected(Refusal),
    /// It failed; another one may succeed.
    Failed(AttemptEnd),
}

/// One attempt of a chat completion.
#[derive(Debug)]
pub(super) struct BackendAttempt<'a> {
    pub(super) context: &'a CallContext,
    pub(super) order: &'a AttemptOrder,
    pub(super) body: &'a Bytes,
    pub(super) incarnation: Option<u64>,
}

impl BackendAttempt<'_> {
    /// Runs the attempt and delivers its chunks.
    pub(super) async fn run(
        &self,
        tracker: &mut AnswerTracker,
        sink: &mut CallerSink,
    ) -> AttemptOutcome {
        tracker.begin(&self.order.attempt);
        let first_by = if tracker.delivered() == 0 {
            self.context.instant(self.order.deadline)
        } else {
            Instant::now() + PROGRESS_TIMEOUT
        };
        let call = self
            .context
            .pool
            .send(self.order.address, self.request(tracker.delivered()));
        let answer = match timeout_at(first_by, call).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendFailure::NotSent(_))) => {
                return AttemptOutcome::Failed(AttemptEnd::ConnectFailed);
            }
            Ok(Err(SendFailure::Broken(_))) => return self.broken().await,
            Err(_) => return late(tracker),
        };
        if answer.status() != StatusCode::OK {
            return refused(answer).await;
        }
        self.stream(answer, first_by, tracker, sink).await
    }

    async fn stream(
        &self,
        answer: Response<Incoming>,
        first_by: Instant,
        tracker: &mut AnswerTracker,
        sink: &mut CallerSink,
    ) -> AttemptOutcome {
        let mut events = EventReader::new(answer.into_body());
        let mut wait_until = first_by;
        loop {
            let data = match timeout_at(wait_until, events.next()).await {
                Ok(Ok(data)) => data,
                Ok(Err(EventFailure::Malformed)) => {
                    return AttemptOutcome::Failed(AttemptEnd::Unresponsive);
                }
                Ok(Err(_)) => return self.broken().await,
                Err(_) => return late(tracker),
            };
            if data == "[DONE]" {
                if tracker.close() {
                    return AttemptOutcome::Complete;
                }
                return self.broken().await;
            }
            let Ok(chunk) = serde_json::from_str::<Value>(&data) else {
                return AttemptOutcome::Failed(AttemptEnd::Unresponsive);
            };
            match judge(&chunk, tracker) {
                Some(ChunkVerdict::Deliver) => {}
                Some(ChunkVerdict::Drop) => continue,
                Some(ChunkVerdict::Gap) => {
                    return AttemptOutcome::Failed(AttemptEnd::ConnectionLost);
                }
                None => return AttemptOutcome::Failed(AttemptEnd::Unresponsive),
            }
            if tracker.delivered() == 1 {
                self.context
                    .tell(DispatchEvent::FirstToken(self.order.ticket));
            }
            if !sink.deliver(chunk).await {
                return AttemptOutcome::CallerLeft;
            }
            wait_until = Instant::now() + PROGRESS_TIMEOUT;
        }
    }

    fn request(&self, resume_from: u64) -> Request<Full<Bytes>> {
        let left = self
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
            .header("Request-Deadline-Ms", left.to_string())
            .header("Request-Priority", u32::from(self.order.priority));
        if let AttemptTarget::Group(group, epoch) = &self.order.target {
            builder = builder
                .header("Group-Id", &group.0)
                .header("Group-Epoch", *epoch);
        }
        // All parts are checked before; an empty request is refused by the server.
        builder
            .body(Full::new(self.body.clone()))
            .unwrap_or_default()
    }

    /// Tells a crash of the group from a lost connection.
    async fn broken(&self) -> AttemptOutcome {
        let give_up = Instant::now() + CONFIRM_TIMEOUT;
        let client = &self.context.client;
        loop {
            let left = give_up.saturating_duration_since(Instant::now());
            let report = ask_report(client, self.order.address, left).await;
            let end = match report {
                Ok(report) if Some(report.incarnation) != self.incarnation => AttemptEnd::Crashed,
                Ok(_) => AttemptEnd::ConnectionLost,
                Err(error) if matches!(error.current_context(), AdapterError::Connect) => {
                    AttemptEnd::Crashed
                }
                // The question may have gone out on a connection that the same
                // crash broke; only a new one shows whether the server is up.
                Err(_) if Instant::now() + CONFIRM_PAUSE < give_up => {
                    tokio::time::sleep(CONFIRM_PAUSE).await;
                    continue;
                }
                Err(_) => AttemptEnd::Unresponsive,
            };
            return AttemptOutcome::Failed(end);
        }
    }
}

fn late(tracker: &AnswerTracker) -> AttemptOutcome {
    AttemptOutcome::Failed(if tracker.delivered() == 0 {
        AttemptEnd::DeadlinePassed
    } else {
        AttemptEnd::Unresponsive
    })
}

/// `None` when the chunk lacks its marks.
fn judge(chunk: &Value, tracker: &mut AnswerTracker) -> Option<ChunkVerdict> {
    let attempt = chunk["id"].as_str()?;
    let sequence = chunk["sequence"].as_u64()?;
    let last = !chunk["choices"][0]["finish_reason"].is_null();
    Some(tracker.accept(&ChunkHeader {
        attempt,
        sequence,
        last,
    }))
}

async fn refused(answer: Response<Incoming>) -> AttemptOutcome {
    let status = answer.status();
    let body = Limited::new(answer.into_body(), MAX_PROBLEM_BYTES);
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
        return AttemptOutcome::Rejected(super::request_head::bad(&detail));
    }
    AttemptOutcome::Failed(AttemptEnd::NotStarted)
}
