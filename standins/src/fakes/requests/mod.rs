//! Simulation of request dispatch: gateways, model engines and callers in virtual time.

mod fake_engine;
mod request_world;
mod world_plan;
mod world_record;
mod world_view;

pub use {
    fake_engine::{EngineJob, FakeEngine, JobEvent},
    request_world::{DispatchPort, RequestWorld},
    world_plan::{EngineRates, WorldAccount, WorldFault, WorldKind, WorldPlan, foundry_kinds},
    world_record::{RequestRecord, WorldOutcome},
    world_view::healthy_cluster_view,
};
