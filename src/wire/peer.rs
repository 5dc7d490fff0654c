use {
    super::{FencingNumber, GroupId},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Version of a group entry: the fencing number at which the lease holder wrote it.
pub type ViewVersion = FencingNumber;

wire_type! {
    /// What a process does.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ProcessRole {
        /// Serves callers.
        Gateway,
        /// Manages the replica groups of a failure domain.
        Controller,
    }

    /// Heartbeat of a process.
    pub struct PeerHeartbeat {
        /// Process name, unique in the deployment.
        pub process: String,
        /// Role.
        pub role: ProcessRole,
        /// Failure domain.
        pub failure_domain: String,
        /// Random number chosen at the start.
        pub boot: u64,
        /// Start time in milliseconds since the Unix epoch; orders boots of one process name.
        pub started_ms: u64,
        /// Heartbeat number within the boot.
        pub sequence: u64,
        /// Address of its peer port.
        pub address: SocketAddr,
        /// Configuration version in force; 0 when none.
        pub config_version: u64,
        /// True when the process is ready for its work.
        pub ready: bool,
    }

    /// Heartbeat of a lease holder.
    #[derive(Eq)]
    pub struct ControllerBeat {
        /// Failure domain of the lease.
        pub failure_domain: String,
        /// Term and heartbeat number.
        pub version: ViewVersion,
    }

    /// State of a replica group as gateways see it.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum GroupState {
        /// Members chosen, orders not yet given.
        Planned,
        /// Members load their shards.
        Loading,
        /// Whole; takes requests.
        Serving,
        /// A member is missing or in doubt; takes no request.
        Suspended,
        /// A member is being replaced.
        Repairing,
        /// Gone; kept so that the removal spreads.
        Dissolved,
    }

    /// A member of a group.
    #[derive(Eq)]
    pub struct MemberEntry {
        /// Name of the instance.
        pub instance: String,
        /// Incarnation that joined.
        pub incarnation: u64,
        /// Address of its backend server.
        pub address: SocketAddr,
    }

    /// A replica group as its lease holder publishes it. Rank = index in `members`.
    #[derive(Eq)]
    pub struct GroupEntry {
        /// Identifier.
        pub id: GroupId,
        /// Failure domain.
        pub failure_domain: String,
        /// Version of this entry; merges keep the highest.
        pub version: ViewVersion,
        /// Model service that the group serves.
        pub service: String,
        /// Epoch of the membership.
        pub epoch: u64,
        /// State.
        pub state: GroupState,
        /// Members by rank.
        pub members: SmallVec<[MemberEntry; 4]>,
        /// True when the members do not share a fabric domain or one is a straggler.
        pub slow: bool,
        /// True while a planned drain lets running requests finish.
        pub draining: bool,
    }

    /// Usage of one client account on one gateway over the last second.
    pub struct UsageEntry {
        /// Client account.
        pub account: String,
        /// Number of the exchange round within the gateway's boot.
        pub round: u64,
        /// Requests that arrived, per second.
        pub requests_per_s: f64,
        /// Tokens used, per second.
        pub tokens_per_s: f64,
        /// Requests in flight.
        pub in_flight: u32,
    }

    /// A request under suspicion of crashing groups.
    pub struct SuspectEntry {
        /// Fingerprint of client account and body.
        pub fingerprint: u64,
        /// Groups that crashed while the request ran on them; merged by union.
        pub crashed: SmallVec<[GroupCrash; 2]>,
        /// True once the request ran alone and completed.
        pub cleared: bool,
    }

    /// One crash of a group, identified so that a union counts it once.
    #[derive(Eq)]
    pub struct GroupCrash {
        /// The group.
        pub group: GroupId,
        /// Its epoch at the crash.
        pub epoch: u64,
        /// True when the request ran as a suspect, apart from other suspects.
        pub alone: bool,
    }

    /// Payload of a datagram between processes.
    pub enum PeerMessage {
        /// Heartbeat of the sender, or one that the sender forwards.
        Heartbeat(PeerHeartbeat),
        /// Heartbeat of a lease holder, forwarded once to 3 random peers.
        Controller(ControllerBeat),
        /// Entries of the group view.
        Groups(Vec<GroupEntry>),
        /// Account usage of the named gateway.
        Usage {
            /// Process name of the gateway.
            process: String,
            /// One entry for each active client account.
            entries: Vec<UsageEntry>,
        },
        /// Suspect requests.
        Suspects(Vec<SuspectEntry>),
        /// Configuration version that the sender has and offers over TCP.
        ConfigOffer(u64),
        /// Summary of the sender's whole view, sent in every round.
        Digest(ViewDigest),
        /// Summaries by failure domain, sent to a peer whose digest differs.
        DomainDigests {
            /// One for each failure domain with groups.
            domains: Vec<DomainDigest>,
            /// True when the receiver need not answer with its own.
            last: bool,
        },
    }

    /// Summary of a view; equal digests mean equal group views.
    #[derive(Copy, Eq)]
    pub struct ViewDigest {
        /// Configuration version in force.
        pub config_version: u64,
        /// Hash over all group entries' identifiers and versions.
        pub groups: u64,
    }

    /// Summary of the group entries of a failure domain.
    #[derive(Eq)]
    pub struct DomainDigest {
        /// Failure domain.
        pub failure_domain: String,
        /// Highest version of an entry.
        pub highest: ViewVersion,
        /// Hash over identifiers and versions.
        pub hash: u64,
    }
}
