//! Serving system for model replicas that span several instances.
//!
//! [`core`] decides and never does I/O, [`adapters`] carry decisions out, and
//! the `gateway` and `controller` modules join the two in actors.

#[macro_use]
mod macros;

pub mod adapters;
pub mod cli;
pub mod conf;
pub mod controller;
pub mod core;
pub mod gateway;
pub mod node;
pub mod report;
pub mod wire;
