use {
    super::{
        MemberStatus, PlanGroup, PlanMember, PlanMove, PlanShard,
        group_planner::{DRAIN_S, MIN_GAIN_RATIO, PlanDraft},
        leftover_fill::fill_count,
    },
    crate::core::keys::InstanceKey,
    smallvec::SmallVec,
};

impl PlanMember {
    /// True when the instance can serve, now or after loading, in this or another group.
    pub(super) fn is_usable(&self) -> bool {
        !matches!(self.status, MemberStatus::Lost | MemberStatus::Leaving)
    }
}

impl PlanGroup {
    /// Main fabric domain: the one with the most usable members, the lowest index among equals.
    fn main_fabric(&self) -> u16 {
        let usable = || self.members.iter().filter(|member| member.is_usable());
        let votes = |fabric: u16| usable().filter(|member| member.fabric == fabric).count();
        let best = usable().max_by_key(|member| (votes(member.fabric), u16::MAX - member.fabric));
        best.or(self.members.first())
            .map_or(0, |member| member.fabric)
    }

    fn keys(&self) -> SmallVec<[InstanceKey; 8]> {
        self.members.iter().map(|member| member.key).collect()
    }

    fn shard(&self, rank: usize) -> PlanShard {
        PlanShard {
            service: self.service,
            rank: u32::try_from(rank).unwrap_or(u32::MAX),
        }
    }

    /// Number of ranks without a usable member.
    fn missing(&self) -> u32 {
        let missing = self.members.iter().filter(|member| !member.is_usable());
        u32::try_from(missing.count()).unwrap_or(u32::MAX)
    }
}

/// Instances that a broken or missing group lacks in one fabric domain.
struct GroupShortage {
    service: u16,
    fabric: u16,
    /// Number of instances that the group lacks.
    missing: u32,
    /// Number of members that are still usable.
    survivors: u32,
    /// True when the group counts towards the `min_groups` of its service.
    wanted: bool,
}

