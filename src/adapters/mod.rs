//! Connections to callers, backend servers, the platform and peers.

mod config_watcher;
mod errors;
mod json_client;
mod minute_writer;
mod node_runtime;
mod peer_link;
mod platform_client;
mod process_log;

pub use {
    crate::core::view::LocalUpdate,
    config_watcher::{CONFIG_ROW, ConfigPointer, fetch_newer, read_pointer},
    errors::{AdapterError, Result},
    json_client::{JsonClient, JsonReply},
    minute_writer::MinuteWriter,
    node_runtime::NodeRuntime,
    platform_client::{CommitOutcome, PlatformClient},
    process_log::start_log,
};
