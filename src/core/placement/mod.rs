//! Chooses the replica group that runs a request, and decides when to refuse the request.
//!
//! Lost members can leave fewer groups than the traffic needs. A request is therefore placed only
//! at a group that is predicted to send the first event within the request's latency objective.
//! Other requests wait in a queue, ordered by urgency, and are refused as soon as no group can
//! meet their objective. Requests to services without engines go through [`PlainBalancer`].

mod attempt_record;
mod capacity_snapshot;
mod cold_placement;
mod group_admission;
mod group_choice;
mod group_pacing;
mod group_target;
mod late_placement;
mod load_tracking;
mod peer_loads;
mod placement_request;
mod placement_scheduler;
mod plain_balancer;
mod request_means;
mod request_refusal;
mod retry_window;
mod share_admission;
mod size_quantile;
mod slot_reserve;
mod stall_detection;
mod wait_queue;

pub use {
    attempt_record::{AttemptKey, AttemptRecord},
    capacity_snapshot::CapacitySnapshot,
    cold_placement::cold_return_delay,
    group_admission::GroupExclusion,
    group_choice::{GroupCandidate, choose_group},
    group_pacing::PaceTick,
    group_target::{GroupLoad, GroupTarget, GroupUsability, TargetKey},
    peer_loads::{GroupTag, PeerLoad, PeerLoads},
    placement_request::{
        Placement, PlacementClass, PlacementDecision, PlacementRequest, RefusalCause,
    },
    placement_scheduler::{PlacementScheduler, SchedulerTick},
    plain_balancer::{PlainBalancer, PlainServerKey},
    request_means::RequestMeans,
    request_refusal::{drained_delay, failed_server, return_delay},
    retry_window::RetryWindow,
    share_admission::PLAIN_REQUEST_WORK_MS,
    size_quantile::SizeQuantile,
    slot_reserve::{FreedSlots, SlotClaims},
    stall_detection::StallReport,
    wait_queue::{TicketKey, WaitQueue, WaitingRequest},
};
