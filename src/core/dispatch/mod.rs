//! The life of a request in a gateway: admission, claim, choice of a target,
//! retries and the final answer.

mod attempt_end;
mod claim_lane;
mod desk_action;
mod desk_event;
mod end_count;
mod open_request;
mod placement;
mod refusal;
mod request_desk;
mod request_intake;
mod service_path;
mod suspect_lane;

pub use {
    attempt_end::{AttemptEnd, AttemptReport},
    desk_action::{AttemptOrder, AttemptTarget, DeskAction},
    desk_event::DeskEvent,
    refusal::{Refusal, RefusalReason},
    request_desk::{DeskStatus, RequestDesk},
    request_intake::{RepeatRule, RequestIntake, RequestTarget},
    service_path::{is_normal_path, repeat_rule},
};
