//! Which other nodes there are and what they know that this one does not.

mod node_beacon;
mod peer_book;

pub use {
    node_beacon::{NodeBeacon, PullAnswer, PullRequest},
    peer_book::{PeerBook, PeerRecord},
};
