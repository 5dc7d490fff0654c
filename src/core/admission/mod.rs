//! Limits per client account, the queue in front of the groups, and its order.

mod account_gate;
mod fair_queue;
mod limit_share;

pub use {
    account_gate::{AccountGate, LimitRefusal},
    fair_queue::{FairQueue, QueuedRequest},
    limit_share::LimitShare,
};
