//! Rate limits per client account, and the queue of requests that wait for a replica group.

mod account_limiter;
mod fair_queue;
mod limit_share;

pub use {
    account_limiter::{AccountLimiter, LimitRefusal},
    fair_queue::{FairQueue, QueuedRequest},
    limit_share::LimitShare,
};
