//! Starts small deployments of real processes on loopback addresses, for tests and measurements.

mod caller_client;
mod deployment;
mod deployment_plan;
mod errors;
mod event_stream;
mod process_guard;
mod wait;

pub use {
    caller_client::{CallerCall, CallerClient, CallerReply},
    deployment::{Deployment, NodeProcess, chat_call, event_data},
    deployment_plan::{ACCOUNT_KEY, DeploymentPlan},
    errors::{DeployError, Result},
    event_stream::EventStream,
    process_guard::{ProcessGuard, find_program},
    wait::wait_until,
};
