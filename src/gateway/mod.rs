//! Gateway process: serves callers as the request dispatcher decides.

mod backend_attempt;
mod call_context;
mod call_order;
mod caller_sink;
mod caller_slots;
mod chat_body;
mod chat_call;
mod dispatch_actor;
mod errors;
mod gateway_server;
mod plain_call;
mod request_head;
mod request_paths;
mod tick_pacer;

pub use {
    errors::{GatewayError, Result},
    gateway_server::GatewayServer,
};
