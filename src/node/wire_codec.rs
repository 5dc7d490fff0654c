use {
    crate::core::{
        fleet::{BackendEntry, EngineReport},
        formation::{EngineOrder, OrderOutcome},
        routes::OperatorRoutes,
        store::{DecodeFault, StoreAnswer, StoreCall, StoreFailure},
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, StatusCode},
    smallvec::SmallVec,
    std::time::Duration,
};

value_type! {
    /// What the headers of a caller's request say, decoded.
    pub struct CallerHead {
        /// Identifier that the caller gave the request; empty when it gave none.
        pub request_id: String,
        /// Time that the caller waits for the response; none when it states none.
        pub deadline: Option<Duration>,
        /// Secret key of a client account; none when the request has none.
        pub key: Option<String>,
        /// Model that the request names; none when it names none.
        pub model: Option<String>,
        /// Number of tokens of the prompt; 0 when the caller states none.
        pub prompt_tokens: u32,
        /// Most tokens of the response; 0 when the caller states none.
        pub answer_tokens: u32,
        /// The caller's estimate of the tokens of the response; none when it gives none.
        pub length_hint: Option<u32>,
        /// Identifier of the last event that the caller has, when it resumes a stream; nothing
        /// reads it at present.
        pub last_event: Option<u64>,
        /// Identifiers of the parts of the prompt that other requests may share, in prompt order;
        /// the part that belongs to the request itself is left out.
        pub prompt_parts: SmallVec<[u64; 4]>,
        /// Parts that were ignored, since they could not be read or were too many.
        pub ignored_parts: usize,
    }

    /// What the gateway states in the headers of a request to a backend server.
    pub struct AttemptHead {
        /// Identifier of the server that the request is meant for; another server at its address
        /// rejects it.
        pub server: String,
        /// Time that the caller still waits.
        pub deadline: Duration,
        /// Name of the client account; none without one.
        pub account: Option<String>,
        /// Last event that the caller has, after which the stream is to be resumed; none at the
        /// first attempt.
        pub last_event: Option<u64>,
        /// Priority for admission at the server; 0 is the most urgent.
        pub urgency: u8,
    }

    /// What the headers of a backend server's response say, decoded.
    pub struct ResponseHead {
        /// Identifier of the request that the response belongs to; none when the headers have none.
        pub request_id: Option<String>,
        /// True when the response carries the server's seal, which shows that no intermediary made
        /// it.
        pub sealed: bool,
        /// True when the server reports that the request did not run.
        pub not_run: bool,
        /// Identifier of the server that the response names as the cause of a failure.
        pub culprit: Option<String>,
        /// True when the body has a content encoding. Servers send none, so the response is not the
        /// server's own.
        pub encoded: bool,
        /// What the server says about itself.
        pub notice: ServerNotice,
    }

    /// What a backend server says about itself in the head of a response.
    pub struct ServerNotice {
        /// True when the server is leaving and wants no new requests.
        pub leaving: bool,
        /// Time for which the server wants no requests from this node, at most
        /// [`MAX_SERVER_PAUSE`](crate::core::fleet::MAX_SERVER_PAUSE); none when it asks for no
        /// pause. Counts only with status 503.
        pub pause: Decoded<Option<Duration>>,
        /// Time for which the server stays cold; none when the response does not state it.
        pub cold_left: Option<Duration>,
    }

    /// An HTTP request that the node makes itself, to the store or an engine.
    pub struct WireRequest {
        /// HTTP method.
        pub method: Method,
        /// Path and query, percent-encoded.
        pub path: String,
        /// Headers beside those that every request has.
        pub headers: HeaderMap,
        /// JSON body; empty when the request has none.
        pub body: Bytes,
    }
}

/// A decoded message or row, or the reason why it cannot be used.
pub type Decoded<T> = std::result::Result<T, DecodeFault>;

/// Encodes and decodes the messages of other programs, with one function for each kind. The adapter
/// fills it in; only the adapter knows the names of headers, fields and paths.
#[derive(Debug, Clone, Copy)]
pub struct WireCodec {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Store table with the entries of the backend servers.
    pub server_table: &'static str,
    /// Store table and key of the operator's configuration.
    pub routes_row: (&'static str, &'static str),
    /// Begin of the keys, in the table of `routes_row`, of the rows that ask for the drain of a
    /// failure domain; the name of the failure domain follows.
    pub drain_key_prefix: &'static str,
    /// Decodes the headers of a caller's request.
    pub read_caller: fn(&HeaderMap) -> CallerHead,
    /// Replaces the headers that the gateway sets in a request to a backend server, and removes
    /// those that are only for the gateway.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead),
    /// Decodes the headers of a backend server's response.
    pub read_answer: fn(&HeaderMap) -> ResponseHead,
    /// Sets the header that tells a refused caller when it may retry.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
    /// Decodes the entry of a backend server from its key and value in the store.
    pub read_entry: fn(&str, &[u8]) -> Decoded<BackendEntry>,
    /// Decodes the operator's configuration.
    pub read_routes: fn(&[u8]) -> Decoded<OperatorRoutes>,
    /// Encodes an order to an engine.
    pub write_order: fn(&EngineOrder) -> WireRequest,
    /// Decodes an engine's response to an order.
    pub read_outcome: fn(StatusCode, &HeaderMap) -> OrderOutcome,
    /// Encodes a query for the state of an engine.
    pub write_report_request: fn() -> WireRequest,
    /// Decodes the state of an engine from a response body.
    pub read_report: fn(&[u8]) -> Decoded<EngineReport>,
    /// Encodes a call to the store.
    pub write_store: fn(&StoreCall) -> WireRequest,
    /// Decodes the store's response to a call.
    pub read_store:
        fn(&StoreCall, StatusCode, &HeaderMap, &[u8]) -> Result<StoreAnswer, StoreFailure>,
}
