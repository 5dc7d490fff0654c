//! Simple versions of the decisions, for comparison.

mod naive_dispatcher;
mod naive_groups;

pub use {naive_dispatcher::NaiveDispatcher, naive_groups::naive_policy};
