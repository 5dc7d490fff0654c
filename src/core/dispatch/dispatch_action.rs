use {
    super::Refusal,
    crate::{
        core::{burn::FinishedRequest, claims::RecordedOutcome},
        wire::{CommitRequest, GroupId, SuspectEntry, UsageEntry},
    },
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Where an attempt goes.
    #[derive(Eq)]
    pub enum AttemptTarget {
        /// The lead of this group and epoch.
        Group(GroupId, u64),
        /// This instance of a plain service.
        Server(String),
    }

    /// An attempt to be started.
    #[derive(Eq)]
    pub struct AttemptOrder {
        /// Number of the request.
        pub ticket: u64,
        /// Identifier of the attempt, unique over all gateways.
        pub attempt: String,
        /// Where it goes.
        pub target: AttemptTarget,
        /// Address to connect to.
        pub address: SocketAddr,
        /// Monotonic time after which the first token is of no use.
        pub deadline: Duration,
        /// Priority of the request.
        pub priority: u8,
    }

    /// Actions of the request dispatcher.
    pub enum DispatchAction {
        /// Count a request that has ended.
        Finished(FinishedRequest),
        /// Start an attempt.
        Start(AttemptOrder),
        /// Refuse the request, or end its broken answer.
        Refuse(u64, Refusal),
        /// Answer with a recorded outcome.
        Replay(u64, RecordedOutcome),
        /// Send a claim commit.
        Commit(u64, CommitRequest),
        /// Read a claim row.
        Read(u64, String),
        /// Ask an instance for its report.
        Ask(String, SocketAddr),
        /// Tell the peers the usage of the last second.
        PublishUsage(Vec<UsageEntry>),
        /// Tell the peers about suspects.
        PublishSuspects(Vec<SuspectEntry>),
    }
}
