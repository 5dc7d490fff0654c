//! Requests during the planned stop of a node. The process is killed at a known time; a request
//! that cannot be finished before is refused, so that its caller goes to another node at once.

mod answer_times;
mod stop_deadline;

pub use {
    answer_times::{AnswerSample, AnswerTimes, engine_answer_time, resumed_answer_time},
    stop_deadline::{AttemptOutlook, StopDeadline, StopVerdict},
};
