//! Attempts of a stream request until a server responds.
//!
//! A silent server may be sound: it can pause for a second and go on. Its attempt is therefore kept
//! while another server is tried, until it goes on or the other one has sent an event. The head of a
//! response does not show that its events will follow.

use {
    super::{
        AttemptHistory, AttemptOutcome, AttemptSlot, NodeContext, ReplyBody, RoutedCall,
        StreamHead, buffered_flow::read_buffered, node_log::REQUEST_TAG,
        problem_reply::ProblemReply, request_record::RequestRecord, send_attempt,
        stop_check::STOPPING, stream_source::StreamSource,
    },
    crate::core::{retry::EventOrder, routes::RouteKind},
    hyper::{HeaderMap, Response, StatusCode},
    slog::info,
    smallvec::SmallVec,
    std::{
        pin::{Pin, pin},
        sync::Arc,
        time::Duration,
    },
};

/// Retry-after time of a request that no server started.
const NOT_RUN_RETRY: Duration = Duration::from_millis(250);

/// Attempts that certainly did not run, after which the request is given up.
const MAX_NOT_RUN: u32 = 4;

/// Time left to the caller below which no further attempt is made.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);

/// Cause, in the log, of an attempt beside that of a silent server.
pub(super) const SERVER_SILENT: &str = "group_stalled";

/// State of a stream request over all its attempts.
pub(super) struct StreamRun {
    pub context: Arc<NodeContext>,
    pub call: Arc<RoutedCall>,
    pub record: RequestRecord,
    pub history: AttemptHistory,
    /// Servers that may have run the request, one entry for each attempt.
    pub possible_runs: SmallVec<[String; 2]>,
    /// Servers whose attempt was ended here because another one went on, not because it failed.
    /// They count as possible runs already, so that each may be asked once more.
    withdrawn: SmallVec<[String; 2]>,
    /// Cause of the next attempt while a server is looked for; none for the first attempt.
    planned_retry: Option<&'static str>,
    not_run: u32,
    pub head: StreamHead,
    /// Error response of a server, passed on unless another attempt succeeds.
    failed: Option<Response<ReplyBody>>,
    /// Checks the events that are passed on.
    pub order: EventOrder,
    /// Server that the attempt under way was sent to; none without one.
    in_flight: Option<String>,
}

/// Result of starting a stream.
pub(super) enum StreamStart {
    /// A server responded: its stream, with the status and headers of the response.
    Source(Box<StreamSource>, StatusCode, HeaderMap),
    /// No server responded with a stream; this is the error response for the caller.
    Reply(Response<ReplyBody>),
}

/// How an attempt ended.
enum AttemptEnd {
    Outcome(AttemptOutcome),
    /// Another attempt sent an event while the server of this one was silent.
    Replaced(StreamStart),
    /// The caller's deadline, or the timeout of the route, has passed.
    Timeout,
}

/// A start of a stream that is under way; boxed, since an attempt beside a silent server is a start
/// within a start.
type PendingStart<'a> = Pin<Box<dyn Future<Output = StreamStart> + Send + 'a>>;

impl StreamRun {
    pub fn new(context: &Arc<NodeContext>, call: RoutedCall, record: RequestRecord) -> Self {
        Self {
            context: Arc::clone(context),
            call: Arc::new(call),
            record,
            history: AttemptHistory::default(),
            possible_runs: SmallVec::new(),
            withdrawn: SmallVec::new(),
            planned_retry: None,
            not_run: 0,
            head: StreamHead::default(),
            failed: None,
            order: EventOrder::default(),
            in_flight: None,
        }
    }

    fn is_resumable(&self) -> bool {
        self.call.route().kind == RouteKind::Stream { resumable: true }
    }

    /// True when the next attempt may use a kept connection. A response that belongs to an earlier
    /// request on it must not decide about a stream that may run once. Earlier attempts at the same
    /// server have the same identifier as the next one.
    fn may_reuse_connection(&self, server: &str) -> bool {
        self.is_resumable() && !self.record.was_sent_to(server)
    }

    /// True when the request may be sent again, as far as its time and crashes of servers matter.
    fn may_be_sent(&self) -> bool {
        self.not_run < MAX_NOT_RUN
            && self.call.time_left() >= MIN_TIME_LEFT
            && !self.context.is_blocked(&self.call)
    }

    /// True when the request may be sent to any server: either certainly no server ran it, or its
    /// route resumes streams and has attempts left.
    fn has_attempts_left(&self) -> bool {
        let max_attempts = self.call.route().max_attempts;
        self.possible_runs.is_empty()
            || (self.is_resumable() && self.runs_at_live_servers() < max_attempts)
    }

