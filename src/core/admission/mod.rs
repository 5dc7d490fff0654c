//! Limits per client account, the queue in front of the groups, and its order.

mod account_limiter;
mod fair_queue;
mod limit_share;

pub use {
    account_limiter::{AccountLimiter, LimitRefusal},
    fair_queue::{FairQueue, QueuedRequest},
    limit_share::LimitShare,
};
