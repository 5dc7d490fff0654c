use {
    super::{
        NodeContext, NodeMetrics, ReplyBody, RequestGuard, RoutedCall, attempt_slot::millis,
        node_clock::now, node_log::REQUEST_TAG, problem_reply::ProblemReply,
    },
    hyper::{Response, StatusCode},
    slog::info,
    std::{sync::Arc, time::Duration},
};

/// What happened to a request; writes the request's line in the log when it is dropped.
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
    retries: Vec<&'static str>,
    status: Option<u16>,
    server_status: Option<u16>,
    first_event: Option<Duration>,
    events: usize,
    outcome: &'static str,
    /// A stop waits until the record is dropped, which for a stream is after its last event.
    _open: RequestGuard,
}

impl RequestRecord {
    /// Starts the record of a request with a route.
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
            retries: Vec::new(),
            status: None,
            server_status: None,
            first_event: None,
            events: 0,
            outcome: "caller_left",
            _open: context.open_request(),
        }
    }

    /// Notes the server that an attempt goes to.
    pub fn add_server(&mut self, server: &str) {
        self.servers.push(server.to_owned());
    }

    /// Notes the status of a server's answer.
    pub fn note_status(&mut self, status: StatusCode) {
        self.server_status = Some(status.as_u16());
    }

    /// Notes that the request is sent once more.
    pub fn add_retry(&mut self, cause: &'static str) {
        self.retries.push(cause);
    }

    /// Notes events of a stream.
    pub fn note_events(&mut self, count: usize) {
        self.events += count;
        if self.first_event.is_none() {
            let seen = now().saturating_sub(self.arrived);
            NodeMetrics::observe(&self.context.metrics.first_event, seen);
            self.first_event = Some(seen);
        }
    }

    /// Notes the answer that is passed on.
    pub fn set_response(&mut self, status: StatusCode, outcome: &'static str) {
        self.status = Some(status.as_u16());
        self.outcome = outcome;
    }

    /// Notes how a stream has ended.
    pub fn set_outcome(&mut self, outcome: &'static str) {
        self.outcome = outcome;
    }

    /// Answers with an answer of the system's own.
    pub fn refuse(&mut self, problem: ProblemReply) -> Response<ReplyBody> {
        self.set_response(problem.status, problem.cause);
        problem.into_response(&self.context, &self.request_id)
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        NodeMetrics::count(&self.context.metrics.requests, self.outcome);
        let took = now().saturating_sub(self.arrived);
        info!(self.context.logger, #REQUEST_TAG, "request";
            "request" => &self.request_id, "account" => &self.account, "route" => &self.route,
            "service" => &self.service, "model" => &self.model,
            "prompt_tokens" => self.prompt_tokens, "routes_version" => self.routes_version,
            "servers" => self.servers.join(" "), "retries" => self.retries.join(" "),
            "server_status" => self.server_status, "status" => self.status,
            "first_event_ms" => self.first_event.map(millis), "events" => self.events,
            "took_ms" => millis(took), "outcome" => self.outcome);
    }
}
