use {
    super::{Configuration, LocalUpdate},
    crate::wire::{PeerReply, PeerRequest},
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc},
};

/// What happens to a [`PeerExchange`](super::PeerExchange).
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeEvent {
    /// The process has started.
    Start,
    /// [`TICK_PERIOD`](super::TICK_PERIOD) has passed.
    Tick,
    /// A datagram arrived.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// The process has something to tell.
    Local(LocalUpdate),
    /// The platform answered with this configuration.
    Stored(Arc<Configuration>),
    /// The platform answered that nothing was applied yet.
    StoreEmpty,
    /// The platform did not answer, or its answer is not usable.
    StoreFailed(String),
    /// Instances that the platform's list shows as leaving.
    Leaving(Vec<String>),
    /// A peer answered over TCP.
    Pulled {
        /// The peer.
        from: SocketAddr,
        /// Its answer.
        reply: PeerReply,
    },
    /// A peer did not answer over TCP.
    PullFailed {
        /// The peer.
        from: SocketAddr,
        /// What was asked.
        request: PeerRequest,
    },
}

/// What a [`PeerExchange`](super::PeerExchange) wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum ExchangeAction {
    /// Send this datagram to each target.
    Send {
        /// Peers.
        targets: SmallVec<[SocketAddr; 4]>,
        /// Sealed bytes, at most [`MAX_DATAGRAM_BYTES`](super::MAX_DATAGRAM_BYTES).
        bytes: Vec<u8>,
    },
    /// Ask a peer over TCP.
    Pull {
        /// The peer.
        from: SocketAddr,
        /// What to ask.
        request: PeerRequest,
    },
    /// Publish the view to the rest of the process.
    Publish,
    /// Report that a configuration came into force.
    Adopted(u64),
}
