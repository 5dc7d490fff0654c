use {
    super::{AttemptHead, BusyGuard, CallerHead, NodeContext, node_clock::now},
    crate::{
        core::{
            retry::{CrashSubject, SubjectList, digest_parts},
            routes::{RouteChoice, RouteRule, RouteTable},
        },
        intake::BodyLease,
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, Uri,
        header::{self, HeaderName},
    },
    std::{sync::Arc, time::Duration},
};

/// Time that a caller is taken to wait when it states no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Expected tokens of a response when the caller doesn't limit them.
const DEFAULT_ANSWER_TOKENS: u32 = 180;

/// Greatest value of the priority that servers know, which is the least urgent one.
const MAX_PRIORITY_VALUE: u32 = 9;

/// Headers that concern one connection only, besides those that the connection header names.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
];

/// Name of the header that states how long an idle connection stays open.
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A caller's request, read whole, with the route, account and service chosen for it.
#[derive(Debug)]
pub struct RoutedCall {
    /// What the headers of the request say, decoded.
    pub caller: CallerHead,
    /// The routes used for the choice; a newer configuration does not change a request that has
    /// begun.
    pub table: Arc<RouteTable>,
    /// Keys of the chosen route and client account in `table`.
    pub choice: RouteChoice,
    /// Name of the service that runs the request, drawn from those of the route.
    pub service: String,
    /// HTTP method, as sent by the caller.
    pub method: Method,
    /// Path and query, as sent by the caller.
    pub uri: Uri,
    /// Headers that are passed on; those that concern one connection, and the content length, are
    /// removed.
    pub headers: HeaderMap,
    /// The whole body, at most as large as the routes allow.
    pub body: Bytes,
    /// Keeps the memory of the request counted until the call is dropped.
    pub lease: Arc<BodyLease>,
    /// Keeps the connection of the caller from counting as idle until the call is dropped.
    pub busy: BusyGuard,
    /// The request and the parts of its prompt, as far as they may crash servers.
    pub crash_subjects: SubjectList,
    /// Time at which the head was read.
    pub arrived: Duration,
    /// Time after which the caller no longer waits for the response.
    pub give_up_at: Duration,
}

impl RoutedCall {
    /// The chosen route.
    #[must_use]
    pub fn route(&self) -> &RouteRule {
        self.table.route(self.choice.route)
    }

    /// Name of the client account; none when a public route was called without a known key, or the
    /// configuration has no accounts.
    #[must_use]
    pub fn account(&self) -> Option<&str> {
        let key = self.choice.account?;
        Some(&self.table.account(key).name)
    }

    /// Sets the subjects of the request: its prompt parts, and the request itself by account,
    /// method, path, model and body.
    #[must_use]
    pub fn with_crash_subjects(mut self) -> Self {
        for part in &self.caller.prompt_parts {
            self.crash_subjects.push(CrashSubject::PromptPart(*part));
        }
        let digest = digest_parts(&[
            self.account().unwrap_or_default().as_bytes(),
            self.method.as_str().as_bytes(),
            self.uri.to_string().as_bytes(),
            self.caller.model.as_deref().unwrap_or_default().as_bytes(),
            &self.body,
        ]);
        self.crash_subjects.push(CrashSubject::Request(digest));
        self
    }

    /// Priority of the request, 0 is the most urgent; that of the account takes precedence over
    /// that of the route.
    #[must_use]
    pub fn priority(&self) -> u32 {
        let account = self.choice.account.map(|key| self.table.account(key));
        let own = account.and_then(|account| account.priority);
        own.unwrap_or(self.route().priority)
    }

    /// True when the service runs its requests at replica groups of engines.
    #[must_use]
    pub fn needs_engine(&self) -> bool {
        let service = self.table.service(&self.service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Expected length of the answer of an engine in tokens.
    #[must_use]
    pub fn answer_tokens(&self) -> u32 {
        let max_tokens = match self.caller.answer_tokens {
            0 => DEFAULT_ANSWER_TOKENS,
            limit => limit,
        };
        let hint = self.caller.length_hint.unwrap_or(max_tokens);
        hint.min(max_tokens)
    }

    /// Expected length of the answer in tokens, as a measure of its time; 0 for answers without
    /// tokens.
    #[must_use]
    pub fn timed_tokens(&self) -> u32 {
        if self.caller.model.is_some() && self.needs_engine() {
            self.answer_tokens()
        } else {
            0
        }
    }

    /// Time until the caller no longer waits; 0 when it is over.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.give_up_at.saturating_sub(now())
    }

    /// Time until which the response, or the first event of a stream, meets the objective of the
    /// route.
    #[must_use]
    pub fn in_time_until(&self) -> Duration {
        self.arrived + self.route().objective
    }

    /// Builds the request for the backend server `server`. `last_event` is the last event that the
    /// caller has when a stream is resumed.
    #[must_use]
    pub fn attempt(
        &self,
        context: &NodeContext,
        server: &str,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        let urgency = self.priority().min(MAX_PRIORITY_VALUE);
        let attempt = AttemptHead {
            server: server.to_owned(),
            deadline: self.time_left(),
            account: self.account().map(ToOwned::to_owned),
            last_event,
            urgency: u8::try_from(urgency).unwrap_or(u8::MAX),
        };
        (context.codec.write_attempt)(&mut headers, &attempt);
        *request.headers_mut() = headers;
        request
    }
}

/// Time until which a caller waits: its deadline or the timeout of the route, whichever is earlier.
#[must_use]
pub fn reply_deadline(arrived: Duration, caller: &CallerHead, route: &RouteRule) -> Duration {
    let deadline = caller.deadline.unwrap_or(DEFAULT_DEADLINE);
    arrived + deadline.min(route.timeout)
}

/// Removes the headers that concern one connection only, also those that the connection header
/// names.
pub(super) fn strip_connection_headers(headers: &mut HeaderMap) {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(text) = value.to_str() else {
            continue;
        };
        for name in text.split(',') {
            if let Ok(name) = name.trim().parse() {
                named.push(name);
            }
        }
    }
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}
