use super::{
    PlanGroup, PlanInput, PlanInstance, PlanMove,
    fabric_pool::FabricPool,
    leftover_fill::{best_fill, fill_count},
};

/// Ratio of gain to cost that must be exceeded before a group is retired or released for another,
/// so that two plans in a row do not undo each other.
pub(super) const MIN_GAIN_RATIO: f64 = 1.25;

/// Assumed time to drain a group.
pub(super) const DRAIN_S: f64 = 1.0;

/// Working state of one plan.
pub(super) struct PlanDraft<'a> {
    pub input: &'a PlanInput,
    pub pool: FabricPool,
    pub moves: Vec<PlanMove>,
    /// Number of groups by service that remain or are formed by this plan; a retired one still
    /// counts.
    pub counts: Vec<u32>,
    /// Whether this plan dissolves or retires each group, by its index in the input.
    pub removed: Vec<bool>,
    /// True when a serving group retires, so that its instances and the free ones are kept for the
    /// group that needs them.
    pub is_preempting: bool,
    /// Indices of serving groups with a leaving member and no free instance to replace it.
    pub unmovable: Vec<usize>,
    /// Indices of groups that stay down because too few instances are free.
    pub unrepaired: Vec<usize>,
}

/// Plans the next moves for one failure domain.
///
/// A serving group is retired for the sake of others only when the gain over the horizon exceeds
/// the cost by a margin, or, when spares are worth keeping, to gather the instances of a wanted
/// group. A second plan over the outcome of the first proposes nothing further.
///
/// ```
/// use toucanring::{
///     conf::PlannerWeights,
///     core::groups::planner::{PlanInput, plan},
/// };
///
/// let input = PlanInput {
///     free: Vec::new(),
///     groups: Vec::new(),
///     services: Vec::new(),
///     weights: PlannerWeights { group_downtime: 1.0, stranded_accelerators: 1.0 },
///     store_bytes_per_s: 1e9,
///     may_repack: true,
///     horizon_s: 300.0,
/// };
/// assert!(plan(&input).is_empty());
/// ```
#[must_use]
pub fn plan(input: &PlanInput) -> Vec<PlanMove> {
    let mut draft = PlanDraft::new(input);
    draft.repair_broken();
    draft.combine_broken();
    draft.repair_across_fabrics();
    draft.form_wanted();
    draft.move_members();
    draft.preempt_groups();
    if !draft.is_preempting {
        draft.release_unrepairable();
        draft.fill_leftovers();
        draft.repack();
    }
    draft.moves
}

impl<'a> PlanDraft<'a> {
    fn new(input: &'a PlanInput) -> Self {
        let mut counts = vec![0; input.services.len()];
        for group in &input.groups {
            counts[usize::from(group.service)] += 1;
        }
        Self {
            input,
            pool: FabricPool::new(input),
            moves: Vec::new(),
            counts,
            removed: vec![false; input.groups.len()],
            is_preempting: input.groups.iter().any(|group| group.retiring),
            unmovable: Vec::new(),
            unrepaired: Vec::new(),
        }
    }

    /// Forms groups of services that have fewer than wanted, in order of falling service weight.
    fn form_wanted(&mut self) {
        let mut service_order: Vec<usize> = (0..self.input.services.len()).collect();
        let weight = |index: &usize| self.input.services[*index].weight;
        service_order.sort_by(|left, right| weight(right).total_cmp(&weight(left)));
        for index in service_order {
            let service = &self.input.services[index];
            let service_index = u16::try_from(index).unwrap_or(u16::MAX);
            while self.counts[index] < service.min_groups {
                if !self.form(service_index, service.span, true) {
                    break;
                }
            }
        }
    }

    /// Forms one group in the fabric domain that it fits best, or across several when that pays
    /// off; false when too few instances are free.
    fn form(&mut self, service: u16, span: u32, wanted: bool) -> bool {
        let fits = |fabric: &u16| self.pool.count(*fabric) >= span;
        let best = (0..self.pool.fabrics())
            .filter(fits)
            .min_by_key(|fabric| (self.added_waste(service, *fabric), self.pool.count(*fabric)));
        let members = match best {
            Some(fabric) => self.pool.take_group(service, span, fabric, true),
            None if self.input.cross_fabric_pays_off(service, wanted, span) => {
                let Some(fabric) = self.pool.fullest() else {
                    return false;
                };
                self.pool.take_group(service, span, fabric, false)
            }
            None => None,
        };
        let Some(members) = members else {
            return false;
        };
        self.push_form(service, &members);
        true
    }

