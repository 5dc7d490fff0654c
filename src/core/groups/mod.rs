//! Replica groups of model services in one failure domain. The lease holder polls the members,
//! plans the groups, commits their membership rows and orders the backend servers to join or leave.

mod adoption;
mod group_action;
mod group_event;
mod group_gauge;
mod group_manager;
mod group_options;
mod group_policy;
mod group_record;
mod group_rows;
mod group_status;
mod group_timing;
mod instance_record;
mod inventory;
mod load_queue;
mod member_orders;
mod member_watch;
mod move_steps;
pub mod planner;
mod planner_view;
mod service_state;

pub use {
    group_action::GroupAction,
    group_event::{GroupEvent, OrderAnswer},
    group_manager::GroupManager,
    group_options::GroupOptions,
    group_policy::GroupPolicy,
    group_rows::{GroupRow, MemberRow},
    group_status::{GroupStatus, ManagerStatus, ServiceStatus},
    group_timing::GroupTiming,
};
