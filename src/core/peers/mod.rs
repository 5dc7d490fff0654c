//! Which other nodes there are and what they know that this one does not.

mod delta_tracker;
mod missed_rows;
mod node_beacon;
mod peer_book;

pub use {
    delta_tracker::DeltaInbox,
    missed_rows::{MissedPull, MissedRows},
    node_beacon::{FleetDelta, FleetRow, NodeBeacon, NodeDatagram, PullAnswer, PullRequest},
    peer_book::{PeerBook, PeerRecord},
};
