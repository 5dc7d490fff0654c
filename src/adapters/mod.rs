//! I/O of the processes: connections to callers, backend servers, the platform and peers, and logs
//! and metrics.

mod backend_pool;
mod caller_reply;
mod config_store;
mod config_store_apply;
mod errors;
mod event_reader;
mod json_client;
mod minute_writer;
mod peer_link;
mod peer_tcp;
mod platform_client;
mod process_log;
mod process_metrics;
mod process_runtime;
mod store_watcher;

pub use {
    crate::core::view::LocalUpdate,
    backend_pool::{BackendPool, SendFailure},
    caller_reply::{
        CallerBody, CallerReply, StreamBody, error_event, full_reply, problem_body, problem_reply,
        refused_execution, stream_reply,
    },
    config_store::{fetch_newer, read_pointer, read_text},
    config_store_apply::run_apply,
    errors::{AdapterError, Result, explain},
    event_reader::{EventFailure, EventReader},
    json_client::{JsonClient, JsonReply},
    minute_writer::MinuteWriter,
    peer_tcp::call_peer,
    platform_client::{CommitOutcome, PlatformClient},
    process_log::start_log,
    process_metrics::start_metrics,
    process_runtime::ProcessRuntime,
};
