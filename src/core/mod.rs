//! Decisions without I/O: plain structs with typed events and actions.

pub mod admission;
pub mod apply;
pub mod burn;
pub mod claims;
pub mod dispatch;
pub mod groups;
pub mod keys;
pub mod lease;
pub mod retry;
pub mod routing;
pub mod view;
