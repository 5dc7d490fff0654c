use super::planner::{PlanInput, PlanMove, plan};

/// What a group keeper decides by; the naive version for comparison differs in these.
#[derive(Debug, Clone, Copy)]
pub struct GroupPolicy {
    /// Chooses the moves.
    pub plan: fn(&PlanInput) -> Vec<PlanMove>,
    /// Groups load one after the other, in order of least remaining bytes per value.
    pub orders_loads: bool,
    /// Groups whose servers check fencing numbers are repaired during a platform outage.
    pub repairs_in_outage: bool,
}

impl Default for GroupPolicy {
    fn default() -> Self {
        Self {
            plan,
            orders_loads: true,
            repairs_in_outage: true,
        }
    }
}
