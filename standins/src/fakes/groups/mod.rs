//! Simulation of group management: the controllers' group managers, backend servers, the platform's
//! table service and the weight store in virtual time.

mod fake_instance;
mod fake_node;
mod fake_table;
mod fake_world;
mod group_meter;
mod invariant_check;
mod seeded_faults;
mod world_calls;
mod world_event;
mod world_setup;

pub use {
    fake_instance::FakeInstance,
    fake_node::FakeNode,
    fake_table::FakeTable,
    fake_world::FakeWorld,
    group_meter::{GroupMeter, MeterReading},
    invariant_check::InvariantCheck,
    seeded_faults::seeded_faults,
    world_event::{WorldEvent, WorldFault},
    world_setup::{WorldSetup, consorzio, service, thirulipi},
};
