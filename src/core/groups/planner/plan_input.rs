use {
    crate::{
        conf::PlannerWeights,
        core::keys::{GroupKey, InstanceKey},
    },
    smallvec::SmallVec,
};

value_type! {
    /// A model shard in the accelerators of an instance.
    #[derive(Copy, Eq)]
    pub struct PlanShard {
        /// Index into [`PlanInput::services`] of the service that uses the model.
        pub service: u16,
        /// Rank that the shard serves, from 0.
        pub rank: u32,
    }

    /// A free instance: responsive, in no group, not leaving and not backing off.
    pub struct PlanInstance {
        /// Key that the moves refer to.
        pub key: InstanceKey,
        /// Index of the fabric domain in the failure domain, from 0.
        pub fabric: u16,
        /// Number of accelerators, at least 1.
        pub accelerators: u32,
        /// Shard left over from an earlier group; `None` when none is loaded or no service uses it.
        pub shard: Option<PlanShard>,
    }

    /// What the planner knows of a member's condition.
    #[derive(Copy, Eq)]
    pub enum MemberStatus {
        /// Responsive, in its group with the shard loaded.
        Healthy,
        /// Responsive, but not yet in the group with its shard loaded.
        Loading {
            /// Bytes still to be loaded; 0 when it holds its shard already.
            bytes_left: u64,
        },
        /// Restarted since it joined; may load its shard again at the same rank.
        Restarted,
        /// Unresponsive, restarted but backing off after repeated failures, or held by another
        /// failure domain.
        Lost,
        /// Responsive, but to be replaced: stopping, drained or no longer configured.
        Leaving,
        /// In place, but slows its group down: a straggler, or outside the fabric domain of most
        /// members.
        Slow,
    }

    /// The instance at one rank of a group.
    pub struct PlanMember {
        /// Key that the moves refer to.
        pub key: InstanceKey,
        /// Index of the fabric domain in the failure domain, from 0.
        pub fabric: u16,
        /// Number of accelerators of the instance.
        pub accelerators: u32,
        /// Condition; `Healthy` in a group that may not be changed.
        pub status: MemberStatus,
        /// Shard in its accelerators; `None` when none is loaded or no service uses it.
        pub shard: Option<PlanShard>,
    }

    /// A replica group of the failure domain.
    pub struct PlanGroup {
        /// Key that the moves refer to.
        pub key: GroupKey,
        /// Index into [`PlanInput::services`].
        pub service: u16,
        /// Members by rank.
        pub members: SmallVec<[PlanMember; 8]>,
        /// True when the group serves, also while it drains, or may not be changed.
        pub serving: bool,
        /// True while the group prepares new members or retires, or when it may not be changed
        /// because a server that ignores fencing numbers must not be ordered.
        pub moving: bool,
        /// True while the group drains to be dissolved.
        pub retiring: bool,
    }

    /// A model service, with its limits in the failure domain.
    pub struct PlanService {
        /// Instances in a group.
        pub span: u32,
        /// Groups wanted in the failure domain; only their downtime counts.
        pub min_groups: u32,
        /// Upper bound of groups, including those formed from leftover instances.
        pub max_groups: u32,
        /// Value of a serving group relative to other services.
        pub weight: f64,
        /// Bytes of the shard of one rank.
        pub shard_bytes: u64,
    }

    /// Everything that a plan depends on.
    pub struct PlanInput {
        /// Instances that new groups and repairs may use.
        pub free: Vec<PlanInstance>,
        /// Present groups of known services, whatever their state.
        pub groups: Vec<PlanGroup>,
        /// Model services in the order of the operator text; other fields refer to them by index.
        pub services: Vec<PlanService>,
        /// The operator's costs per second of a wanted group down and of a stranded accelerator.
        pub weights: PlannerWeights,
        /// Estimated rate of the weight store in bytes per second, over all loads together.
        pub store_bytes_per_s: f64,
        /// False for [`GroupTiming::repack_cooldown`](crate::core::groups::GroupTiming) after a
        /// group was retired, so that plans do not oscillate.
        pub may_repack: bool,
        /// Seconds over which a move must pay off.
        pub horizon_s: f64,
    }
}

/// Value of a group that spans several fabric domains, relative to one within a fabric domain.
const CROSS_FABRIC_VALUE_SHARE: f64 = 0.5;

impl PlanInput {
    /// Cost per second while a group of this service does not serve: its downtime if it is wanted,
    /// and its stranded accelerators.
    pub(super) fn outage_cost_per_s(&self, service: u16, wanted: bool, accelerators: u32) -> f64 {
        let service = &self.services[usize::from(service)];
        let downtime = if wanted {
            self.weights.group_downtime * service.weight
        } else {
            0.0
        };
        downtime + self.weights.stranded_accelerators * f64::from(accelerators)
    }

    /// Seconds to load `shards` shards of a service at the full rate of the weight store.
    #[allow(clippy::cast_precision_loss)] // the result is an estimate
    pub(super) fn load_s(&self, service: u16, shards: u32) -> f64 {
        let bytes = self.services[usize::from(service)].shard_bytes as f64;
        bytes * f64::from(shards) / self.store_bytes_per_s.max(1.0)
    }

    /// True when a group that spans several fabric domains is worth its instances.
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

    /// True when an idle accelerator costs more than a spare instance saves, so that none is kept
    /// as a spare. A spare saves the drain of another group when a group breaks.
    pub(super) fn prefers_full_use(&self) -> bool {
        self.weights.stranded_accelerators >= self.weights.group_downtime * FULL_USE_WEIGHT_RATIO
    }
}

/// Lowest ratio of the stranded accelerator weight to the group downtime weight at which no spare
/// is kept. A spare saves about 3 s of drain at each failure in its fabric domain, and old hardware
/// fails there every few minutes: 3 s in 300 s, for 4 accelerators held back, with a tenfold margin
/// for bursts of failures.
const FULL_USE_WEIGHT_RATIO: f64 = 0.2;
