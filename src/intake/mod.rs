//! Reads the bodies of callers' requests into bounded memory; [`crate::core::intake`] decides what
//! is kept. Nodes and gateways share this code.

mod body_intake;
mod body_lease;
mod body_reader;
mod body_segments;
mod intake_fault;

pub use {
    body_intake::BodyIntake,
    body_lease::{BodyLease, KeptBody},
    body_reader::BodyTerms,
    intake_fault::{IntakeFault, NO_ROOM_RETRY, NO_ROOM_SPREAD_MS, Result},
};
