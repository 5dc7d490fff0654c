use {
    super::Refusal,
    crate::{
        core::{burn::FinishedRequest, claims::RecordedOutcome},
        wire::{CommitRequest, GroupId, SuspectEntry, UsageEntry},
    },
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Recipient of an attempt.
    #[derive(Eq)]
    pub enum AttemptTarget {
        /// The member with rank 0 of this group in this epoch.
        Group(GroupId, u64),
        /// The server of a plain service with this instance name.
        Server(String),
    }

    /// Everything that a call needs to start an attempt.
    #[derive(Eq)]
    pub struct AttemptOrder {
        /// Ticket of the request.
        pub ticket: u64,
        /// Identifier of the attempt, unique over all gateways; sent as `Attempt-Id`.
        pub attempt: String,
        /// Group or server that is to run the request.
        pub target: AttemptTarget,
        /// Address of the backend server to connect to.
        pub address: SocketAddr,
        /// Monotonic time by which the first token, or the whole answer of a plain service, is due.
        pub deadline: Duration,
        /// Priority of the request for the engine's queue; lower numbers are started first.
        pub priority: u8,
    }

    /// Outputs of the request dispatcher. A leading number is the ticket of a request, unless
    /// stated otherwise.
    pub enum DispatchAction {
        /// Count a request that has ended.
        Finished(FinishedRequest),
        /// Start an attempt.
        Start(AttemptOrder),
        /// Refuse the request, or end an answer that broke off.
        Refuse(u64, Refusal),
        /// Answer with the outcome recorded under the same idempotency key.
        Replay(u64, RecordedOutcome),
        /// Send a claim commit to the platform; the number is that of the batch.
        Commit(u64, CommitRequest),
        /// Read the claim row with this key.
        Read(u64, String),
        /// Ask the named instance at this address for its report.
        Ask(String, SocketAddr),
        /// Send the peers this gateway's usage of each active account over the last second.
        PublishUsage(Vec<UsageEntry>),
        /// Send the peers the suspect entries that changed.
        PublishSuspects(Vec<SuspectEntry>),
    }
}
