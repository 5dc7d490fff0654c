//! Naive dispatcher and group policy: the baseline that measurements compare the real ones with.

mod naive_dispatcher;
mod naive_groups;

pub use {naive_dispatcher::NaiveDispatcher, naive_groups::naive_policy};
