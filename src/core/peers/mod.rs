//! The other nodes of the deployment, and the tracking of what they know that this node has missed.

mod beacon_rounds;
mod delta_outbox;
mod delta_parts;
mod delta_tracker;
mod lag_watch;
mod missed_rows;
mod node_beacon;
mod peer_book;
mod version_news;

pub use {
    beacon_rounds::{reaches_unheard, round_robin},
    delta_outbox::{DeltaOutbox, NumberedPart, SenderState},
    delta_parts::{DeltaPart, delta_parts},
    delta_tracker::DeltaTracker,
    lag_watch::LagWatch,
    missed_rows::{MissedRows, PullGuard},
    node_beacon::{CrashDatagram, FleetDelta, FleetRow, NodeBeacon, NodeDatagram},
    peer_book::{PeerBook, PeerRecord},
    version_news::VersionNews,
};
