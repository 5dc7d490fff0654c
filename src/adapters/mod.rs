//! Connections to callers, backend servers, the platform and peers.

mod errors;
mod json_client;
mod minute_writer;
mod node_runtime;
mod platform_client;

pub use {
    errors::{AdapterError, Result},
    json_client::{JsonClient, JsonReply},
    minute_writer::MinuteWriter,
    node_runtime::{LocalUpdate, NodeRuntime},
    platform_client::{CommitOutcome, PlatformClient},
};
