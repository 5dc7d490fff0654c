use {
    super::{ControllerHeartbeat, GroupEntry, PeerHeartbeat},
    crate::conf::OperatorText,
};

wire_type! {
    /// Request over TCP to the peer port of a process, with its nonce.
    pub struct RequestEnvelope {
        /// Random number that the reply repeats, so that an old reply is not taken for a new one.
        pub nonce: u64,
        /// Selects the variant of [`PeerReply`] that the process sends back.
        pub request: PeerRequest,
    }

    /// Request from a peer or from `toucanctl`.
    #[derive(Eq)]
    pub enum PeerRequest {
        /// Asks for the configuration in force.
        Configuration,
        /// Asks for all group entries of these failure domains; of all domains when empty.
        Groups(Vec<String>),
        /// Asks for the status of the process and its peers.
        Status,
    }

    /// Reply to a request over TCP, with the nonce of the request.
    pub struct ReplyEnvelope {
        /// Nonce of the request.
        pub nonce: u64,
        /// Of the same variant as the request.
        pub reply: PeerReply,
    }

    /// Reply of a process, one variant for each request.
    pub enum PeerReply {
        /// Configuration in force; `None` if the process has none yet.
        Configuration(Option<VersionedText>),
        /// Entries of the requested failure domains.
        Groups(Vec<GroupEntry>),
        /// Status of the process and its peers.
        Status(ProcessStatus),
    }

    /// Operator text with its version.
    pub struct VersionedText {
        /// Version under which the text was applied.
        pub version: u64,
        /// Decoded operator text.
        pub text: OperatorText,
    }

    /// Status of a process, with the newest heartbeats that it knows of others.
    pub struct ProcessStatus {
        /// Newest heartbeat of the process itself.
        pub heartbeat: PeerHeartbeat,
        /// Why the process could not get a configuration; `None` once one is in force or before the
        /// first failure.
        pub config_problem: Option<String>,
        /// Newest heartbeats of other processes.
        pub peers: Vec<AgedHeartbeat>,
        /// Newest heartbeats of lease holders.
        pub controllers: Vec<AgedControllerHeartbeat>,
        /// Counts of dropped datagrams; reasons that did not occur are absent.
        pub dropped: Vec<DropCount>,
    }

    /// Heartbeat of a process and its age.
    pub struct AgedHeartbeat {
        /// Newest heartbeat known from the process.
        pub heartbeat: PeerHeartbeat,
        /// Time since the process was last heard of, in milliseconds.
        pub age_ms: u64,
    }

    /// Heartbeat of a lease holder and its age.
    #[derive(Eq)]
    pub struct AgedControllerHeartbeat {
        /// Newest heartbeat known from the lease holder.
        pub beat: ControllerHeartbeat,
        /// Time since the heartbeat arrived, in milliseconds.
        pub age_ms: u64,
    }

    /// Number of datagrams dropped for one reason.
    #[derive(Eq)]
    pub struct DropCount {
        /// Reason: `length`, `version`, `forged`, `malformed` or `replayed`.
        pub reason: String,
        /// Datagrams dropped since the start of the process.
        pub count: u64,
    }
}
