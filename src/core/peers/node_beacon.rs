use {
    crate::core::{
        drain::DrainMark, fairness::ShareReport, fleet::BackendEntry, placement::PeerLoad,
        retry::CrashNews, store::StoreVersion,
    },
    std::net::SocketAddr,
};

wire_type! {
    /// Heartbeat with load figures, which each node sends to others several times a second.
    pub struct NodeBeacon {
        /// Random number that the sender chose at its start; it tells a restarted process from the
        /// previous one.
        pub boot: u64,
        /// Number of the beacon since the start of the sender, from 1.
        pub sequence: u64,
        /// Name of the sending process, from its settings.
        pub name: String,
        /// Failure domain of the sender.
        pub failure_domain: String,
        /// Address at which the sender receives datagrams and pull requests.
        pub address: SocketAddr,
        /// Version of the routes that the sender uses; 0 without any.
        pub routes_version: u64,
        /// Version of the newest row in the sender's list of backend servers.
        pub fleet_version: StoreVersion,
        /// True when the sender is shutting down.
        pub stopping: bool,
        /// Number of nodes of its failure domain that the sender knows, itself included.
        pub domain_nodes: u16,
        /// True once the sender or a node that it has heard from has received a caller's request.
        pub serving: bool,
        /// Failure domains whose lease the sender holds, with the term of the lease.
        pub terms: Vec<(String, u64)>,
        /// Load that the sender has put on the replica groups. Idle groups are left out, and others
        /// when the datagram would become too large.
        pub loads: Vec<PeerLoad>,
        /// Names and epochs of the groups that the sender suspects to have failed.
        pub suspects: Vec<(String, u64)>,
        /// A random sample of the nodes that the sender has heard from, by which nodes find each
        /// other.
        pub known: Vec<SocketAddr>,
        /// Identifiers and start times of servers that said in an answer that they are leaving.
        pub leaving: Vec<(String, u64)>,
        /// Identifiers and start times of servers that said in a response to the sender that they
        /// are cold, and the milliseconds for which they stay so.
        pub cold: Vec<(String, u64, u32)>,
        /// Failure domains that are or were drained; none while the sender does not know them yet.
        pub drains: Option<Vec<DrainMark>>,
        /// Work of the accounts of a model that is short of capacity; none in most beacons.
        pub shares: Option<ShareReport>,
    }

    /// One changed or removed row of the list of backend servers.
    pub struct FleetRow {
        /// Version of the row or of its removal.
        pub version: StoreVersion,
        /// Identifier of the server, the key of the row.
        pub id: String,
        /// New entry of the server; none when the row was removed.
        pub entry: Option<BackendEntry>,
    }

    /// Changes of the list of backend servers, sent by a node that reads from the store to the
    /// other nodes of its failure domain.
    pub struct FleetDelta {
        /// Boot number of the sender, as in its beacons.
        pub boot: u64,
        /// Address at which the sender answers pull requests.
        pub address: SocketAddr,
        /// Number of the delta since the start of the sender, from 1. A receiver that sees a gap
        /// has missed rows.
        pub sequence: u64,
        /// Version up to which the sender has sent all changed rows, this delta included; number 0
        /// in all but the last of several deltas, and while the sender has lost the store.
        pub complete_to: StoreVersion,
        /// Changed rows; empty when the delta only shows that the sender still reads from the
        /// store.
        pub rows: Vec<FleetRow>,
    }

    /// Evidence of requests and prompt parts that crash servers.
    pub struct CrashDatagram {
        /// Address of the sender, for the log.
        pub address: SocketAddr,
        /// What the sender has seen, or has heard and repeats.
        pub news: CrashNews,
    }

    /// A datagram that nodes send each other over UDP.
    pub enum NodeDatagram {
        /// Heartbeat with load figures.
        Beacon(Box<NodeBeacon>),
        /// Changes of the list of backend servers.
        Delta(FleetDelta),
        /// Requests that crash servers.
        Crashes(CrashDatagram),
    }
}
