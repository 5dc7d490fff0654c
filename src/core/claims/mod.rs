//! Claims: rows of the platform that let a non-repeatable request run at most once.

mod claim_event;
mod claim_manager;
mod claim_row;

pub use {
    claim_event::{ClaimAction, ClaimDecision, ClaimEvent, ClaimRequest, CommitResult, ReadResult},
    claim_manager::ClaimManager,
    claim_row::{ClaimRow, ClaimState, RecordedOutcome},
};
