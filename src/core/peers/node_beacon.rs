use {
    crate::core::{fleet::BackendEntry, placement::PeerLoad},
    std::net::SocketAddr,
};

wire_type! {
    /// Datagram that a node sends to the others many times a second.
    pub struct NodeBeacon {
        /// Random number that the sender chose at its start.
        pub boot: u64,
        /// Number of the beacon within the boot.
        pub sequence: u64,
        /// Process name.
        pub name: String,
        /// Failure domain.
        pub failure_domain: String,
        /// Address for the exchange.
        pub address: SocketAddr,
        /// Version of the routes in force; 0 without any.
        pub routes_version: u64,
        /// Version of the newest row in the sender's list of backend servers.
        pub fleet_version: u64,
        /// True when the sender is about to end.
        pub stopping: bool,
        /// True once a caller's request was seen, by the sender or one of its peers.
        pub serving: bool,
        /// Load that the sender has put on the replica groups.
        pub loads: Vec<PeerLoad>,
        /// Groups and epochs that the sender suspects.
        pub suspects: Vec<(String, u64)>,
        /// Some nodes that the sender knows.
        pub known: Vec<SocketAddr>,
    }

    /// Question over TCP for what the asker does not know yet.
    pub struct PullRequest {
        /// Version of the asker's routes.
        pub routes_version: u64,
    }

    /// Answer to a [`PullRequest`].
    pub struct PullAnswer {
        /// The routes as the operator wrote them, when they are newer.
        pub routes: Option<Vec<u8>>,
        /// Version up to which the list of backend servers is complete.
        pub fleet_version: u64,
        /// The list, with the version of each row.
        pub entries: Vec<(u64, BackendEntry)>,
    }
}
