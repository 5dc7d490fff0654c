//! Requests for event streams. Events are passed on one by one; when the server breaks off and the
//! route allows it, the stream is resumed at another server.

use {
    super::{
        AttemptHistory, AttemptOutcome, AttemptResponse, AttemptSlot, EventSplitter,
        HttpConnection, NodeContext, ReplyBody, RoutedCall,
        node_log::REQUEST_TAG,
        problem_reply::ProblemReply,
        reply_body::{StreamBroken, StreamPart},
        request_record::RequestRecord,
        routed_call::strip_connection_headers,
        send_attempt,
    },
    crate::core::routes::RouteKind,
    http_body_util::BodyExt,
    hyper::{HeaderMap, Response, StatusCode, body::Incoming, header},
    slog::info,
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Parts of a stream that are buffered for a caller that reads slowly.
const MAX_QUEUED_PARTS: usize = 4;

/// Retry-after time of a request that no server started.
const NOT_RUN_RETRY: Duration = Duration::from_millis(250);

/// Attempts that certainly did not run, after which the request is given up.
const MAX_NOT_RUN: u32 = 4;

/// Time left to the caller below which no further attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);

/// Longest pause between a broken stream and its resumption; after that the caller has surely left.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1_800);

/// State of a stream request over all its attempts.
struct StreamRun {
    context: Arc<NodeContext>,
    call: RoutedCall,
    record: RequestRecord,
    history: AttemptHistory,
    /// Servers that may have run the request, one entry for each attempt.
    possible_runs: SmallVec<[String; 2]>,
    not_run: u32,
    last_event: Option<u64>,
}

/// A response stream that is being read from one server.
struct StreamSource {
    slot: AttemptSlot,
    address: SocketAddr,
    connection: HttpConnection,
    idle: Option<Duration>,
    reusable: bool,
    body: Incoming,
    splitter: EventSplitter,
}

/// Why reading from one server has ended.
enum SourceEnd {
    /// The server ended the stream, and all its events have been passed on.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The caller's deadline, or the timeout of the route, has passed.
    Timeout,
    /// The server broke off, sent an event that is too large, or its group makes no progress. The
    /// text is the cause for the log.
    Broken(&'static str),
}

/// Result of starting a stream.
enum StreamStart {
    /// A server responded: its stream, with the status and headers of the response.
    Source(Box<StreamSource>, StatusCode, HeaderMap),
    /// No server responded with a stream; this is the error response for the caller.
    Reply(Response<ReplyBody>),
}

/// Runs a stream request and returns the response for its caller. The body is passed on by a task
/// that outlives the call.
pub async fn run_stream(
    context: &Arc<NodeContext>,
    call: RoutedCall,
    record: RequestRecord,
) -> Response<ReplyBody> {
    let mut run = StreamRun {
        context: Arc::clone(context),
        call,
        record,
        history: AttemptHistory::default(),
        possible_runs: SmallVec::new(),
        not_run: 0,
        last_event: None,
    };
    let (source, status, mut headers) = match run.start().await {
        StreamStart::Source(source, status, headers) => (source, status, headers),
        StreamStart::Reply(reply) => return reply,
    };
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    let mut reply = Response::new(ReplyBody::Parts(receiver));
    *reply.status_mut() = status;
    *reply.headers_mut() = headers;
    run.record.set_response(status, "caller_left");
    tokio::spawn(run.forward_stream(source, sender));
    reply
}

impl StreamRun {
    fn is_resumable(&self) -> bool {
        self.call.route().kind == RouteKind::Stream { resumable: true }
    }

    /// True when another attempt may be made: some time is left, and either certainly no server ran
    /// the request, or its route resumes streams and has attempts left.
    fn may_retry(&self) -> bool {
        if self.not_run >= MAX_NOT_RUN || self.call.time_left() < MIN_TIME_LEFT {
            return false;
        }
        if self.context.is_blocked(&self.call) {
            return false;
        }
        let max_attempts = self.call.route().max_attempts;
        self.possible_runs.is_empty()
            || (self.is_resumable() && self.runs_at_live_servers() < max_attempts)
    }

    /// Number of possible runs at servers that are still in the list; a run ends with its server.
    fn runs_at_live_servers(&self) -> u32 {
        let fleet = self.context.fleet();
        let live = self
            .possible_runs
            .iter()
            .filter(|id| fleet.get(id).is_some());
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Makes attempts until a server responds, or no further attempt may be made.
    async fn start(&mut self) -> StreamStart {
        loop {
            let context = Arc::clone(&self.context);
            let mut slot = match AttemptSlot::acquire(&context, &self.call, &self.history).await {
                Ok(slot) => slot,
                Err(problem) if self.possible_runs.is_empty() => return self.refuse(problem),
                Err(_) => return self.refuse(failure("no_group")),
            };
            let target = slot.target.clone();
            self.record.add_server(&target.server);
            let left = self.call.time_left();
            let outcome = tokio::select! {
                outcome = send_attempt(
                    &context, &self.call, &target, self.last_event, true,
                ) => outcome,
                () = slot.move_requested() => AttemptOutcome::Broken("group_stalled"),
                () = tokio::time::sleep(left) => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return self.refuse(ProblemReply::unknown_execution(status, "timeout"));
                }
            };
            let cause = match self.handle_outcome(slot, outcome) {
                Ok((source, status, headers)) => {
                    return StreamStart::Source(source, status, headers);
                }
                Err(cause) => cause,
            };
            if !self.may_retry() || !context.spend_retry(&self.call.service, cause) {
                if self.possible_runs.is_empty() {
                    return self.refuse(ProblemReply::not_run(cause, NOT_RUN_RETRY));
                }
                return self.refuse(failure(cause));
            }
            self.record.add_retry(cause);
        }
    }

    fn refuse(&mut self, problem: ProblemReply) -> StreamStart {
        StreamStart::Reply(self.record.refuse(problem))
    }

    /// Turns the outcome of an attempt into a source, or records the failure and returns its cause.
    fn handle_outcome(
        &mut self,
        mut slot: AttemptSlot,
        outcome: AttemptOutcome,
    ) -> Result<(Box<StreamSource>, StatusCode, HeaderMap), &'static str> {
        match outcome {
            AttemptOutcome::Responded(response) => Ok(start_source(slot, *response)),
            AttemptOutcome::NotRun { status, culprit } => {
                self.record.set_server_status(status);
                info!(self.context.logger, #REQUEST_TAG,
                    "a server reported that it did not run an attempt";
                    "request" => &self.call.caller.request_id, "server" => &slot.target.server,
                    "status" => status.as_u16(), "culprit" => &culprit);
                slot.record_failure(&mut self.history, culprit.is_some());
                self.not_run += 1;
                Err("not_run")
            }
            AttemptOutcome::NotSent => {
                slot.record_failure(&mut self.history, true);
                self.not_run += 1;
                Err("not_sent")
            }
            AttemptOutcome::Broken(cause) => {
                slot.record_break(cause);
                slot.record_failure(&mut self.history, true);
                self.possible_runs.push(slot.target.server.clone());
                Err(cause)
            }
        }
    }

    /// Passes the stream on to the caller, and resumes it at another server when it breaks.
    async fn forward_stream(mut self, source: Box<StreamSource>, sender: mpsc::Sender<StreamPart>) {
        let mut source = source;
        loop {
            let end = self.forward_events(&mut source, &sender).await;
            let cause = match end {
                SourceEnd::Complete => {
                    self.record.set_outcome("complete");
                    release_source(&self.context, *source);
                    return;
                }
                SourceEnd::CallerLeft => return,
                SourceEnd::Timeout => {
                    self.record.set_outcome("timeout");
                    break;
                }
                SourceEnd::Broken(cause) => cause,
            };
            source.slot.record_break(cause);
            source.slot.record_failure(&mut self.history, true);
            self.possible_runs.push(source.slot.target.server.clone());
            drop(source);
            match self.resume(cause, &sender).await {
                Some(next) => source = next,
                None => break,
            }
        }
        // The error closes the caller's connection, so that the stream does not look complete.
        let _ = sender.send(Err(StreamBroken)).await;
    }

    /// Resumes a broken stream at another server; none when that is not allowed or fails.
    async fn resume(
        &mut self,
        cause: &'static str,
        sender: &mpsc::Sender<StreamPart>,
    ) -> Option<Box<StreamSource>> {
        self.record.set_outcome(cause);
        let allowed = self.may_retry() && self.context.spend_retry(&self.call.service, cause);
        info!(self.context.logger, #REQUEST_TAG, "response stream broke off before its end";
            "request" => &self.call.caller.request_id, "cause" => cause,
            "last_event" => self.last_event, "resumed" => allowed);
        if !allowed {
            return None;
        }
        self.record.add_retry(cause);
        self.history.resumed = true;
        let wait = MAX_RESUME_WAIT.min(self.call.time_left());
        let start = tokio::select! {
            start = self.start() => start,
            () = sender.closed() => return None,
            () = tokio::time::sleep(wait) => return None,
        };
        match start {
            StreamStart::Source(source, status, _) if status == StatusCode::OK => Some(source),
            _ => None,
        }
    }

    /// Passes events on to the caller until the source ends.
    async fn forward_events(
        &mut self,
        source: &mut StreamSource,
        sender: &mpsc::Sender<StreamPart>,
    ) -> SourceEnd {
        let deadline = tokio::time::sleep(self.call.time_left());
        tokio::pin!(deadline);
        loop {
            let frame = tokio::select! {
                biased;
                frame = source.body.frame() => frame,
                () = source.slot.move_requested() => return SourceEnd::Broken("group_stalled"),
                () = sender.closed() => return SourceEnd::CallerLeft,
                () = &mut deadline => return SourceEnd::Timeout,
            };
            let data = match frame {
                None if source.splitter.has_pending() => return SourceEnd::Broken("event_cut_off"),
                None => return SourceEnd::Complete,
                Some(Err(_)) => return SourceEnd::Broken("stream_cut_off"),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else {
                continue;
            };
            let Some(batch) = source.splitter.push(&data) else {
                if source.splitter.is_oversized() {
                    return SourceEnd::Broken("event_too_large");
                }
                continue;
            };
            source.slot.note_events(batch.count);
            self.record.note_events(batch.count);
            if let Some((_, last)) = batch.ids {
                self.last_event = Some(last);
            }
            if sender.send(Ok(batch.bytes)).await.is_err() {
                return SourceEnd::CallerLeft;
            }
        }
    }
}

fn failure(cause: &'static str) -> ProblemReply {
    ProblemReply::unknown_execution(StatusCode::BAD_GATEWAY, cause)
}

fn start_source(
    slot: AttemptSlot,
    attempt: AttemptResponse,
) -> (Box<StreamSource>, StatusCode, HeaderMap) {
    let (parts, body) = attempt.response.into_parts();
    let source = StreamSource {
        address: slot.target.address,
        slot,
        connection: attempt.connection,
        idle: attempt.idle,
        reusable: attempt.reusable,
        body,
        splitter: EventSplitter::default(),
    };
    (Box::new(source), parts.status, parts.headers)
}

/// Records the success of a stream that was read to its end, and keeps its connection.
fn release_source(context: &NodeContext, mut source: StreamSource) {
    source.slot.record_success();
    if source.reusable {
        context
            .pool
            .keep(source.address, source.connection, source.idle);
    }
}
