//! A node: gateway and controller of replica groups in one process on one
//! thread. Joins the decisions in [`crate::core`] with sockets; what the
//! outside world calls things is the adapter's [`WireCodec`].

mod answer_budget;
mod attempt_send;
mod backend_pool;
mod call_head;
mod control_actor;
mod errors;
mod event_splitter;
mod front_server;
mod http_connection;
mod lease_calls;
mod node_clock;
mod node_context;
mod node_log;
mod node_metrics;
mod node_peers;
mod order_place;
mod peer_exchange;
mod refusal_reply;
mod reply_body;
mod request_flow;
mod request_record;
mod run_node;
mod seat;
mod status_server;
mod store_client;
mod store_sync;
mod stream_flow;
mod whole_flow;
mod wire_codec;

use store_client::build_request;
pub use {
    answer_budget::ResponseBudget,
    attempt_send::{AnsweredAttempt, AttemptOutcome, send_attempt},
    backend_pool::ConnectionPool,
    call_head::{RoutedCall, reply_deadline},
    control_actor::{ControlActor, ControlMessage, ControlState},
    errors::{NodeError, Result},
    event_splitter::{EventBatch, EventSplitter},
    front_server::CallerListener,
    http_connection::{ExchangeFailure, HttpConnection},
    node_context::{ActiveRoutes, NodeContext, RequestGuard, StopPhase},
    node_log::{LogSink, REQUEST_TAG, start_node_log},
    node_metrics::{NodeMetrics, OutcomeLabel},
    peer_exchange::PeerExchange,
    refusal_reply::ProblemReply,
    reply_body::{ReplyBody, StreamBroken, StreamPart},
    request_flow::answer_request,
    request_record::RequestRecord,
    run_node::run_node,
    seat::{AttemptHistory, AttemptSlot, ServerTarget},
    status_server::open_status,
    store_client::StoreClient,
    store_sync::start_sync,
    stream_flow::run_stream,
    whole_flow::run_buffered,
    wire_codec::{AnswerHead, AttemptHead, CallerHead, Decoded, WireCodec, WireRequest},
};
