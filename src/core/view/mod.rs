//! Gossip between processes, and the view of configuration, peers and replica groups that each
//! process builds from it.

mod alive_table;
mod cluster_view;
mod config_learner;
mod datagram_packer;
mod exchange_port;
mod exchange_receive;
mod local_update;
mod peer_codec;
mod peer_exchange;
mod peer_table;
mod replay_guard;
mod view_digest;
mod view_merge;

pub use {
    cluster_view::{AccountUsage, ClusterView, Configuration, ControllerRecord, HeartbeatRecord},
    datagram_packer::DatagramPacker,
    exchange_port::{ExchangeAction, ExchangeEvent},
    local_update::LocalUpdate,
    peer_codec::{
        DropReason, EXCHANGE_VERSION, MAX_DATAGRAM_BYTES, PeerCodec, PeerDatagram, SealKind,
    },
    peer_exchange::{EXCHANGE_TICK_INTERVAL, ExchangeSettings, PeerExchange},
    peer_table::{MAX_BROADCAST_PEERS, PeerTable},
    replay_guard::{ReplayGuard, ReplayWindow},
};
