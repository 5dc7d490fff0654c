//! HTTP plumbing that the stand-ins share.

mod chunk_body;
mod path;
mod rate_limiter;
mod reply;
mod server;

pub use {
    chunk_body::ChunkBody,
    path::{decode_percent, query_value},
    rate_limiter::RateLimiter,
    reply::{Reply, ReplyBody, json_reply, raw_reply, read_body},
    server::{accept_loop, serve_connection},
};
