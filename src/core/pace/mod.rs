//! Bounds the load of a replica group that has just opened or recovered.
//!
//! Many nodes find the same empty group at the same moment, and their reports of running requests
//! are some tenths of a second old. [`GroupPace`] therefore limits the requests of all nodes at the
//! group, divides the sends among the nodes, and raises the limit as first events arrive in time.
//! A group whose limit has stayed at its slots for a while is steady and no longer bounded.

mod arrival_rate;
mod group_pace;
mod pace_change;
mod pace_load;
mod pace_phase;
mod return_record;

pub use {
    arrival_rate::ArrivalRate,
    group_pace::GroupPace,
    pace_change::PaceChange,
    pace_load::{FirstEventSample, PaceLoad},
    pace_phase::PacePhase,
    return_record::ReturnRecord,
};
