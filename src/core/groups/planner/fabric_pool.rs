use super::{PlanInput, PlanInstance, PlanShard};

/// Free instances by fabric domain.
#[derive(Debug, Clone)]
pub(super) struct FabricPool {
    fabrics: Vec<Vec<PlanInstance>>,
}

impl FabricPool {
    /// Collects the free instances of the input.
    pub fn new(input: &PlanInput) -> Self {
        let free = input.free.iter().map(|instance| instance.fabric);
        let members = input.groups.iter().flat_map(|group| &group.members);
        let highest = free.chain(members.map(|member| member.fabric)).max();
        let count = highest.map_or(0, |fabric| usize::from(fabric) + 1);
        let mut pool = Self {
            fabrics: vec![Vec::new(); count],
        };
        for instance in &input.free {
            pool.put(instance.clone());
        }
        pool
    }

    /// Number of fabric domains.
    pub fn fabrics(&self) -> u16 {
        u16::try_from(self.fabrics.len()).unwrap_or(u16::MAX)
    }

    /// Adds an instance.
    pub fn put(&mut self, instance: PlanInstance) {
        self.fabrics[usize::from(instance.fabric)].push(instance);
    }

    /// Free instances in a fabric domain.
    pub fn count(&self, fabric: u16) -> u32 {
        u32::try_from(self.fabrics[usize::from(fabric)].len()).unwrap_or(u32::MAX)
    }

    /// Free instances in all fabric domains.
    pub fn total(&self) -> u32 {
        (0..self.fabrics()).map(|fabric| self.count(fabric)).sum()
    }

    /// Fabric domain with the most free instances.
    pub fn fullest(&self) -> Option<u16> {
        (0..self.fabrics()).max_by_key(|fabric| (self.count(*fabric), u16::MAX - fabric))
    }

    /// Takes an instance of `fabric` for a rank: one that holds the shard if
    /// there is one, else one that holds none, else any.
    pub fn take(&mut self, fabric: u16, shard: PlanShard) -> Option<PlanInstance> {
        let free = &mut self.fabrics[usize::from(fabric)];
        let rank_of = |instance: &PlanInstance| match instance.shard {
            Some(held) if held == shard => 0,
            None => 1,
            Some(held) if held.service == shard.service => 3,
            Some(_) => 2,
        };
        let best = (0..free.len()).min_by_key(|index| rank_of(&free[*index]))?;
        Some(free.remove(best))
    }

    /// Takes the instance of `fabric` that holds the shard, if any.
    pub fn take_holder(&mut self, fabric: u16, shard: PlanShard) -> Option<PlanInstance> {
        let free = &mut self.fabrics[usize::from(fabric)];
        let holds = |instance: &PlanInstance| instance.shard == Some(shard);
        let index = free.iter().position(holds)?;
        Some(free.remove(index))
    }

    /// Takes `span` instances for all ranks, preferring `fabric` and going on
    /// in the fullest other ones. Instances that hold a shard of the service
    /// keep their rank.
    pub fn take_group(
        &mut self,
        service: u16,
        span: u32,
        fabric: u16,
        only_here: bool,
    ) -> Option<Vec<PlanInstance>> {
        let available = if only_here {
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
