//! Naive versions that the decisions are compared with.

mod naive_groups;

pub use naive_groups::naive_policy;
