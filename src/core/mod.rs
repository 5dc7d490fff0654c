//! Decisions without I/O: plain structs with typed events and actions.

pub mod burn;
pub mod keys;
pub mod view;
