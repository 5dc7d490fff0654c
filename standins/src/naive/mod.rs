//! Simple versions of the decisions, for comparison.

mod naive_desk;

pub use naive_desk::NaiveDesk;