    /// Number of further free instances of the fabric domain that no group could use once a group
    /// of this service is formed there.
    fn added_waste(&self, service: u16, fabric: u16) -> u32 {
        let mut counts = self.counts.clone();
        let free = self.pool.count(fabric);
        let before = free - fill_count(self.input, &counts, free);
        counts[usize::from(service)] += 1;
        let remaining = free - self.input.services[usize::from(service)].span;
        let after = remaining - fill_count(self.input, &counts, remaining);
        after.saturating_sub(before)
    }

    /// Retires the group whose instances, together with the free ones of its fabric domain, form
    /// groups that use more instances. Only when no group is down or moving and nothing else is
    /// planned.
    fn repack(&mut self) {
        let is_down_or_moving = |group: &PlanGroup| group.moving || !group.serving;
        if !self.input.may_repack || !self.input.prefers_full_use() {
            return;
        }
        if self.input.groups.iter().any(is_down_or_moving) {
            return;
        }
        if !self.moves.is_empty() {
            return;
        }
        let mut best: Option<(f64, usize)> = None;
        for (index, group) in self.input.groups.iter().enumerate() {
            let fabric = group.members[0].fabric;
            let spread = group.members.iter().any(|member| member.fabric != fabric);
            // A wanted group would be formed again from the same instances.
            if spread || self.is_wanted(group) {
                continue;
            }
            let span = self.input.services[usize::from(group.service)].span;
            let mut counts = self.counts.clone();
            counts[usize::from(group.service)] -= 1;
            let free = self.pool.count(fabric);
            let used = fill_count(self.input, &counts, free + span);
            let gained = used.saturating_sub(span + fill_count(self.input, &self.counts, free));
            let accelerators: u32 = group.members.iter().map(|member| member.accelerators).sum();
            let gain = self.input.weights.stranded_accelerators
                * f64::from(gained * accelerators / span)
                * self.input.horizon_s;
            let pause = DRAIN_S + self.input.load_s(group.service, used);
            let cost = self.group_outage_cost_per_s(group) * pause * MIN_GAIN_RATIO;
            if gain > cost && best.is_none_or(|(most, _)| gain - cost > most) {
                best = Some((gain - cost, index));
            }
        }
        if let Some((_, index)) = best {
            self.removed[index] = true;
            self.moves
                .push(PlanMove::Retire(self.input.groups[index].key));
        }
    }

    fn push_form(&mut self, service: u16, members: &[PlanInstance]) {
        self.counts[usize::from(service)] += 1;
        self.moves.push(PlanMove::Form {
            service,
            members: members.iter().map(|member| member.key).collect(),
        });
    }

    /// Forms further groups, up to `max_groups`, from instances that no wanted group needs.
    fn fill_leftovers(&mut self) {
        let mut pairs = self.input.services.iter().zip(&self.counts);
        let lacking = pairs.any(|(service, count)| *count < service.min_groups);
        if lacking && !self.input.prefers_full_use() {
            // Keeps the free instances for the missing group.
            return;
        }
        let spare = u32::from(!self.input.prefers_full_use());
        for fabric in 0..self.pool.fabrics() {
            let free = self.pool.count(fabric).saturating_sub(spare);
            for service in best_fill(self.input, &self.counts, free) {
                let span = self.input.services[usize::from(service)].span;
                if let Some(members) = self.pool.take_group(service, span, fabric, true) {
                    self.push_form(service, &members);
                }
            }
        }
        if !self.input.prefers_full_use() {
            return;
        }
        for service in best_fill(self.input, &self.counts, self.pool.total()) {
            let span = self.input.services[usize::from(service)].span;
            self.form(service, span, false);
        }
    }

    /// True when the service has fewer than `min_groups` groups without this one.
    pub fn is_wanted(&self, group: &PlanGroup) -> bool {
        let index = usize::from(group.service);
        self.counts[index] <= self.input.services[index].min_groups
    }

    /// Cost per second while this group does not serve.
    pub fn group_outage_cost_per_s(&self, group: &PlanGroup) -> f64 {
        let accelerators = group.members.iter().map(|member| member.accelerators).sum();
        self.input
            .outage_cost_per_s(group.service, self.is_wanted(group), accelerators)
    }

    /// Dissolves a group and adds its usable members to the pool.
    pub fn release(&mut self, index: usize) {
        let group = &self.input.groups[index];
        self.removed[index] = true;
        self.counts[usize::from(group.service)] -= 1;
        self.moves.push(PlanMove::Dissolve(group.key));
        for member in &group.members {
            if !member.is_usable() {
                continue;
            }
            self.pool.add(PlanInstance {
                key: member.key,
                fabric: member.fabric,
                accelerators: member.accelerators,
                shard: member.shard,
            });
        }
    }
}
