use {
    super::{
        NodeContext, NodeMetrics, ReplyBody, RequestGuard, RoutedCall, attempt_slot::millis,
        node_clock::now, node_log::REQUEST_TAG, problem_reply::ProblemReply,
    },
    crate::core::stop::AnswerSample,
    hyper::{Response, StatusCode},
    slog::info,
    std::{sync::Arc, time::Duration},
};

/// Collects what happens to a request; writes the request's log line and counts its outcome when
/// dropped.
#[derive(Debug)]
pub struct RequestRecord {
    context: Arc<NodeContext>,
    request_id: String,
    account: Option<String>,
    route: String,
    service: String,
    model: Option<String>,
    prompt_tokens: u32,
    routes_version: u64,
    arrived: Duration,
    servers: Vec<String>,
    /// Time at which the last attempt was made.
    sent_at: Duration,
    /// Expected length of the answer.
    answer_tokens: u32,
    /// The caller's limit of the answer; 0 without one.
    max_answer_tokens: u32,
    retries: Vec<&'static str>,
    status: Option<u16>,
    server_status: Option<u16>,
    first_event: Option<Duration>,
    /// Time of the last event of a stream.
    last_event_at: Option<Duration>,
    /// Longest time between two events of a stream, as they were passed on.
    longest_pause: Option<Duration>,
    events: usize,
    outcome: &'static str,
    /// Keeps a graceful stop waiting until the record is dropped; for a stream that is after its
    /// last event.
    _open: RequestGuard,
}

impl RequestRecord {
    /// Starts the record of a request that has a route. Until another outcome is set, the request
    /// counts as left by its caller.
    #[must_use]
    pub fn new(context: &Arc<NodeContext>, call: &RoutedCall) -> Self {
        Self {
            context: Arc::clone(context),
            request_id: call.caller.request_id.clone(),
            account: call.account().map(ToOwned::to_owned),
            route: call.route().name.clone(),
            service: call.service.clone(),
            model: call.caller.model.clone(),
            prompt_tokens: call.caller.prompt_tokens,
            routes_version: call.table.version(),
            arrived: call.arrived,
            servers: Vec::new(),
            sent_at: call.arrived,
            answer_tokens: call.timed_tokens(),
            max_answer_tokens: call.caller.answer_tokens,
            retries: Vec::new(),
            status: None,
            server_status: None,
            first_event: None,
            last_event_at: None,
            longest_pause: None,
            events: 0,
            outcome: "caller_left",
            _open: context.open_request(),
        }
    }

    /// Adds the identifier of the server that an attempt is sent to.
    pub fn add_server(&mut self, server: &str) {
        self.servers.push(server.to_owned());
        self.sent_at = now();
    }

    /// Records the HTTP status of a backend server's response; the log line has the last one.
    pub fn set_server_status(&mut self, status: StatusCode) {
        self.server_status = Some(status.as_u16());
    }

    /// True when the request was sent to this server before.
    #[must_use]
    pub fn was_sent_to(&self, server: &str) -> bool {
        self.servers.iter().any(|sent| sent == server)
    }

    /// Adds the cause of a retry.
    pub fn add_retry(&mut self, cause: &'static str) {
        self.retries.push(cause);
    }

    /// Counts events of a stream, and observes the time to the first one and between two.
    pub fn note_events(&mut self, count: usize) {
        self.events += count;
        let at = now();
        let last_event_at = self.last_event_at.replace(at);
        let pause = last_event_at.map(|last| at.saturating_sub(last));
        self.longest_pause = self.longest_pause.max(pause);
        if self.first_event.is_none() {
            let seen = at.saturating_sub(self.arrived);
            NodeMetrics::observe(&self.context.metrics.first_event, seen);
            self.first_event = Some(seen);
        }
    }

    /// Records the status sent to the caller and the outcome so far.
    pub fn set_response(&mut self, status: StatusCode, outcome: &'static str) {
        self.status = Some(status.as_u16());
        self.outcome = outcome;
    }

    /// Sets the outcome of a stream whose status is already sent.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Forgets an error response that was built but not sent, because another attempt goes on.
    pub fn withdraw_response(&mut self) {
        self.status = None;
        self.outcome = "caller_left";
    }

    /// The status sent to the caller and the outcome so far.
    #[must_use]
    pub const fn response(&self) -> (Option<u16>, &'static str) {
        (self.status, self.outcome)
    }

    /// Sets status and outcome back to what [`Self::response`] returned before, because the error
    /// response that was built since then is not sent.
    pub const fn restore_response(&mut self, (status, outcome): (Option<u16>, &'static str)) {
        self.status = status;
        self.outcome = outcome;
    }

    /// Records an error response of the gateway and builds it.
    pub fn refuse(&mut self, problem: ProblemReply) -> Response<ReplyBody> {
        self.set_response(problem.status, problem.cause);
        problem.into_response(&self.context, &self.request_id)
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        NodeMetrics::count(&self.context.metrics.requests, self.outcome);
        let took = now().saturating_sub(self.arrived);
        if self.outcome == "complete" && self.servers.len() == 1 {
            let sample = AnswerSample {
                took: now().saturating_sub(self.sent_at),
                tokens: self.answer_tokens,
            };
            self.context.note_answer_time(&self.route, sample);
        }
        info!(self.context.logger, #REQUEST_TAG, "finished a request";
            "request" => &self.request_id, "account" => &self.account, "route" => &self.route,
            "service" => &self.service, "model" => &self.model,
            "prompt_tokens" => self.prompt_tokens, "answer_tokens" => self.answer_tokens,
            "max_answer_tokens" => self.max_answer_tokens, "routes_version" => self.routes_version,
            "servers" => self.servers.join(" "), "retries" => self.retries.join(" "),
            "server_status" => self.server_status, "status" => self.status,
            "first_event_ms" => self.first_event.map(millis), "events" => self.events,
            "longest_pause_ms" => self.longest_pause.map(millis),
            "took_ms" => millis(took), "outcome" => self.outcome);
    }
}
