//! Controller process: connects the group manager to the backend servers, the platform and the
//! peers.

mod action_runner;
mod controller_actor;
mod health_server;
mod run_controller;

pub use run_controller::run_controller;
