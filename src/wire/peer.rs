use {
    super::{FencingNumber, GroupId},
    smallvec::SmallVec,
    std::net::SocketAddr,
};

/// Version of a group entry or of a lease holder's heartbeat: the fencing number at which the lease
/// holder wrote it.
pub type ViewVersion = FencingNumber;

wire_type! {
    /// Kind of a process.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ProcessRole {
        /// Serves callers.
        Gateway,
        /// Manages the replica groups of a failure domain.
        Controller,
    }

    /// Heartbeat of a gateway or controller.
    pub struct PeerHeartbeat {
        /// Process name, unique in the deployment.
        pub process: String,
        /// Gateway or controller.
        pub role: ProcessRole,
        /// Failure domain in which the process runs.
        pub failure_domain: String,
        /// Boot id: a random number chosen when the process starts.
        pub boot: u64,
        /// Start time in milliseconds since the Unix epoch; tells which boot of a process is newer.
        pub started_ms: u64,
        /// Number of the heartbeat, counted from the start of the process.
        pub sequence: u64,
        /// Address of the process's peer port.
        pub address: SocketAddr,
        /// Configuration version in force; 0 when none.
        pub config_version: u64,
        /// True when the process can do its work: it has a configuration and all else that it
        /// needs.
        pub ready: bool,
    }

    /// Heartbeat of a lease holder.
    #[derive(Eq)]
    pub struct ControllerHeartbeat {
        /// Failure domain of the lease.
        pub failure_domain: String,
        /// Term of the lease and position of the heartbeat in it.
        pub version: ViewVersion,
    }

    /// State of a replica group as gateways see it.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum GroupState {
        /// The members are chosen, but have not been ordered to join yet.
        Planned,
        /// The members load their shards.
        Loading,
        /// All members are ready; the group can take requests.
        Serving,
        /// A member is missing or unconfirmed; the group takes no requests.
        Suspended,
        /// A member is being replaced; the group takes no requests.
        Repairing,
        /// The group no longer exists; its entry is kept so that all processes learn of the
        /// removal.
        Dissolved,
    }

    /// Member of a replica group.
    #[derive(Eq)]
    pub struct MemberEntry {
        /// Name of the instance.
        pub instance: String,
        /// Incarnation of the backend server that joined the group.
        pub incarnation: u64,
        /// Address of the backend server.
        pub address: SocketAddr,
    }

    /// Replica group as the lease holder of its failure domain publishes it.
    #[derive(Eq)]
    pub struct GroupEntry {
        /// Identifier of the group.
        pub id: GroupId,
        /// Failure domain in which all members run.
        pub failure_domain: String,
        /// Version of this entry; of two entries for a group, a merge keeps the higher version.
        pub version: ViewVersion,
        /// Model service that the group serves.
        pub service: String,
        /// Epoch of the group; it grows with each change of members.
        pub epoch: u64,
        /// State of the group; gateways send requests only to serving groups.
        pub state: GroupState,
        /// Members; the index is the rank.
        pub members: SmallVec<[MemberEntry; 4]>,
        /// True when the members are not all in the same fabric domain, which makes the group
        /// slower.
        pub slow: bool,
        /// True while the group takes no new requests and finishes the running ones, because a
        /// member is about to stop.
        pub draining: bool,
    }

    /// Usage of one client account on one gateway, sent about once a second.
    pub struct UsageEntry {
        /// Name of the client account.
        pub account: String,
        /// Number of the exchange round, counted from the start of the gateway.
        pub round: u64,
        /// Moving average of the requests that arrive per second, refused ones included.
        pub requests_per_s: f64,
        /// Moving average of the tokens of these requests per second.
        pub tokens_per_s: f64,
        /// Requests in flight when the entry was made.
        pub in_flight: u32,
    }

    /// Request suspected of crashing groups.
    pub struct SuspectEntry {
        /// Hash of the client account and the request, the same on all gateways.
        pub fingerprint: u64,
        /// Groups that crashed while the request ran on them; merges keep the union.
        pub crashed: SmallVec<[GroupCrash; 2]>,
        /// True once the request completed while it ran isolated; it is no longer suspected then.
        pub cleared: bool,
    }

    /// Crash of a group. Group and epoch identify it, so that a union counts it once.
    #[derive(Eq)]
    pub struct GroupCrash {
        /// Group that crashed.
        pub group: GroupId,
        /// Epoch of the group at the crash.
        pub epoch: u64,
        /// True when the request ran isolated from other suspects.
        pub alone: bool,
    }

    /// Compact form of a heartbeat, for receivers that know the full one already.
    #[derive(Copy, Eq)]
    pub struct CompactHeartbeat {
        /// Low 32 bits of the process's boot id.
        pub boot: u32,
        /// Highest number of a heartbeat that the sender knows from the process.
        pub sequence: u64,
    }

    /// Payload of a datagram between processes.
    pub enum PeerMessage {
        /// Heartbeat of the sender, or one that the sender forwards.
        Heartbeat(PeerHeartbeat),
        /// Compact heartbeats of random processes; the receiver ignores those that it can't match
        /// to a heartbeat.
        Alive(Vec<CompactHeartbeat>),
        /// Heartbeat of a lease holder. A receiver to which it is new forwards it to 3 random
        /// peers, at most one per failure domain in 450 ms.
        Controller(ControllerHeartbeat),
        /// Group entries that the sender has published or merged newly.
        Groups(Vec<GroupEntry>),
        /// Account usage of the sender, which is a gateway.
        Usage {
            /// Process name of the sender.
            process: String,
            /// One entry for each active client account.
            entries: Vec<UsageEntry>,
        },
        /// Requests suspected of crashing groups.
        Suspects(Vec<SuspectEntry>),
        /// Configuration version that the receiver can read from the sender over TCP.
        ConfigOffer(u64),
        /// Summary of the sender's whole view, sent in every gossip round.
        Digest(ViewDigest),
        /// Summaries by failure domain, sent to a peer whose view digest differs.
        DomainDigests {
            /// One summary for each failure domain that has groups.
            domains: Vec<DomainDigest>,
            /// True in a reply to such a message; the receiver doesn't send its own summaries back.
            last: bool,
        },
    }

    /// Summary of a view; processes with equal digests know the same group entries.
    #[derive(Copy, Eq)]
    pub struct ViewDigest {
        /// Configuration version in force; 0 when none.
        pub config_version: u64,
        /// Hash over the identifiers and versions of all group entries.
        pub groups: u64,
    }

    /// Summary of the group entries of a failure domain.
    #[derive(Eq)]
    pub struct DomainDigest {
        /// Failure domain that the entries belong to.
        pub failure_domain: String,
        /// Highest version of all these entries.
        pub highest: ViewVersion,
        /// Hash over the identifiers and versions of these entries.
        pub hash: u64,
    }
}
