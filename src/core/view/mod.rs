//! What a process knows of configuration, peers and replica groups.

mod cluster_view;
mod local_update;
mod peer_codec;
mod view_merge;

pub use {
    cluster_view::{AccountUsage, ClusterView, Configuration, ControllerSighting, PeerSighting},
    local_update::LocalUpdate,
    peer_codec::{DropReason, EXCHANGE_VERSION, MAX_DATAGRAM_BYTES, PeerCodec, PeerDatagram},
};
