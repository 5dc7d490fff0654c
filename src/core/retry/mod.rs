//! Retry budget, matching of answer chunks to attempts, proof that a request did not run, and
//! requests suspected of crashing engines.

mod answer_tracker;
mod response_proof;
mod retry_budget;
mod suspect_list;

pub use {
    answer_tracker::{AnswerTracker, ChunkHeader, ChunkVerdict},
    response_proof::{ConnectionHistory, NamedRequest, ResponseFacts, ResponseProof},
    retry_budget::RetryBudget,
    suspect_list::{SuspectList, SuspectVerdict},
};
