use {
    crate::core::{
        fleet::{BackendEntry, EngineReport},
        formation::{EngineOrder, OrderOutcome},
        routes::OperatorRoutes,
        store::{StoreAnswer, StoreCall, StoreFailure},
    },
    bytes::Bytes,
    hyper::{HeaderMap, Method, StatusCode},
    std::time::Duration,
};

value_type! {
    /// What a caller says of a request in its head.
    pub struct CallerHead {
        /// Identifier of this request.
        pub request_id: String,
        /// Time that the caller waits.
        pub deadline: Option<Duration>,
        /// Key of a client account.
        pub key: Option<String>,
        /// Model that the request is for.
        pub model: Option<String>,
        /// Prompt tokens.
        pub prompt_tokens: u32,
        /// Most tokens of the answer.
        pub answer_tokens: u32,
        /// The caller's estimate of the tokens of the answer.
        pub length_hint: Option<u32>,
        /// Identifier of the last event that the caller has.
        pub last_event: Option<u64>,
        /// Identifies the session or subject: the last shared part of the prompt.
        pub subject: Option<u64>,
    }

    /// What the system says of a request to a backend server.
    pub struct AttemptHead {
        /// Server that the request is meant for.
        pub server: String,
        /// Time left to the caller.
        pub deadline: Duration,
        /// Name of the client account.
        pub account: Option<String>,
        /// Event after which a stream goes on.
        pub last_event: Option<u64>,
        /// Rank for admission at the server; 0 is first.
        pub urgency: u8,
    }

    /// What a backend server says in the head of its answer.
    pub struct AnswerHead {
        /// Identifier of the request that it answers.
        pub request_id: Option<String>,
        /// True when the answer carries the server's seal.
        pub sealed: bool,
        /// True when the server says that the request did not run.
        pub not_run: bool,
        /// Server that the answer blames.
        pub culprit: Option<String>,
        /// True when the body is encoded and therefore not the server's own.
        pub encoded: bool,
    }

    /// An HTTP request of the system's own.
    pub struct WireRequest {
        /// Method.
        pub method: Method,
        /// Path and query.
        pub path: String,
        /// JSON body; empty without one.
        pub body: Bytes,
    }
}

/// A row of the store after decoding, or why it cannot be used.
pub type Decoded<T> = std::result::Result<T, String>;

/// How the outside world speaks: one function for each message. The adapter
/// fills it in; nothing else knows names of headers, fields or calls.
#[derive(Debug, Clone, Copy)]
pub struct WireCodec {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Table with the entries of the backend servers.
    pub server_table: &'static str,
    /// Table and key of the operator's routes.
    pub routes_row: (&'static str, &'static str),
    /// Reads the head of a caller's request.
    pub read_caller: fn(&HeaderMap) -> CallerHead,
    /// Replaces the headers that the system sets itself.
    pub write_attempt: fn(&mut HeaderMap, &AttemptHead),
    /// Reads the head of a backend server's answer.
    pub read_answer: fn(&HeaderMap) -> AnswerHead,
    /// Sets the time after which a refused caller may return.
    pub write_retry_after: fn(&mut HeaderMap, Duration),
    /// Reads the entry of a backend server.
    pub read_entry: fn(&str, &[u8]) -> Decoded<BackendEntry>,
    /// Reads the operator's routes.
    pub read_routes: fn(&[u8]) -> Decoded<OperatorRoutes>,
    /// Writes an order to an engine.
    pub write_order: fn(&EngineOrder) -> WireRequest,
    /// Reads what became of an order.
    pub read_outcome: fn(StatusCode, &HeaderMap) -> OrderOutcome,
    /// Writes the question for an engine's state.
    pub write_probe: fn() -> WireRequest,
    /// Reads an engine's state.
    pub read_report: fn(&[u8]) -> Decoded<EngineReport>,
    /// Writes a call to the store.
    pub write_store: fn(&StoreCall) -> WireRequest,
    /// Reads the store's answer.
    pub read_store: fn(&StoreCall, StatusCode, &[u8]) -> Result<StoreAnswer, StoreFailure>,
}
