//! Decisions without I/O: plain structs with typed events and actions.

pub mod keys;
pub mod view;
