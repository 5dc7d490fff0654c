//! The planner: a pure function from instances, groups, services and weights to moves.

mod fabric_pool;
mod group_planner;
mod leftover_fill;
mod plan_input;
mod plan_move;
mod repair_steps;

pub use {
    group_planner::plan,
    plan_input::{
        MemberStatus, PlanGroup, PlanInput, PlanInstance, PlanMember, PlanService, PlanShard,
    },
    plan_move::PlanMove,
};
