//! HTTP server parts that the platform and backend stand-ins share.

mod chunk_body;
mod http_reply;
mod path;
mod rate_limiter;
mod server;

pub use {
    chunk_body::ChunkBody,
    http_reply::{HttpReply, ReplyBody, json_reply, raw_reply, read_body},
    path::{decode_percent, query_value},
    rate_limiter::RateLimiter,
    server::{accept_loop, serve_connection},
};
