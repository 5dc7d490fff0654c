//! Retry budget, matching of answer chunks to attempts, and requests suspected of crashing engines.

mod answer_tracker;
mod retry_budget;
mod suspect_list;

pub use {
    answer_tracker::{AnswerTracker, ChunkHeader, ChunkVerdict},
    retry_budget::RetryBudget,
    suspect_list::{SuspectList, SuspectVerdict},
};
