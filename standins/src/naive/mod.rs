//! Simple versions of the decisions, for comparison.

mod naive_desk;
mod naive_groups;

pub use {naive_desk::NaiveDesk, naive_groups::naive_policy};
