//! Replica groups of engines that accept orders: which groups to form from the
//! servers of a failure domain, and the orders that form, open and dissolve
//! them. The expected load is that members fail every few seconds while each
//! load from the weight store takes many seconds. Members that survive a loss
//! therefore keep their model, and weights are staged on spare hosts in advance.

mod call_deferral;
mod call_failures;
mod capacity_report;
mod domain_plan;
mod engine_order;
mod formation_group;
mod formation_manager;
mod formation_planning;
mod formation_port;
mod formation_server;
mod group_adoption;
mod group_phases;
mod group_targets;
mod load_budget;
mod load_ends;
mod order_fence;
mod shared_domains;
mod weight_staging;

pub use {
    call_failures::CallFailures,
    capacity_report::{CapacityReport, ModelCapacity},
    domain_plan::{FreeServer, GroupPlan, ModelDemand, choose_model, plan_group},
    engine_order::{CloseMode, EngineOrder, OrderBody, OrderOutcome},
    formation_group::{FormationGroup, GroupKey, GroupPhase},
    formation_manager::{FormationManager, FormationScope},
    formation_port::{FormationAction, ProbeOutcome},
    formation_server::{FormationServer, ServerKey},
    group_targets::{group_targets, shares_domains},
    load_budget::LoadBudget,
    order_fence::{fence_of, term_of_fence},
    weight_staging::max_domain_loads,
};
