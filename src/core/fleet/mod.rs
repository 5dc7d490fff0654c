//! What a process knows of the backend servers: their entries in the store,
//! with the version of each, and how far the list can be trusted.

mod backend_entry;
mod engine_report;
mod fleet_view;

pub use {
    backend_entry::{BackendEntry, EngineMembership, MemberState},
    engine_report::EngineReport,
    fleet_view::{FleetChange, FleetView, KnownEntry},
};
