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
        /// Failure domains whose lease the sender holds, with its term.
        pub terms: Vec<(String, u64)>,
        /// Load that the sender has put on the replica groups.
        pub loads: Vec<PeerLoad>,
        /// Groups and epochs that the sender suspects.
        pub suspects: Vec<(String, u64)>,
        /// Some nodes that the sender knows.
        pub known: Vec<SocketAddr>,
    }

    /// Change of one row in the list of backend servers.
    pub struct FleetRow {
        /// Version of the row.
        pub version: u64,
        /// Identifier of the server.
        pub id: String,
        /// Its entry; none when it is gone.
        pub entry: Option<BackendEntry>,
    }

    /// Datagram by which a node that follows the store tells the others of its
    /// failure domain what has changed.
    pub struct FleetDelta {
        /// Boot of the sender.
        pub boot: u64,
        /// Address of the sender.
        pub address: SocketAddr,
        /// Number of the delta within the boot; a gap means that rows were missed.
        pub sequence: u64,
        /// Changed rows.
        pub rows: Vec<FleetRow>,
    }

    /// What nodes send each other over UDP.
    pub enum NodeDatagram {
        /// Sign of life with load figures.
        Beacon(NodeBeacon),
        /// Changes of the list of backend servers.
        Delta(FleetDelta),
    }

    /// Question over TCP for what the asker does not know yet.
    pub struct PullRequest {
        /// Version of the asker's routes.
        pub routes_version: u64,
        /// True when the list of backend servers is wanted, too.
        pub wants_fleet: bool,
    }

    /// Answer to a [`PullRequest`].
    pub struct PullAnswer {
        /// The routes as the operator wrote them, when they are newer.
        pub routes: Option<Vec<u8>>,
        /// Version up to which the list of backend servers is complete.
        pub fleet_version: u64,
        /// The list, with the version of each row, if it was wanted.
        pub entries: Option<Vec<(u64, BackendEntry)>>,
    }
}