    /// True when the request may be sent again to a withdrawn server. Silence is no cause for that:
    /// while all servers are slow, one silence follows another, and each would repeat the prompt.
    fn may_return(&self, cause: &'static str) -> bool {
        let fleet = self.context.fleet();
        let is_live = |id: &String| fleet.get(id).is_some();
        cause != SERVER_SILENT && self.is_resumable() && self.withdrawn.iter().any(is_live)
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

    /// True when another attempt may be made and the retry budget is not used up. With the attempts
    /// of the route used up, it is restricted to withdrawn servers. The retry is counted once a
    /// server is found for it.
    pub fn plan_retry(&mut self, cause: &'static str) -> bool {
        let has_attempts = self.has_attempts_left();
        let allowed = self.order.can_resume()
            && self.may_be_sent()
            && (has_attempts || self.may_return(cause))
            && self.context.has_retry(&self.call.service);
        if allowed {
            self.planned_retry = Some(cause);
            self.history.only_servers = if has_attempts {
                SmallVec::new()
            } else {
                self.withdrawn.clone()
            };
        }
        allowed
    }

    /// Counts the attempt that is about to be sent in the retry budget, unless it is the first one.
    ///
    /// # Errors
    /// The cause of the attempt, when the budget was used up while a server was looked for.
    fn spend_planned_retry(&mut self) -> Result<(), &'static str> {
        let Some(cause) = self.planned_retry.take() else {
            return Ok(());
        };
        if !self.context.spend_retry(&self.call.service, cause) {
            return Err(cause);
        }
        self.record.add_retry(cause);
        Ok(())
    }

    /// Counts the server of an attempt that was dropped on its way: it may have run the request.
    pub fn count_dropped_attempt(&mut self) {
        if let Some(server) = self.in_flight.take() {
            self.possible_runs.push(server.clone());
            self.withdraw(server);
        }
    }

    /// Records that the attempt at a server was ended though the server did not fail.
    pub fn withdraw(&mut self, server: String) {
        self.withdrawn.push(server);
    }

    /// Removes a run from the count, since its attempt is counted when it ends.
    pub fn uncount_run(&mut self, server: &str) {
        if let Some(index) = self.possible_runs.iter().position(|id| id == server) {
            self.possible_runs.remove(index);
        }
    }

    /// Logs that another server is looked for, while the present one may still go on.
    pub fn log_silence(&self, server: &str, allowed: bool) {
        info!(self.context.logger, #REQUEST_TAG, "the server of a stream is silent";
            "request" => &self.call.caller.request_id, "server" => server,
            "last_event" => self.order.last(), "second_attempt" => allowed);
    }

