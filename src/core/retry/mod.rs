//! Rules for answers, retries and requests that crash engines.

mod answer_tracker;
mod retry_budget;
mod suspect_list;

pub use {
    answer_tracker::{AnswerTracker, ChunkMark, ChunkVerdict},
    retry_budget::RetryBudget,
    suspect_list::{SuspectList, SuspectVerdict},
};
