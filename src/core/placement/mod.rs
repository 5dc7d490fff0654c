//! Which replica group runs a request, and when it is turned away. Load
//! pattern: losses leave fewer groups than the traffic needs, so requests are
//! placed only where their first event is expected in time, wait shortly for
//! room in the order of urgency, and are refused as soon as they are too late.

mod attempt_watch;
mod group_choice;
mod group_target;
mod load_view;
mod model_mix;
mod peer_loads;
mod placement_ask;
mod placement_board;
mod plain_board;
mod retry_window;
mod room_figures;
mod size_quantile;
mod stall_watch;
mod wait_list;

pub use {
    attempt_watch::{AttemptKey, AttemptRecord},
    group_choice::{GroupCandidate, choose_group},
    group_target::{GroupLoad, GroupTarget, TargetKey},
    model_mix::ModelMix,
    peer_loads::{GroupTag, PeerLoad, PeerLoads},
    placement_ask::{Lateness, Placement, PlacementAsk, PlacementVerdict, RefusalCause},
    placement_board::{BoardTick, PlacementBoard},
    plain_board::{PlainBoard, PlainKey},
    retry_window::RetryWindow,
    room_figures::RoomFigures,
    size_quantile::SizeQuantile,
    wait_list::{TicketKey, WaitList, WaitTicket},
};
