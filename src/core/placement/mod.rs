//! Which replica group runs a request, and when it is turned away. Load
//! pattern: losses leave fewer groups than the traffic needs, so requests are
//! placed only where their first event is expected in time, wait shortly for
//! room in the order of urgency, and are refused as soon as they are too late.

mod attempt_record;
mod capacity_snapshot;
mod group_choice;
mod group_target;
mod load_tracking;
mod peer_loads;
mod placement_request;
mod placement_scheduler;
mod plain_balancer;
mod request_means;
mod retry_window;
mod size_quantile;
mod stall_detection;
mod wait_queue;

pub use {
    attempt_record::{AttemptKey, AttemptRecord},
    capacity_snapshot::RoomFigures,
    group_choice::{GroupCandidate, choose_group},
    group_target::{GroupLoad, GroupTarget, TargetKey},
    peer_loads::{GroupTag, PeerLoad, PeerLoads},
    placement_request::{Lateness, Placement, PlacementAsk, PlacementVerdict, RefusalCause},
    placement_scheduler::{BoardTick, PlacementBoard},
    plain_balancer::{PlainBoard, PlainKey},
    request_means::ModelMix,
    retry_window::RetryWindow,
    size_quantile::SizeQuantile,
    wait_queue::{TicketKey, WaitList, WaitTicket},
};
