//! Retry budget, matching of answer chunks to attempts, order of the events of a stream, proof
//! that a request did not run, and requests suspected of crashing engines.

mod answer_tracker;
mod event_order;
mod response_proof;
mod retry_budget;
mod suspect_list;

pub use {
    answer_tracker::{AnswerTracker, ChunkHeader, ChunkVerdict},
    event_order::{CheckedEvents, EventOrder, event_id},
    response_proof::{ConnectionHistory, NamedRequest, ResponseFacts, ResponseProof},
    retry_budget::RetryBudget,
    suspect_list::{SuspectList, SuspectVerdict},
};
