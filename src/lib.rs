//! Serving system for model replicas that span several instances.
//!
//! [`core`] makes the decisions and does no I/O, [`adapters`] do the I/O, and the actors in
//! [`gateway`] and [`controller`] connect the two. [`node`] is a gateway and a controller in one
//! process.

#[macro_use]
mod macros;

pub mod adapters;
pub mod cli;
pub mod conf;
pub mod controller;
pub mod core;
pub mod gateway;
pub mod intake;
pub mod node;
pub mod report;
pub mod wire;
