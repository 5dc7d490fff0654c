//! Transfer of the configuration between nodes in pieces that are named by their digests.
//!
//! The load it answers: all nodes of a failure domain learn of a version at the same moment, most of
//! them behind narrow links, and the versions differ little from each other.

mod batch_size;
mod holder_choice;
mod piece_list;
mod piece_store;
mod pull_messages;

pub use {
    batch_size::BatchSize,
    holder_choice::{Holder, HolderChoice, PullPatience},
    piece_list::{MAX_CONTENT_BYTES, PieceDigest, PieceEntry, PieceList},
    piece_store::PieceStore,
    pull_messages::{PullAnswer, PullRequest},
};
