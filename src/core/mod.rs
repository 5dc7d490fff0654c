//! Decisions without I/O: plain structs with typed events and actions.

pub mod apply;
pub mod keys;
pub mod view;