    /// Makes attempts until a server responds, or no further attempt may be made.
    pub fn start(&mut self) -> PendingStart<'_> {
        Box::pin(self.make_attempts())
    }

    /// Makes attempts beside a silent server until one sends an event, or no further attempt may be
    /// made. `wait` limits the time to the head of each response.
    pub fn start_beside(&mut self, wait: Duration) -> PendingStart<'_> {
        Box::pin(self.make_attempts_beside(wait))
    }

    async fn make_attempts_beside(&mut self, wait: Duration) -> StreamStart {
        loop {
            let Ok(start) = tokio::time::timeout(wait, self.start()).await else {
                return self.refuse_late();
            };
            let StreamStart::Source(mut source, status, headers) = start else {
                return start;
            };
            self.in_flight = Some(source.server().to_owned());
            let event = source.await_event(self.order.clone());
            let Ok(event) = tokio::time::timeout(self.call.time_left(), event).await else {
                return self.refuse_late();
            };
            self.in_flight = None;
            let Err(cause) = event else {
                return StreamStart::Source(source, status, headers);
            };
            self.note_broken_source(source, cause);
            if !self.plan_retry(cause) {
                return self.give_up(cause, None);
            }
        }
    }

    /// Records that a server broke its stream off.
    pub fn note_broken_source(&mut self, mut source: Box<StreamSource>, cause: &'static str) {
        source.slot.record_break(cause);
        source.slot.record_failure(&mut self.history, true);
        self.possible_runs.push(source.server().to_owned());
    }

    async fn make_attempts(&mut self) -> StreamStart {
        loop {
            let context = Arc::clone(&self.context);
            let mut slot = match AttemptSlot::acquire(&context, &self.call, &self.history).await {
                Ok(slot) => slot,
                Err(problem) if self.possible_runs.is_empty() => return self.refuse(problem),
                Err(_) => return self.give_up("no_group", None),
            };
            if let Err(cause) = self.spend_planned_retry() {
                return self.give_up(cause, None);
            }
            self.withdrawn.retain(|id| *id != slot.target.server);
            let reuse = self.may_reuse_connection(&slot.target.server);
            self.record.add_server(&slot.target.server);
            let outcome = match self.run_attempt(&mut slot, reuse).await {
                AttemptEnd::Outcome(outcome) => outcome,
                AttemptEnd::Replaced(start) => return start,
                AttemptEnd::Timeout => return self.refuse_late(),
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
            // A resumed stream may wait for the end of a pause.
            let pause = context.pause_of(&self.call);
            let pause = pause.filter(|_| self.possible_runs.is_empty());
            if is_final || pause.is_some() || !self.plan_retry(cause) {
                return self.give_up(cause, pause);
            }
        }
    }

    /// Ends the request without a stream, with the error response of a server when there is one.
    /// `pause` is the time after which the first server takes requests again, when all pause.
    fn give_up(&mut self, cause: &'static str, pause: Option<Duration>) -> StreamStart {
        if let Some(failed) = self.failed.take() {
            self.record.set_response(failed.status(), "server_failure");
            return StreamStart::Reply(failed);
        }
        if self.possible_runs.is_empty() {
            let retry_after = pause.unwrap_or(NOT_RUN_RETRY);
            return self.refuse(ProblemReply::not_run(cause, retry_after));
        }
        self.refuse(failure(cause))
    }

    /// Ends a request that no server has answered when a stop ends; an attempt that was dropped on
    /// its way may have run.
    pub fn end_for_stop(&mut self) -> StreamStart {
        self.count_dropped_attempt();
        self.give_up(STOPPING, Some(Duration::ZERO))
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
        // The read may be dropped when another attempt goes on; the run counts then, too.
        self.possible_runs.push(slot.target.server.clone());
        let read = tokio::time::timeout(self.call.time_left(), whole).await;
        self.uncount_run(&slot.target.server);
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

    /// Sends an attempt and waits for the head of its response. When the group is silent, another
    /// server is tried beside it.
    async fn run_attempt(&mut self, slot: &mut AttemptSlot, reuse: bool) -> AttemptEnd {
        let context = Arc::clone(&self.context);
        let call = Arc::clone(&self.call);
        let target = slot.target.clone();
        let last_event = self.order.last();
        let mut attempt = pin!(send_attempt(&context, &call, &target, last_event, reuse));
        let mut timeout = pin!(tokio::time::sleep(self.call.time_left()));
        self.in_flight = Some(target.server.clone());
        let outcome = tokio::select! {
            outcome = &mut attempt => Some(outcome),
            () = slot.move_requested() => None,
            () = &mut timeout => return AttemptEnd::Timeout,
        };
        self.in_flight = None;
        if let Some(outcome) = outcome {
            return AttemptEnd::Outcome(outcome);
        }
        if let Some(end) = self.race_attempt(slot, &mut attempt).await {
            return end;
        }
        self.in_flight = Some(target.server.clone());
        tokio::select! {
            outcome = &mut attempt => {
                self.in_flight = None;
                AttemptEnd::Outcome(outcome)
            }
            () = &mut timeout => AttemptEnd::Timeout,
        }
    }

    /// Tries another server beside the silent one of `attempt`; none when no other one sends an event
    /// and the silent one has not responded either.
    async fn race_attempt(
        &mut self,
        slot: &mut AttemptSlot,
        attempt: &mut Pin<&mut impl Future<Output = AttemptOutcome>>,
    ) -> Option<AttemptEnd> {
        let server = slot.target.server.clone();
        slot.record_failure(&mut self.history, false);
        self.possible_runs.push(server.clone());
        let allowed = self.plan_retry(SERVER_SILENT);
        self.log_silence(&server, allowed);
        let mut end = None;
        if allowed {
            let mut other = self.start_beside(self.call.time_left());
            let (outcome, start) = tokio::select! {
                outcome = &mut *attempt => (Some(outcome), None),
                start = &mut other => (None, Some(start)),
            };
            if let Some(AttemptOutcome::Broken(cause)) = &outcome {
                slot.record_break(cause);
            }
            let start = match outcome {
                Some(AttemptOutcome::Responded(_)) => None,
                // The silent server has failed; only the other attempt is left.
                Some(_) => Some(other.as_mut().await),
                None => start,
            };
            drop(other);
            if let Some(start @ StreamStart::Source(..)) = start {
                if outcome.is_none() {
                    self.withdraw(server);
                }
                return Some(AttemptEnd::Replaced(start));
            }
            end = outcome.map(AttemptEnd::Outcome);
        }
        self.record.withdraw_response();
        self.count_dropped_attempt();
        self.uncount_run(&server);
        end
    }

    /// Ends the request because its time has passed.
    fn refuse_late(&mut self) -> StreamStart {
        let status = StatusCode::GATEWAY_TIMEOUT;
        self.refuse(ProblemReply::unknown_execution(status, "timeout"))
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
            AttemptOutcome::Responded(response) => Ok(StreamSource::start(slot, *response)),
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
            AttemptOutcome::Withheld => {
                slot.record_failure(&mut self.history, false);
                self.not_run += 1;
                Err("drained")
            }
            AttemptOutcome::UnprovenRefusal { culprit, cause } => {
                Err(self.note_possible_run(slot, culprit.is_some(), cause))
            }
            AttemptOutcome::Broken(cause) => {
                slot.record_break(cause);
                Err(self.note_possible_run(slot, true, cause))
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
