//! Small fakes at the ports of the decisions, driven in virtual time.

pub mod groups;
pub mod requests;
