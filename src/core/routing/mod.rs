//! Selects the replica group or plain server that runs a request.

mod group_router;
mod load_estimate;
mod member_watch;
mod plain_router;
mod prefix_affinity;

pub use {
    group_router::{GroupRouter, PickRequest, PickedGroup},
    load_estimate::LoadEstimate,
    member_watch::{MemberReport, MemberWatch},
    plain_router::{PickedServer, PlainRouter},
    prefix_affinity::{PrefixAffinity, rendezvous_weight},
};
