use {
    super::{ControllerBeat, GroupEntry, PeerHeartbeat},
    crate::conf::OperatorText,
};

wire_type! {
    /// Request over TCP to the peer port of a process.
    pub struct PeerCall {
        /// Random number that the answer repeats.
        pub nonce: u64,
        /// What is asked.
        pub request: PeerRequest,
    }

    /// What a peer or an operator asks for.
    #[derive(Eq)]
    pub enum PeerRequest {
        /// The configuration in force.
        Configuration,
        /// All group entries of these failure domains; of all when empty.
        Groups(Vec<String>),
        /// What the process knows of itself and its peers.
        Status,
    }

    /// Answer to a call.
    pub struct PeerAnswer {
        /// Number of the call.
        pub nonce: u64,
        /// The answer.
        pub reply: PeerReply,
    }

    /// What a process answers.
    pub enum PeerReply {
        /// The configuration in force, if any.
        Configuration(Option<VersionedText>),
        /// Group entries.
        Groups(Vec<GroupEntry>),
        /// State of the process.
        Status(ProcessStatus),
    }

    /// An operator text with its version.
    pub struct VersionedText {
        /// Version of the configuration.
        pub version: u64,
        /// The text.
        pub text: OperatorText,
    }

    /// What a process knows of itself and its peers.
    pub struct ProcessStatus {
        /// Own newest heartbeat.
        pub heartbeat: PeerHeartbeat,
        /// Why no configuration is in force, if none is.
        pub config_problem: Option<String>,
        /// Newest heartbeats of other processes.
        pub peers: Vec<AgedHeartbeat>,
        /// Newest heartbeats of lease holders.
        pub controllers: Vec<AgedBeat>,
        /// Dropped datagrams by reason.
        pub dropped: Vec<DropCount>,
    }

    /// Heartbeat of a process and its age.
    pub struct AgedHeartbeat {
        /// The heartbeat.
        pub heartbeat: PeerHeartbeat,
        /// Time since its arrival in milliseconds.
        pub age_ms: u64,
    }

    /// Heartbeat of a lease holder and its age.
    #[derive(Eq)]
    pub struct AgedBeat {
        /// The heartbeat.
        pub beat: ControllerBeat,
        /// Time since its arrival in milliseconds.
        pub age_ms: u64,
    }

    /// Count of datagrams dropped for one reason.
    #[derive(Eq)]
    pub struct DropCount {
        /// Reason, such as `forged`.
        pub reason: String,
        /// Datagrams since the start.
        pub count: u64,
    }
}
