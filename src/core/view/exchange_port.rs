use {
    super::{Configuration, LocalUpdate},
    crate::wire::{PeerReply, PeerRequest},
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc},
};

/// Input of a [`PeerExchange`](super::PeerExchange).
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeEvent {
    /// The process has started and asks its peers for their configuration.
    Start,
    /// [`EXCHANGE_TICK_INTERVAL`](super::EXCHANGE_TICK_INTERVAL) has passed.
    Tick,
    /// A datagram arrived on the peer port.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Content as received, not yet authenticated.
        bytes: Vec<u8>,
    },
    /// This process has an update for its peers.
    Local(LocalUpdate),
    /// The platform returned this configuration.
    Stored(Arc<Configuration>),
    /// The platform has no configuration, because none was applied yet.
    StoreEmpty,
    /// The platform did not answer, or its answer is unusable, for this reason.
    StoreFailed(String),
    /// Names of the backend servers that the platform's instance list shows as leaving; replaces
    /// the former list.
    Leaving(Vec<String>),
    /// A peer answered a [`ExchangeAction::Pull`].
    Pulled {
        /// Address of the peer.
        from: SocketAddr,
        /// Authenticated answer.
        reply: PeerReply,
    },
    /// A [`ExchangeAction::Pull`] failed, got no answer in time, or was not sent because too many
    /// calls were open.
    PullFailed {
        /// Address of the peer.
        from: SocketAddr,
        /// The request that failed.
        request: PeerRequest,
    },
}

/// Output of a [`PeerExchange`](super::PeerExchange), which the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeAction {
    /// Send this datagram to each target.
    Send {
        /// Addresses of the receiving peers.
        targets: SmallVec<[SocketAddr; 4]>,
        /// Encoded and authenticated datagram of at most
        /// [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES) bytes.
        bytes: Vec<u8>,
    },
    /// Send a request to a peer over TCP.
    Pull {
        /// Address of the peer.
        from: SocketAddr,
        /// The configuration or the group entries to fetch.
        request: PeerRequest,
    },
    /// Publish the view to the rest of the process.
    Publish,
    /// Report that the configuration with this version came into force.
    Adopted(u64),
}
