//! Requests for event streams. Events are passed on one by one; when the server breaks off and the
//! route allows it, the stream is resumed at another server. When the server is only silent, its
//! stream is kept until another server goes on with it.

use {
    super::{
        NodeContext, ReplyBody, RoutedCall,
        node_log::REQUEST_TAG,
        reply_body::{StreamBroken, StreamPart},
        request_record::RequestRecord,
        routed_call::strip_connection_headers,
        stream_run::{SERVER_SILENT, StreamRun, StreamStart},
        stream_source::StreamSource,
    },
    hyper::{Response, header},
    slog::info,
    std::{pin::pin, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Parts of a stream that are buffered for a caller that reads slowly.
const MAX_QUEUED_PARTS: usize = 4;

/// Longest pause between a broken stream and its resumption; after that the caller has surely left.
const MAX_RESUME_WAIT: Duration = Duration::from_millis(1_800);

/// Why reading from one server has paused or ended.
enum SourceEnd {
    /// The server ended the stream, and all its events have been passed on.
    Complete,
    /// The caller closed its connection.
    CallerLeft,
    /// The caller's deadline, or the timeout of the route, has passed.
    Timeout,
    /// No stream of the group makes progress. The server may still go on.
    Silent,
    /// The server broke off, or sent an event that is too large or bytes that are no event of the
    /// stream. The text is the cause for the log.
    Broken(&'static str),
}

/// Runs a stream request and returns the response for its caller. The body is passed on by a task
/// that outlives the call.
pub async fn run_stream(
    context: &Arc<NodeContext>,
    call: RoutedCall,
    record: RequestRecord,
) -> Response<ReplyBody> {
    let mut run = StreamRun::new(context, call, record);
    let started = tokio::select! {
        biased;
        start = run.start() => Some(start),
        () = context.wait_for_answers_end() => None,
    };
    let (source, status, mut headers) = match started.unwrap_or_else(|| run.end_for_stop()) {
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
    /// Passes the stream on to the caller, and resumes it at another server when it breaks.
    async fn forward_stream(mut self, source: Box<StreamSource>, sender: mpsc::Sender<StreamPart>) {
        let mut source = source;
        loop {
            let end = self.forward_events(&mut source, &sender).await;
            let cause = match end {
                SourceEnd::Complete => {
                    self.record.set_outcome("complete");
                    source.release(&self.context);
                    return;
                }
                SourceEnd::CallerLeft => return,
                SourceEnd::Timeout => {
                    self.record.set_outcome("timeout");
                    break;
                }
                SourceEnd::Silent => {
                    if let Some(next) = self.race_source(&mut source, &sender).await {
                        source = next;
                        self.order.begin_resumption();
                    }
                    continue;
                }
                SourceEnd::Broken(cause) => cause,
            };
            self.note_broken_source(source, cause);
            self.record.set_outcome(cause);
            let allowed = self.plan_retry(cause);
            info!(self.context.logger, #REQUEST_TAG, "response stream broke off before its end";
                "request" => &self.call.caller.request_id, "cause" => cause,
                "last_event" => self.order.last(), "resumed" => allowed);
            if !allowed {
                break;
            }
            match self.resume(&sender).await {
                Some(next) => {
                    source = next;
                    self.order.begin_resumption();
                }
                None => break,
            }
        }
        // The error closes the caller's connection, so that the stream does not look complete.
        let _ = sender.send(Err(StreamBroken)).await;
    }

    /// Resumes the stream at another server; none when no server takes it or the caller leaves.
    async fn resume(&mut self, sender: &mpsc::Sender<StreamPart>) -> Option<Box<StreamSource>> {
        self.history.resumed = true;
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

    /// Resumes the stream beside a silent server; none when no other server sends an event of it or
    /// the caller leaves.
    async fn resume_beside(
        &mut self,
        sender: &mpsc::Sender<StreamPart>,
    ) -> Option<Box<StreamSource>> {
        self.history.resumed = true;
        let wait = MAX_RESUME_WAIT.min(self.call.time_left());
        let start = tokio::select! {
            start = self.start_beside(wait) => start,
            () = sender.closed() => return None,
        };
        match start {
            StreamStart::Source(source, ..) => Some(source),
            StreamStart::Reply(_) => None,
        }
    }

    /// Tries to resume the stream at another server while its present one is silent. Returns the
    /// other source once it has sent an event; none when the present one goes on, or no other
    /// server takes the stream.
    async fn race_source(
        &mut self,
        source: &mut StreamSource,
        sender: &mpsc::Sender<StreamPart>,
    ) -> Option<Box<StreamSource>> {
        let server = source.server().to_owned();
        let response = self.record.response();
        source.slot.record_failure(&mut self.history, false);
        self.possible_runs.push(server.clone());
        let allowed = self.plan_retry(SERVER_SILENT);
        self.log_silence(&server, allowed);
        let mut next = None;
        let mut is_broken = false;
        if allowed {
            let mut resume = pin!(self.resume_beside(sender));
            next = tokio::select! {
                biased;
                frame = source.body.frame() => {
                    let is_over = source.splitter.has_pending() && frame.is_none();
                    is_broken = is_over || matches!(frame, Some(Err(_)));
                    source.body.keep(frame);
                    if is_broken {
                        source.slot.record_break("stream_cut_off");
                        resume.await
                    } else {
                        None
                    }
                }
                next = &mut resume => next,
            };
        }
        if next.is_none() {
            self.record.restore_response(response);
            self.count_dropped_attempt();
            self.uncount_run(&server);
        } else if !is_broken {
            self.withdraw(server);
        }
        next
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
                () = source.slot.move_requested() => return SourceEnd::Silent,
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
