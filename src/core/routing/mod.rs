//! Choice of a replica group or plain server for each request.

mod group_router;
mod load_estimate;
mod member_watch;
mod plain_router;
mod prefix_affinity;

pub use {
    group_router::{GroupRouter, PickRequest, PickedGroup},
    load_estimate::LoadEstimate,
    member_watch::{MemberEvidence, MemberWatch},
    plain_router::{PickedServer, PlainRouter},
    prefix_affinity::{PrefixAffinity, rendezvous_weight},
};
