use toucanring::core::{
    groups::{
        GroupPolicy,
        planner::{MemberStatus, PlanGroup, PlanInput, PlanMove},
    },
    keys::InstanceKey,
};

/// Naive group policy: a lost member dissolves its group, new groups are formed in the order of the
/// services and load at once, nothing is formed during a platform outage, and leftover instances
/// stay unused. The measurements also set
/// [`WorldSetup::unloads_on_leave`](crate::fakes::groups::WorldSetup), so that a new group loads its
/// whole model again.
#[must_use]
pub fn naive_policy() -> GroupPolicy {
    GroupPolicy {
        plan: naive_plan,
        queues_loads: false,
        repairs_in_outage: false,
    }
}

fn naive_plan(input: &PlanInput) -> Vec<PlanMove> {
    let mut moves = Vec::new();
    let mut counts = vec![0; input.services.len()];
    for group in &input.groups {
        if is_broken(group) {
            moves.push(PlanMove::Dissolve(group.key));
        } else {
            counts[usize::from(group.service)] += 1;
        }
    }
    if !moves.is_empty() {
        return moves;
    }
    let mut free = input.free.clone();
    for (index, service) in (0u16..).zip(&input.services) {
        while counts[usize::from(index)] < service.min_groups {
            let span = service.span as usize;
            let in_fabric = |fabric: u16| free.iter().filter(move |free| free.fabric == fabric);
            let fits = free.iter().map(|instance| instance.fabric);
            let Some(fabric) = fits
                .filter(|fabric| in_fabric(*fabric).count() >= span)
                .min()
            else {
                break;
            };
            let members = in_fabric(fabric).take(span).map(|instance| instance.key);
            let members: Vec<InstanceKey> = members.collect();
            free.retain(|instance| !members.contains(&instance.key));
            counts[usize::from(index)] += 1;
            moves.push(PlanMove::Form {
                service: index,
                members: members.into_iter().collect(),
            });
        }
    }
    moves
}

fn is_broken(group: &PlanGroup) -> bool {
    let lost = |status: MemberStatus| {
        matches!(
            status,
            MemberStatus::Lost | MemberStatus::Restarted | MemberStatus::Leaving
        )
    };
    group.members.iter().any(|member| lost(member.status))
}
