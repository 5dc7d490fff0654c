use {
    super::{AttemptHead, CallerHead, NodeContext, node_clock::now},
    crate::core::routes::{RouteChoice, RouteRule, RouteTable},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, Uri,
        header::{self, HeaderName},
    },
    std::{sync::Arc, time::Duration},
};

/// Longest wait of a caller that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Lowest rank that servers know.
const MAX_URGENCY: u32 = 9;

/// Headers that concern one connection only.
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

/// Name of the header that states how long a connection is kept.
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A caller's request, read whole, with its route.
#[derive(Debug)]
pub struct RoutedCall {
    /// What the caller says of it.
    pub caller: CallerHead,
    /// The routes by which it was chosen.
    pub table: Arc<RouteTable>,
    /// Its route and account.
    pub choice: RouteChoice,
    /// Service that runs it.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path and query, as sent.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its head was read.
    pub arrived: Duration,
    /// When nobody waits for the answer any more.
    pub give_up_at: Duration,
}

impl RoutedCall {
    /// The route.
    #[must_use]
    pub fn route(&self) -> &RouteRule {
        self.table.route(self.choice.route)
    }

    /// Name of the client account.
    #[must_use]
    pub fn account(&self) -> Option<&str> {
        let key = self.choice.account?;
        Some(&self.table.account(key).name)
    }

    /// Rank of the request; that of the account goes before that of the route.
    #[must_use]
    pub fn priority(&self) -> u32 {
        let account = self.choice.account.map(|key| self.table.account(key));
        let own = account.and_then(|account| account.priority);
        own.unwrap_or(self.route().priority)
    }

    /// Time left until nobody waits any more.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.give_up_at.saturating_sub(now())
    }

    /// Time until which the answer, or the first event, earns full credit.
    #[must_use]
    pub fn in_time_until(&self) -> Duration {
        self.arrived + self.route().objective
    }

    /// Builds the request for a backend server. `last_event` is the last event
    /// that has been delivered when a stream goes on.
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
        let urgency = self.priority().min(MAX_URGENCY);
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

/// Time until which a caller waits, counted from the arrival.
#[must_use]
pub fn reply_deadline(arrived: Duration, caller: &CallerHead, route: &RouteRule) -> Duration {
    let deadline = caller.deadline.unwrap_or(DEFAULT_DEADLINE);
    arrived + deadline.min(route.timeout)
}

/// Removes the headers that concern one connection only.
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
