use {
    crate::{
        conf::PlannerWeights,
        core::keys::{GroupKey, InstanceKey},
    },
    smallvec::SmallVec,
};

value_type! {
    /// A loaded shard, with the model as index into the services.
    #[derive(Copy, Eq)]
    pub struct PlanShard {
        /// Index of the service whose model it is.
        pub service: u16,
        /// Rank.
        pub rank: u32,
    }

    /// A healthy instance that is in no group.
    pub struct PlanInstance {
        /// Key.
        pub key: InstanceKey,
        /// Index of the fabric domain.
        pub fabric: u16,
        /// Number of accelerators.
        pub accelerators: u32,
        /// Shard that is still loaded.
        pub shard: Option<PlanShard>,
    }

    /// State of a member for the planner.
    #[derive(Copy, Eq)]
    pub enum MemberStatus {
        /// In place.
        Sound,
        /// Loads its shard.
        Loading {
            /// Bytes still to be loaded.
            bytes_left: u64,
        },
        /// Runs again without its shard; may load it again at the same rank.
        Restarted,
        /// Unresponsive or waiting after repeated failures.
        Lost,
        /// Works, but should be moved out: leaving, drained.
        Leaving,
        /// Works, but slows its group down: straggler or in another fabric domain.
        Slow,
    }

    /// A member of a group.
    pub struct PlanMember {
        /// Key.
        pub key: InstanceKey,
        /// Index of the fabric domain.
        pub fabric: u16,
        /// Number of accelerators.
        pub accelerators: u32,
        /// State.
        pub status: MemberStatus,
        /// Shard in its accelerators.
        pub shard: Option<PlanShard>,
    }

    /// A replica group.
    pub struct PlanGroup {
        /// Key.
        pub key: GroupKey,
        /// Index of its service.
        pub service: u16,
        /// Members by rank.
        pub members: SmallVec<[PlanMember; 8]>,
        /// True when it takes requests.
        pub serving: bool,
        /// True while a planned move of it runs or nothing may be ordered.
        pub moving: bool,
        /// True while it drains to be dissolved.
        pub retiring: bool,
    }

    /// A model service.
    pub struct PlanService {
        /// Instances in a replica.
        pub span: u32,
        /// Groups wanted.
        pub min_groups: u32,
        /// Upper bound of groups.
        pub max_groups: u32,
        /// Value of a serving group.
        pub weight: f64,
        /// Bytes of one shard.
        pub shard_bytes: u64,
    }

    /// Everything that a plan depends on.
    pub struct PlanInput {
        /// Healthy instances without a group.
        pub free: Vec<PlanInstance>,
        /// Present groups.
        pub groups: Vec<PlanGroup>,
        /// Services.
        pub services: Vec<PlanService>,
        /// The operator's two weights.
        pub weights: PlannerWeights,
        /// Bytes per second that the weight store was seen to give.
        pub store_rate: f64,
        /// False for a while after a group was retired, so that plans do not oscillate.
        pub may_repack: bool,
        /// Seconds over which a move must pay off.
        pub horizon_s: f64,
    }
}

/// Share of its value that a group across fabric domains still has.
const CROSS_FABRIC_VALUE_SHARE: f64 = 0.5;

impl PlanInput {
    /// Cost per second of not having a group of this service.
    pub(super) fn outage_cost_per_s(&self, service: u16, wanted: bool, accelerators: u32) -> f64 {
        let service = &self.services[usize::from(service)];
        let downtime = if wanted {
            self.weights.group_downtime * service.weight
        } else {
            0.0
        };
        downtime + self.weights.stranded_accelerators * f64::from(accelerators)
    }

    /// Seconds to load `shards` shards of a service at the full rate.
    #[allow(clippy::cast_precision_loss)] // an estimate
    pub(super) fn load_s(&self, service: u16, shards: u32) -> f64 {
        let bytes = self.services[usize::from(service)].shard_bytes as f64;
        bytes * f64::from(shards) / self.store_rate.max(1.0)
    }

    /// True when a group across fabric domains is worth its instances.
    pub(super) fn cross_fabric_pays_off(
        &self,
        service: u16,
        wanted: bool,
        accelerators: u32,
    ) -> bool {
        let span = self.services[usize::from(service)].span;
        let gain = self.outage_cost_per_s(service, wanted, accelerators) * CROSS_FABRIC_VALUE_SHARE;
        gain * (self.horizon_s - self.load_s(service, span)) > 0.0
            && (wanted || self.prefers_full_use())
    }

    /// True when an idle accelerator weighs more than a spare that saves a
    /// drain of `SPARE_SAVES_S` seconds when a group breaks.
    pub(super) fn prefers_full_use(&self) -> bool {
        self.weights.stranded_accelerators >= self.weights.group_downtime * FULL_USE_WEIGHT_RATIO
    }
}

// A spare saves about 3 s of drain at each failure of its fabric domain, and
// old hardware fails there every few minutes: 3 s in 300 s, for 4 accelerators
// held back, with a tenfold margin for bursts.
const FULL_USE_WEIGHT_RATIO: f64 = 0.2;
