use super::planner::{PlanInput, PlanMove, plan};

/// Decisions of the group manager that the naive policy, the baseline of measurements, replaces.
#[derive(Debug, Clone, Copy)]
pub struct GroupPolicy {
    /// Plans the next moves; runs at most every
    /// [`GroupTiming::min_plan_interval`](super::GroupTiming).
    pub plan: fn(&PlanInput) -> Vec<PlanMove>,
    /// Groups load one after the other, the least remaining bytes per unit of value first; else
    /// all groups load at once.
    pub queues_loads: bool,
    /// During a platform outage, groups whose servers all check fencing numbers are still repaired
    /// after the lease has expired.
    pub repairs_in_outage: bool,
}

impl Default for GroupPolicy {
    fn default() -> Self {
        Self {
            plan,
            queues_loads: true,
            repairs_in_outage: true,
        }
    }
}
