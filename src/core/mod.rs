//! Decisions without I/O: plain structs with typed events and actions.

pub mod burn;
pub mod groups;
pub mod keys;
pub mod lease;
pub mod view;