impl PlanDraft<'_> {
    /// Replaces missing members of groups that are down by free instances of their main fabric
    /// domain. Groups with the highest outage cost per missing member come first. A free instance
    /// that holds the right shard also replaces a member that has not loaded it yet.
    pub fn repair_broken(&mut self) {
        let mut broken: Vec<usize> = (0..self.input.groups.len())
            .filter(|index| !self.input.groups[*index].serving)
            .collect();
        let cost_per_missing = |index: &usize| {
            let group = &self.input.groups[*index];
            self.group_outage_cost_per_s(group) / f64::from(group.missing().max(1))
        };
        let costs: Vec<f64> = (0..self.input.groups.len())
            .map(|index| cost_per_missing(&index))
            .collect();
        broken.sort_by(|left, right| costs[*right].total_cmp(&costs[*left]));
        for index in broken {
            let group = &self.input.groups[index];
            let main_fabric = group.main_fabric();
            if group.missing() > self.pool.count(main_fabric) {
                self.unrepaired.push(index);
                continue;
            }
            let mut members = group.keys();
            let mut changed = false;
            for (rank, member) in group.members.iter().enumerate() {
                let shard = group.shard(rank);
                let other = match member.status {
                    MemberStatus::Lost | MemberStatus::Leaving => {
                        self.pool.take(main_fabric, shard)
                    }
                    // The member holds its shard already, so another holder would gain nothing.
                    MemberStatus::Loading { bytes_left: 0 }
                    | MemberStatus::Healthy
                    | MemberStatus::Slow => None,
                    MemberStatus::Loading { .. } | MemberStatus::Restarted => {
                        self.pool.take_holder(main_fabric, shard)
                    }
                };
                changed |= member.status == MemberStatus::Restarted;
                if let Some(other) = other {
                    members[rank] = other.key;
                    changed = true;
                }
            }
            if changed {
                self.moves.push(PlanMove::Replace {
                    group: group.key,
                    members,
                });
            }
        }
    }

    /// Completes broken groups with the usable members of other broken groups in the same fabric
    /// domain. The groups with the lowest outage cost per missing member are dissolved first.
    pub fn combine_broken(&mut self) {
        let unrepaired = std::mem::take(&mut self.unrepaired);
        for (position, index) in unrepaired.iter().copied().enumerate() {
            if self.removed[index] {
                continue;
            }
            let group = &self.input.groups[index];
            let main_fabric = group.main_fabric();
            let donors = self.donors(&unrepaired[position + 1..], main_fabric, group.missing());
            let Some(donors) = donors else {
                self.unrepaired.push(index);
                continue;
            };
            for donor in donors {
                self.release(donor);
            }
            self.replace_missing(index, main_fabric, true);
        }
        let removed = &self.removed;
        self.unrepaired.retain(|index| !removed[*index]);
    }

    /// Groups from the end of `later` whose usable members, with the free instances, fill `missing`
    /// ranks; `None` when they do not suffice.
    fn donors(&self, later: &[usize], main_fabric: u16, missing: u32) -> Option<Vec<usize>> {
        let mut available = self.pool.count(main_fabric);
        let mut donors = Vec::new();
        for index in later.iter().rev().copied() {
            if available >= missing {
                break;
            }
            if self.removed[index] {
                continue;
            }
            let members = &self.input.groups[index].members;
            let here = |member: &&PlanMember| member.is_usable() && member.fabric == main_fabric;
            let usable = u32::try_from(members.iter().filter(here).count()).unwrap_or(0);
            if usable == 0 {
                continue;
            }
            available += usable;
            donors.push(index);
        }
        (available >= missing).then_some(donors)
    }

    /// Fills the missing ranks of a group from its main fabric domain, then from others unless
    /// `same_fabric_only`. The caller has checked that enough instances are free.
    fn replace_missing(&mut self, index: usize, main_fabric: u16, same_fabric_only: bool) {
        let group = &self.input.groups[index];
        let mut members = group.keys();
        for (rank, member) in group.members.iter().enumerate() {
            if member.is_usable() {
                continue;
            }
            let shard = group.shard(rank);
            let mut other = self.pool.take(main_fabric, shard);
            if other.is_none() && !same_fabric_only {
                other = self
                    .pool
                    .fullest()
                    .and_then(|fabric| self.pool.take(fabric, shard));
            }
            let Some(other) = other else { return };
            members[rank] = other.key;
        }
        self.moves.push(PlanMove::Replace {
            group: group.key,
            members,
        });
    }

    /// Completes broken groups with free instances of any fabric domain where that pays off.
    pub fn repair_across_fabrics(&mut self) {
        for index in std::mem::take(&mut self.unrepaired) {
            let group = &self.input.groups[index];
            let span = u32::try_from(group.members.len()).unwrap_or(0);
            let pays = self
                .input
                .cross_fabric_pays_off(group.service, self.is_wanted(group), span);
            if !pays || group.missing() > self.pool.total() {
                self.unrepaired.push(index);
                continue;
            }
            self.replace_missing(index, group.main_fabric(), false);
        }
    }

    /// Plans replacements for leaving and slow members, which load while the group serves on. A
    /// group with a leaving member and no free instance goes to `unmovable`.
    pub fn move_members(&mut self) {
        for index in 0..self.input.groups.len() {
            let group = &self.input.groups[index];
            if !group.serving || group.moving || self.removed[index] {
                continue;
            }
            let main_fabric = group.main_fabric();
            let mut members = group.keys();
            let mut changed = false;
            let mut lacks_replacement = false;
            let span = u32::try_from(group.members.len()).unwrap_or(0);
            let cross_fabric =
                self.input
                    .cross_fabric_pays_off(group.service, self.is_wanted(group), span);
            for (rank, member) in group.members.iter().enumerate() {
                let leaving = member.status == MemberStatus::Leaving;
                if !leaving && member.status != MemberStatus::Slow {
                    continue;
                }
                let mut other = self.pool.take(main_fabric, group.shard(rank));
                if other.is_none() && leaving && cross_fabric {
                    let fabric = self.pool.fullest();
                    other = fabric.and_then(|fabric| self.pool.take(fabric, group.shard(rank)));
                }
                match other {
                    Some(other) => {
                        members[rank] = other.key;
                        changed = true;
                    }
                    None => lacks_replacement |= leaving,
                }
            }
            if lacks_replacement {
                self.unmovable.push(index);
            } else if changed {
                self.moves.push(PlanMove::Prepare {
                    group: group.key,
                    members,
                });
            }
        }
    }

    /// Retires a serving group whose instances complete a group of higher value, when the gain over
    /// the horizon exceeds the cost. If no group is preempted, retires the groups in `unmovable`.
    pub fn preempt_groups(&mut self) {
        let unmovable = std::mem::take(&mut self.unmovable);
        if !self.is_preempting {
            let waiting: Vec<usize> = self.unrepaired.iter().chain(&unmovable).copied().collect();
            self.is_preempting = waiting.iter().any(|index| self.preempt_for_group(*index))
                || self.preempt_for_service();
        }
        if self.is_preempting {
            return;
        }
        for index in unmovable {
            self.removed[index] = true;
            self.moves
                .push(PlanMove::Retire(self.input.groups[index].key));
        }
    }

    fn preempt_for_group(&mut self, index: usize) -> bool {
        let group = &self.input.groups[index];
        let span = u32::try_from(group.members.len()).unwrap_or(0);
        let wanted = self.is_wanted(group);
        let main_fabric = group.main_fabric();
        let cross_fabric = self
            .input
            .cross_fabric_pays_off(group.service, wanted, span);
        let others =
            (0..self.pool.fabrics()).filter(|fabric| cross_fabric && *fabric != main_fabric);
        for fabric in std::iter::once(main_fabric).chain(others) {
            let shortage = GroupShortage {
                service: group.service,
                fabric,
                missing: group.missing(),
                survivors: span - group.missing(),
                wanted,
            };
            if self.retire_donor(&shortage, Some(index)) {
                return true;
            }
        }
        false
    }

    fn preempt_for_service(&mut self) -> bool {
        for (index, service) in self.input.services.iter().enumerate() {
            if self.counts[index] >= service.min_groups {
                continue;
            }
            for fabric in 0..self.pool.fabrics() {
                let shortage = GroupShortage {
                    service: u16::try_from(index).unwrap_or(u16::MAX),
                    fabric,
                    missing: service.span,
                    survivors: 0,
                    wanted: true,
                };
                if self.retire_donor(&shortage, None) {
                    return true;
                }
            }
        }
        self.retire_surplus()
    }

    /// Retires the largest group that its service does not need, when all such groups and the free
    /// instances suffice for a wanted group, in one fabric domain or across several. Without any
    /// comparison of gain and cost; never when idle accelerators outweigh spares.
    fn retire_surplus(&mut self) -> bool {
        let services = self.input.services.iter().enumerate();
        let missing = services.filter(|(index, service)| self.counts[*index] < service.min_groups);
        let Some(span) = missing.map(|(_, service)| service.span).min() else {
            return false;
        };
        if self.input.prefers_full_use() {
            return false;
        }
        let is_surplus = |index: &usize| {
            let group = &self.input.groups[*index];
            group.serving && !group.moving && !self.removed[*index] && !self.is_wanted(group)
        };
        let surplus: Vec<usize> = (0..self.input.groups.len()).filter(is_surplus).collect();
        let member_count = |index: &usize| self.input.groups[*index].members.len();
        let released: usize = surplus.iter().map(member_count).sum();
        if (self.pool.total() as usize) + released < span as usize {
            return false;
        }
        let Some(index) = surplus.iter().copied().max_by_key(member_count) else {
            return false;
        };
        self.removed[index] = true;
        self.moves
            .push(PlanMove::Retire(self.input.groups[index].key));
        true
    }

    /// Retires the serving group within the fabric domain of the shortage that yields the highest
    /// net gain, if any is positive. `own_index` is the broken group itself, if it exists.
    fn retire_donor(&mut self, shortage: &GroupShortage, own_index: Option<usize>) -> bool {
        let mut best: Option<(f64, usize)> = None;
        let needed = shortage
            .missing
            .saturating_sub(self.pool.count(shortage.fabric));
        if needed == 0 {
            return false;
        }
        for (index, donor) in self.input.groups.iter().enumerate() {
            let mut members = donor.members.iter();
            let may_retire = donor.serving && !donor.moving && !self.removed[index];
            let in_fabric = members.all(|member| member.fabric == shortage.fabric);
            if !may_retire
                || !in_fabric
                || Some(index) == own_index
                || donor.members.len() < needed as usize
            {
                continue;
            }
            let net_gain = self.net_gain(shortage, donor, own_index.is_some());
            if net_gain > 0.0 && best.is_none_or(|(most, _)| net_gain > most) {
                best = Some((net_gain, index));
            }
        }
        let Some((_, index)) = best else { return false };
        self.removed[index] = true;
        self.moves
            .push(PlanMove::Retire(self.input.groups[index].key));
        true
    }

    /// Gain less cost, over the horizon, of retiring `donor` to complete a group, compared with
    /// leaving `donor` as it is and forming other groups from the usable members and free
    /// instances. `group_exists` is false when the group is not formed yet.
    fn net_gain(&self, shortage: &GroupShortage, donor: &PlanGroup, group_exists: bool) -> f64 {
        let input = self.input;
        let span = shortage.missing + shortage.survivors;
        let donor_span = u32::try_from(donor.members.len()).unwrap_or(0);
        let accelerators: u32 = donor.members.iter().map(|member| member.accelerators).sum();
        let accelerators_per_instance = f64::from(accelerators) / f64::from(donor_span.max(1));
        let free = self.pool.count(shortage.fabric) + shortage.survivors;
        let mut counts_without = self.counts.clone();
        counts_without[usize::from(shortage.service)] -= u32::from(group_exists);
        let used_without = donor_span + fill_count(input, &counts_without, free);
        let mut counts_with = self.counts.clone();
        counts_with[usize::from(shortage.service)] += u32::from(!group_exists);
        counts_with[usize::from(donor.service)] -= 1;
        let remaining = (free + donor_span).saturating_sub(span);
        let refilled = fill_count(input, &counts_with, remaining);
        let instances_gained = f64::from(span + refilled) - f64::from(used_without);
        let stranded = input.weights.stranded_accelerators * accelerators_per_instance;
        let saved_per_s = if shortage.wanted {
            input.outage_cost_per_s(shortage.service, true, 0)
        } else {
            0.0
        };
        let lost_per_s = if self.is_wanted(donor) {
            input.outage_cost_per_s(donor.service, true, 0)
        } else {
            0.0
        };
        let pause = DRAIN_S + input.load_s(donor.service, refilled);
        let gain = (saved_per_s + stranded * instances_gained) * input.horizon_s;
        let cost = lost_per_s * input.horizon_s + stranded * f64::from(donor_span) * pause;
        gain - cost * MIN_GAIN_RATIO
    }

    /// Dissolves broken groups that cannot be completed, when their usable members can serve in a
    /// group of another service and that is worth more than a quick repair once the missing member
    /// returns.
    pub fn release_unrepairable(&mut self) {
        for index in self.unrepaired.clone() {
            let group = &self.input.groups[index];
            let main_fabric = group.main_fabric();
            let survivors: u32 = group
                .members
                .iter()
                .filter(|member| member.is_usable())
                .map(|member| member.accelerators)
                .sum();
            let span = u32::try_from(group.members.len()).unwrap_or(0);
            let usable = span - group.missing();
            let reload = self.input.load_s(group.service, span);
            let gain = self.input.weights.stranded_accelerators
                * f64::from(survivors)
                * self.input.horizon_s;
            if gain <= self.group_outage_cost_per_s(group) * reload * MIN_GAIN_RATIO {
                continue;
            }
            let available = self.pool.count(main_fabric) + usable;
            let fits = self
                .input
                .services
                .iter()
                .enumerate()
                .any(|(other, service)| {
                    other != usize::from(group.service)
                        && service.span <= available
                        && service.span > self.pool.count(main_fabric)
                        && self.counts[other] < service.max_groups
                });
            if fits {
                self.release(index);
            }
        }
        let removed = &self.removed;
        self.unrepaired.retain(|index| !removed[*index]);
    }
}
