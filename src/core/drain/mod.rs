//! Which failure domains the operator drains: no more requests are sent to their servers until the
//! drain ends. Nodes that read the store learn of a drain from its row, others from beacons.

mod domain_drains;
mod drain_freshness;
mod drain_mark;

pub use {
    domain_drains::{DomainDrains, DrainUpdate, MAX_NAME_BYTES, MAX_UNLISTED_DOMAINS},
    drain_freshness::DrainFreshness,
    drain_mark::DrainMark,
};
