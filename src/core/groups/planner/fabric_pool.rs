use super::{PlanInput, PlanInstance, PlanShard};

/// Free instances by fabric domain that the plan has not used yet.
#[derive(Debug, Clone)]
pub(super) struct FabricPool {
    fabrics: Vec<Vec<PlanInstance>>,
}

impl FabricPool {
    /// Collects the free instances of the input. Fabric domains that only members are in get an
    /// empty list, since members may be released later.
    pub fn new(input: &PlanInput) -> Self {
        let free = input.free.iter().map(|instance| instance.fabric);
        let members = input.groups.iter().flat_map(|group| &group.members);
        let highest = free.chain(members.map(|member| member.fabric)).max();
        let count = highest.map_or(0, |fabric| usize::from(fabric) + 1);
        let mut pool = Self {
            fabrics: vec![Vec::new(); count],
        };
        for instance in &input.free {
            pool.add(instance.clone());
        }
        pool
    }

    /// One more than the highest fabric index of a free instance or member.
    pub fn fabrics(&self) -> u16 {
        u16::try_from(self.fabrics.len()).unwrap_or(u16::MAX)
    }

    /// Adds a free or released instance to the pool of its fabric domain.
    pub fn add(&mut self, instance: PlanInstance) {
        self.fabrics[usize::from(instance.fabric)].push(instance);
    }

    /// Number of free instances in a fabric domain.
    pub fn count(&self, fabric: u16) -> u32 {
        u32::try_from(self.fabrics[usize::from(fabric)].len()).unwrap_or(u32::MAX)
    }

    /// Number of free instances in all fabric domains.
    pub fn total(&self) -> u32 {
        (0..self.fabrics()).map(|fabric| self.count(fabric)).sum()
    }

    /// Fabric domain with the most free instances, the lowest index among equals; `None` when there
    /// are no fabric domains.
    pub fn fullest(&self) -> Option<u16> {
        (0..self.fabrics()).max_by_key(|fabric| (self.count(*fabric), u16::MAX - fabric))
    }

    /// Takes an instance of `fabric` for a rank: if possible one that holds the shard, else one
    /// that holds none, else one that holds a shard of another service, else any.
    pub fn take(&mut self, fabric: u16, shard: PlanShard) -> Option<PlanInstance> {
        let free = &mut self.fabrics[usize::from(fabric)];
        let preference = |instance: &PlanInstance| match instance.shard {
            Some(held) if held == shard => 0,
            None => 1,
            Some(held) if held.service == shard.service => 3,
            Some(_) => 2,
        };
        let best = (0..free.len()).min_by_key(|index| preference(&free[*index]))?;
        Some(free.remove(best))
    }

    /// Takes an instance of `fabric` that holds the shard; `None` if there is none.
    pub fn take_holder(&mut self, fabric: u16, shard: PlanShard) -> Option<PlanInstance> {
        let free = &mut self.fabrics[usize::from(fabric)];
        let holds = |instance: &PlanInstance| instance.shard == Some(shard);
        let index = free.iter().position(holds)?;
        Some(free.remove(index))
    }

    /// Takes `span` instances for a new group, by rank, from `fabric` and then from the fabric
    /// domains with the most free instances. With `same_fabric_only` all come from `fabric`. An
    /// instance of `fabric` that holds a shard of the service gets the rank of that shard. `None`
    /// when too few are free.
    pub fn take_group(
        &mut self,
        service: u16,
        span: u32,
        fabric: u16,
        same_fabric_only: bool,
    ) -> Option<Vec<PlanInstance>> {
        let available = if same_fabric_only {
            self.count(fabric)
        } else {
            self.total()
        };
        if available < span {
            return None;
        }
        let mut members: Vec<Option<PlanInstance>> = (0..span)
            .map(|rank| self.take_holder(fabric, PlanShard { service, rank }))
            .collect();
        for (rank, member) in (0..span).zip(&mut members) {
            if member.is_some() {
                continue;
            }
            let shard = PlanShard { service, rank };
            *member = self.take(fabric, shard).or_else(|| {
                let other = self.fullest()?;
                self.take(other, shard)
            });
        }
        members.into_iter().collect()
    }
}
