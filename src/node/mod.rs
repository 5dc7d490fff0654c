//! A node: a gateway and a controller of replica groups in one process, on one thread. Connects the
//! decision logic in [`crate::core`] with sockets. The adapter's [`WireCodec`] knows the names of
//! headers, fields and paths that other programs use.

mod account_admission;
mod actor_restarts;
mod answer_framing;
mod attempt_send;
mod attempt_slot;
mod bounded_stream;
mod buffered_flow;
mod caller_connections;
mod caller_listener;
mod caller_stream;
mod cold_notices;
mod connection_pool;
mod control_actor;
mod control_message;
mod crash_exchange;
mod crash_watch;
mod errors;
mod event_splitter;
mod fleet_updates;
mod http_connection;
mod lease_calls;
mod memory_metrics;
mod node_clock;
mod node_context;
mod node_drains;
mod node_log;
mod node_metrics;
mod node_peers;
mod order_sender;
mod pace_report;
mod peer_exchange;
mod peer_pulls;
mod piece_pull;
mod problem_reply;
mod pull_frames;
mod pull_server;
mod reply_body;
mod request_flow;
mod request_intake;
mod request_record;
mod response_budget;
mod retry_budgets;
mod routed_call;
mod run_node;
mod server_answers;
mod share_metrics;
mod status_server;
mod stop_check;
mod store_client;
mod store_sync;
mod stream_flow;
mod stream_head;
mod stream_run;
mod stream_source;
mod wire_codec;

use store_client::build_request;
pub use {
    actor_restarts::keep_actor,
    answer_framing::{ends_with_connection, has_unknown_coding},
    attempt_send::{AttemptOutcome, AttemptResponse, send_attempt},
    attempt_slot::{AttemptHistory, AttemptSlot, ServerTarget},
    buffered_flow::run_buffered,
    caller_connections::{BusyGuard, CallerConnections, ConnectionGuard},
    caller_listener::CallerListener,
    connection_pool::ConnectionPool,
    control_actor::{ControlActor, ControlStart, ControlState},
    control_message::ControlMessage,
    errors::{NodeError, Result},
    event_splitter::{EventBatch, EventSplitter},
    http_connection::{ExchangeFailure, HttpConnection},
    memory_metrics::MemoryMetrics,
    node_context::{ActiveRoutes, NodeContext, RequestGuard, RoutesOrigin, StopPhase},
    node_log::{LogSink, REQUEST_TAG, log_panics, start_node_log},
    node_metrics::{NodeMetrics, OutcomeLabel},
    peer_exchange::PeerExchange,
    piece_pull::{PieceOutcome, PiecePull},
    problem_reply::ProblemReply,
    pull_server::PullServer,
    reply_body::{PartQueue, ReplyBody, StreamBroken, StreamPart},
    request_flow::answer_request,
    request_record::RequestRecord,
    response_budget::ResponseBudget,
    routed_call::{RoutedCall, reply_deadline},
    run_node::run_node,
    share_metrics::{ModelLabel, ShareMetrics},
    status_server::open_status,
    store_client::StoreClient,
    store_sync::start_sync,
    stream_flow::run_stream,
    stream_head::StreamHead,
    wire_codec::{
        AttemptHead, CallerHead, Decoded, ResponseHead, ServerNotice, WireCodec, WireRequest,
    },
};
