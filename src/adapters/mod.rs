//! Connections to callers, backend servers, the platform and peers.

mod backend_pool;
mod caller_reply;
mod config_watcher;
mod errors;
mod event_reader;
mod json_client;
mod node_runtime;
mod peer_link;
mod platform_client;
mod process_log;

pub use {
    crate::core::view::LocalUpdate,
    backend_pool::{BackendPool, SendFailure},
    caller_reply::{
        CallerBody, CallerReply, StreamBody, error_event, problem_body, problem_reply,
        refused_execution, stream_reply, whole_reply,
    },
    config_watcher::{CONFIG_ROW, ConfigPointer, fetch_newer, read_pointer},
    errors::{AdapterError, Result},
    event_reader::{EventFailure, EventReader},
    json_client::{JsonClient, JsonReply},
    node_runtime::NodeRuntime,
    platform_client::{CommitOutcome, PlatformClient},
    process_log::start_log,
};
