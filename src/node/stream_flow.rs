//! Requests for event streams. Events are passed on one by one; when the server breaks off and the
//! route allows it, the stream is resumed at another server.

use {
    super::{
        AttemptHistory, AttemptOutcome, AttemptResponse, AttemptSlot, EventSplitter,
        HttpConnection, NodeContext, ReplyBody, RoutedCall, StreamHead,
        buffered_flow::read_buffered,
        ends_with_connection,
        node_log::REQUEST_TAG,
        problem_reply::ProblemReply,
        reply_body::{StreamBroken, StreamPart},
        request_record::RequestRecord,
        routed_call::strip_connection_headers,
        send_attempt,
    },
    crate::core::{retry::EventOrder, routes::RouteKind},
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
    head: StreamHead,
    /// Error response of a server, passed on unless another attempt succeeds.
    failed: Option<Response<ReplyBody>>,
    /// Checks the events that are passed on.
    order: EventOrder,
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
    /// True when the end of the body shows only by the end of the connection.
    is_unframed: bool,
    has_events: bool,
}

/// Why reading from one server has ended.
enum SourceEnd {
    /// The server ended the stream, and all its events have been passed on.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The caller's deadline, or the timeout of the route, has passed.
    Timeout,
    /// The server broke off, sent an event that is too large or bytes that are no event of the
    /// stream, or its group makes no progress. The text is the cause for the log.
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
        head: StreamHead::default(),
        failed: None,
        order: EventOrder::default(),
    };
    let (source, status, mut headers) = match run.start().await {
        StreamStart::Source(source, status, headers) => (source, status, headers),
        StreamStart::Reply(reply) => return reply,
    };
    run.head.begin(&headers);
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    let mut reply = Response::new(ReplyBody::streamed(receiver));
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

    /// True when the next attempt may use a kept connection. A response that belongs to an earlier
    /// request on it must not decide about a stream that may run once. Earlier attempts at the same
    /// server have the same identifier as the next one.
    fn may_reuse_connection(&self, server: &str) -> bool {
        self.is_resumable() && !self.record.was_sent_to(server)
    }

    /// True when another attempt may be made: some time is left, and either certainly no server ran
    /// the request, or its route resumes streams and has attempts left.
    fn may_retry(&self) -> bool {
        if self.not_run >= MAX_NOT_RUN || self.call.time_left() < MIN_TIME_LEFT {
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
                Err(_) => return self.give_up("no_group"),
            };
            let target = slot.target.clone();
            let reuse = self.may_reuse_connection(&target.server);
            self.record.add_server(&target.server);
            let left = self.call.time_left();
            let outcome = tokio::select! {
                outcome = send_attempt(
                    &context, &self.call, &target, self.last_event, reuse,
                ) => outcome,
                () = slot.move_requested() => AttemptOutcome::Broken("group_stalled"),
                () = tokio::time::sleep(left) => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return self.refuse(ProblemReply::unknown_execution(status, "timeout"));
                }
            };
            let result = match self.check_answer(&slot, outcome).await {
                Ok(outcome) => self.handle_outcome(slot, outcome),
                Err(cause) => Err(self.note_possible_run(slot, false, cause)),
            };
            let cause = match result {
                Ok((source, status, headers)) => {
                    return StreamStart::Source(source, status, headers);
                }
                Err(cause) => cause,
            };
            let is_final = self.failed.as_ref().is_some_and(is_caller_error);
            if is_final || !self.may_retry() || !context.spend_retry(&self.call.service, cause) {
                return self.give_up(cause);
            }
            self.record.add_retry(cause);
        }
    }

    /// Ends the request without a stream, with the error response of a server when there is one.
    fn give_up(&mut self, cause: &'static str) -> StreamStart {
        if let Some(failed) = self.failed.take() {
            self.record.set_response(failed.status(), "server_failure");
            return StreamStart::Reply(failed);
        }
        if self.possible_runs.is_empty() {
            return self.refuse(ProblemReply::not_run(cause, NOT_RUN_RETRY));
        }
        self.refuse(failure(cause))
    }

    fn refuse(&mut self, problem: ProblemReply) -> StreamStart {
        StreamStart::Reply(self.record.refuse(problem))
    }

    /// Checks that a response can begin or continue the stream. An error response is read whole
    /// when it can still be passed on to the caller.
    ///
    /// # Errors
    /// The cause for which the response cannot be used.
    async fn check_answer(
        &mut self,
        slot: &AttemptSlot,
        outcome: AttemptOutcome,
    ) -> Result<AttemptOutcome, &'static str> {
        let AttemptOutcome::Responded(attempt) = outcome else {
            return Ok(outcome);
        };
        let Some(cause) = self.head.fault(&attempt.response) else {
            return Ok(AttemptOutcome::Responded(attempt));
        };
        self.record.set_server_status(attempt.response.status());
        if self.head.has_begun() {
            return Err(cause);
        }
        let (parts, body) = attempt.response.into_parts();
        let context = Arc::clone(&self.context);
        let whole = read_buffered(&context, parts, body);
        let read = tokio::time::timeout(self.call.time_left(), whole).await;
        self.failed = read.ok().flatten();
        if self.failed.is_some() && attempt.reusable {
            let address = slot.target.address;
            context.pool.keep(address, attempt.connection, attempt.idle);
        }
        Err(cause)
    }

    /// Records a failed attempt that may have run, and returns its cause. With `suspicious` its
    /// group is marked suspect.
    fn note_possible_run(
        &mut self,
        mut slot: AttemptSlot,
        suspicious: bool,
        cause: &'static str,
    ) -> &'static str {
        slot.record_failure(&mut self.history, suspicious);
        self.possible_runs.push(slot.target.server.clone());
        cause
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
            AttemptOutcome::UnprovenRefusal { culprit, cause } => {
                Err(self.note_possible_run(slot, culprit.is_some(), cause))
            }
            AttemptOutcome::Broken(cause) => Err(self.note_possible_run(slot, true, cause)),
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
        let allowed = self.order.can_resume()
            && self.may_retry()
            && self.context.spend_retry(&self.call.service, cause);
        info!(self.context.logger, #REQUEST_TAG, "response stream broke off before its end";
            "request" => &self.call.caller.request_id, "cause" => cause,
            "last_event" => self.last_event, "resumed" => allowed);
        if !allowed {
            return None;
        }
        self.record.add_retry(cause);
        self.history.resumed = true;
        self.order.begin_resumption();
        let wait = MAX_RESUME_WAIT.min(self.call.time_left());
        let start = tokio::select! {
            start = self.start() => start,
            () = sender.closed() => return None,
            () = tokio::time::sleep(wait) => return None,
        };
        match start {
            StreamStart::Source(source, ..) => Some(source),
            StreamStart::Reply(_) => None,
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
                // Without framing and events, a server that crashed looks the same.
                None if source.is_unframed && !source.has_events => {
                    return SourceEnd::Broken("stream_cut_off");
                }
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
            let checked = self.order.check(&batch.bytes);
            let events = batch.bytes.slice(..checked.length);
            if !events.is_empty() {
                source.has_events = true;
                let count = checked.count.max(1);
                source.slot.note_events(count);
                self.record.note_events(count);
                self.last_event = self.order.last();
                if sender.send(Ok(events)).await.is_err() {
                    return SourceEnd::CallerLeft;
                }
            }
            if let Some(fault) = checked.fault {
                return SourceEnd::Broken(fault);
            }
        }
    }
}

/// True for an error response that another attempt would not change.
fn is_caller_error(response: &Response<ReplyBody>) -> bool {
    !response.status().is_server_error()
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
        is_unframed: ends_with_connection(&parts.headers),
        has_events: false,
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
