use {
    super::ServerKey, crate::core::routes::ModelProfile, smallvec::SmallVec, std::time::Duration,
};

/// Join time that halves the score of a group, so that hosts that hold weights
/// are used for the model of these weights.
const HALF_SCORE_JOIN_TIME: Duration = Duration::from_secs(10);

/// Time to join a group of the model that the server served last.
const REJOIN_TIME: Duration = Duration::from_millis(200);

value_type! {
    /// A server that can join a group.
    pub struct FreeServer {
        /// Key of its record in the formation manager.
        pub key: ServerKey,
        /// Model of the last group that the manager has seen it in since its start.
        pub last_model: Option<String>,
        /// Models whose weights are on its host.
        pub staged: Vec<String>,
        /// Model whose weights its host is loading.
        pub staging: Option<String>,
        /// Size of the smallest group that it may join; 0 for any. It keeps spares of
        /// large groups from being used by small ones.
        pub min_group_size: usize,
    }

    /// Demand for a model in a failure domain, and the groups that meet it.
    #[derive(Copy)]
    pub struct ModelDemand {
        /// Share of the total group time that requests to the model take; 0 excludes the
        /// model from planning.
        pub work_share: f64,
        /// Groups of the failure domain that serve the model or are being formed.
        pub groups: usize,
        /// Share of their request slots that are in use; 1 when all are.
        pub busy_share: f64,
    }

    /// A group to form.
    pub struct GroupPlan {
        /// Index of the model in the engine profile.
        pub model: usize,
        /// Members by rank; the first is the head.
        pub members: SmallVec<[ServerKey; 4]>,
        /// Members that must load from the weight store.
        pub loads: usize,
        /// Score of `ModelDemand::score`, to compare the plans of several fabric domains.
        pub score: f64,
    }
}

impl ModelDemand {
    /// Work share per group. Half a group is added to the count, so that a model
    /// without any group has a finite value.
    #[must_use]
    pub fn share_per_group(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)] // few groups
        let groups = self.groups as f64;
        self.work_share / (groups + 0.5)
    }

    /// Score of one more group whose slowest member takes `slowest` to join.
    #[must_use]
    pub fn score(&self, slowest: Duration) -> f64 {
        self.share_per_group() / (1.0 + slowest.as_secs_f64() / HALF_SCORE_JOIN_TIME.as_secs_f64())
    }
}

/// Expected time until a server is ready in a group of the model.
pub(super) fn join_time(server: &FreeServer, model: &ModelProfile) -> Duration {
    if server.last_model.as_ref() == Some(&model.name) {
        return REJOIN_TIME;
    }
    if server.staged.contains(&model.name) {
        return model.warm;
    }
    if server.staging.as_ref() == Some(&model.name) {
        return model.load / 2;
    }
    model.load
}

/// Plans the next group of a fabric domain from its free servers: the model with
/// the highest score, with the members that join fastest. Skips models without a
/// work share, and models for which more than `max_loads` members would have to
/// load from the weight store.
#[must_use]
pub fn plan_group(
    free: &[FreeServer],
    models: &[ModelProfile],
    demands: &[ModelDemand],
    max_loads: usize,
) -> Option<GroupPlan> {
    let mut best: Option<GroupPlan> = None;
    for (index, model) in models.iter().enumerate() {
        let may_join = free
            .iter()
            .filter(|server| server.min_group_size <= model.size);
        let fits = model.size > 0 && model.size <= may_join.count();
        let Some(demand) = demands
            .get(index)
            .filter(|demand| fits && demand.work_share > 0.0)
        else {
            continue;
        };
        let (mut plan, slowest) = fastest_members(free, index, model);
        if plan.loads > max_loads {
            continue;
        }
        plan.score = demand.score(slowest);
        if best.as_ref().is_none_or(|other| plan.score > other.score) {
            best = Some(plan);
        }
    }
    best
}

/// Plans a group of the model with the members that join fastest, and returns
/// the join time of the slowest one.
fn fastest_members(
    free: &[FreeServer],
    index: usize,
    model: &ModelProfile,
) -> (GroupPlan, Duration) {
    let may_join = free
        .iter()
        .filter(|server| server.min_group_size <= model.size);
    let mut order: Vec<&FreeServer> = may_join.collect();
    // Hosts with the weights of another model are the reserve of that model; they come last
    // among those with the same join time.
    let reserved = |server: &FreeServer| server.staged.iter().any(|name| *name != model.name);
    order.sort_by_key(|server| (join_time(server, model), reserved(server)));
    order.truncate(model.size);
    let warm = model.warm.max(REJOIN_TIME);
    let must_load = |server: &&&FreeServer| join_time(server, model) > warm;
    let loads = order.iter().filter(must_load).count();
    let slowest = order
        .last()
        .map_or(Duration::ZERO, |server| join_time(server, model));
    let plan = GroupPlan {
        model: index,
        members: order.iter().map(|server| server.key).collect(),
        loads,
        score: 0.0,
    };
    (plan, slowest)
}

/// Chooses the model of a fabric domain. A domain serves one model, so that
/// every survivor of a broken group is a spare for the other groups of the domain.
/// `holder_counts` has the servers that hold the weights of each model; the model
/// with most holders is kept. A domain without weights gets the model with the
/// most server time per domain, counting this one; `assigned_domains` has the domains
/// of each model so far.
#[must_use]
pub fn choose_model(
    holder_counts: &[usize],
    models: &[ModelProfile],
    demands: &[ModelDemand],
    assigned_domains: &[usize],
) -> Option<usize> {
    let most = holder_counts.iter().copied().max().unwrap_or(0);
    if most > 0 {
        return holder_counts.iter().position(|count| *count == most);
    }
    let mut best: Option<(f64, usize)> = None;
    for (index, demand) in demands.iter().enumerate() {
        #[allow(clippy::cast_precision_loss)] // few domains
        let domains = assigned_domains.get(index).copied().unwrap_or(0) as f64;
        #[allow(clippy::cast_precision_loss)] // few members
        let size = models.get(index).map_or(1.0, |model| model.size as f64);
        let score = demand.work_share * size / (domains + 1.0);
        if best.is_none_or(|(other, _)| score > other) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}
