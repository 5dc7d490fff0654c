//! Processing of a request in a gateway: admission, claim, selection of a target, retries and the
//! final answer.

mod attempt_end;
mod claim_steps;
mod dispatch_action;
mod dispatch_event;
mod open_request;
mod placement;
mod refusal;
mod request_dispatcher;
mod request_intake;
mod request_outcome;
mod service_path;
mod suspect_placement;

pub use {
    attempt_end::{AttemptEnd, AttemptReport},
    dispatch_action::{AttemptOrder, AttemptTarget, DispatchAction},
    dispatch_event::DispatchEvent,
    refusal::{Refusal, RefusalReason},
    request_dispatcher::{DispatchStatus, RequestDispatcher},
    request_intake::{RepeatRule, RequestIntake, RequestTarget},
    service_path::{is_normal_path, repeat_rule},
};
