use {super::ServerKey, crate::core::routes::ModelShape, smallvec::SmallVec, std::time::Duration};

/// Join time that halves the worth of a group, so that members with the weights
/// at hand are used for the model that they hold.
const PATIENCE: Duration = Duration::from_secs(10);

/// Time to join a group of the model that the server served last.
const REJOIN: Duration = Duration::from_millis(200);

value_type! {
    /// A server that may be put into a group.
    pub struct FreeServer {
        /// The server.
        pub key: ServerKey,
        /// Model of its last group.
        pub last_model: Option<String>,
        /// Models on its host.
        pub staged: Vec<String>,
        /// Model that is being staged.
        pub staging: Option<String>,
        /// Members of the smallest group that it may join; the spares of large
        /// groups are not used up by small ones.
        pub least_members: usize,
    }

    /// How much a model needs a further group.
    #[derive(Copy)]
    pub struct ModelNeed {
        /// Share of the work, as time of a group.
        pub weight: f64,
        /// Groups of the failure domain that serve it or are about to.
        pub groups: usize,
        /// Share of their places that is taken.
        pub busy: f64,
    }

    /// A group to form.
    pub struct GroupPlan {
        /// Index of the model.
        pub model: usize,
        /// Members, the head first.
        pub members: SmallVec<[ServerKey; 4]>,
        /// Members that must load from the weight store.
        pub loads: usize,
        /// How much the group is worth, to compare the plans of several domains.
        pub worth: f64,
    }
}

impl ModelNeed {
    /// Load of each group of the model; half a group stands for none.
    #[must_use]
    pub fn load(&self) -> f64 {
        #[allow(clippy::cast_precision_loss)] // few groups
        let groups = self.groups as f64;
        self.weight / (groups + 0.5)
    }

    /// Worth of a further group whose slowest member joins after `slowest`.
    #[must_use]
    pub fn worth(&self, slowest: Duration) -> f64 {
        self.load() / (1.0 + slowest.as_secs_f64() / PATIENCE.as_secs_f64())
    }
}

/// Time until a server is ready in a group of the model.
pub(super) fn join_time(server: &FreeServer, model: &ModelShape) -> Duration {
    if server.last_model.as_ref() == Some(&model.name) {
        return REJOIN;
    }
    if server.staged.contains(&model.name) {
        return model.warm;
    }
    if server.staging.as_ref() == Some(&model.name) {
        return model.load / 2;
    }
    model.load
}

/// Plans the next group of a fabric domain from its free servers: the model
/// that needs it most, from the members that join fastest. Models without a
/// need are left out, and those of which more than `most_loads` members would
/// load.
#[must_use]
pub fn plan_group(
    free: &[FreeServer],
    models: &[ModelShape],
    needs: &[ModelNeed],
    most_loads: usize,
) -> Option<GroupPlan> {
    let mut best: Option<GroupPlan> = None;
    for (index, model) in models.iter().enumerate() {
        let may_join = free
            .iter()
            .filter(|server| server.least_members <= model.size);
        let fits = model.size > 0 && model.size <= may_join.count();
        let Some(need) = needs.get(index).filter(|need| fits && need.weight > 0.0) else {
            continue;
        };
        let (mut plan, slowest) = fastest_members(free, index, model);
        if plan.loads > most_loads {
            continue;
        }
        plan.worth = need.worth(slowest);
        if best.as_ref().is_none_or(|other| plan.worth > other.worth) {
            best = Some(plan);
        }
    }
    best
}

/// The members that join a group of the model first, and the time of the slowest.
fn fastest_members(free: &[FreeServer], index: usize, model: &ModelShape) -> (GroupPlan, Duration) {
    let may_join = free
        .iter()
        .filter(|server| server.least_members <= model.size);
    let mut order: Vec<&FreeServer> = may_join.collect();
    // Hosts with the weights of another model are its reserve.
    let reserved = |server: &FreeServer| server.staged.iter().any(|name| *name != model.name);
    order.sort_by_key(|server| (join_time(server, model), reserved(server)));
    order.truncate(model.size);
    let warm = model.warm.max(REJOIN);
    let slow = |server: &&&FreeServer| join_time(server, model) > warm;
    let loads = order.iter().filter(slow).count();
    let slowest = order
        .last()
        .map_or(Duration::ZERO, |server| join_time(server, model));
    let plan = GroupPlan {
        model: index,
        members: order.iter().map(|server| server.key).collect(),
        loads,
        worth: 0.0,
    };
    (plan, slowest)
}

/// Chooses the model of a fabric domain. A domain serves one model, so that
/// every survivor of a broken group is a spare for the others of its domain.
/// The model that most of its servers hold is kept; a fresh domain gets the
/// model with the most work for each of its `assigned` domains.
#[must_use]
pub fn choose_model(
    warm: &[usize],
    models: &[ModelShape],
    needs: &[ModelNeed],
    assigned: &[usize],
) -> Option<usize> {
    let most = warm.iter().copied().max().unwrap_or(0);
    if most > 0 {
        return warm.iter().position(|count| *count == most);
    }
    let mut best: Option<(f64, usize)> = None;
    for (index, need) in needs.iter().enumerate() {
        #[allow(clippy::cast_precision_loss)] // few domains
        let domains = assigned.get(index).copied().unwrap_or(0) as f64;
        #[allow(clippy::cast_precision_loss)] // few members
        let size = models.get(index).map_or(1.0, |model| model.size as f64);
        let worth = need.weight * size / (domains + 1.0);
        if best.is_none_or(|(other, _)| worth > other) {
            best = Some((worth, index));
        }
    }
    best.map(|(_, index)| index)
}
