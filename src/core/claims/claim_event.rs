use {
    super::{ClaimRow, RecordedOutcome},
    crate::wire::{CommitRequest, RowCondition},
    std::time::Duration,
};

value_type! {
    /// A request that asks for its claim.
    pub struct ClaimRequest {
        /// Number of the request within the process.
        pub ticket: u64,
        /// Key of the row.
        pub key: String,
        /// Random token of this arrival.
        pub token: u64,
        /// Fingerprint of account, path and body.
        pub fingerprint: u64,
        /// Time after which the claim is of no use.
        pub deadline: Duration,
    }

    /// What became of a commit.
    pub enum CommitResult {
        /// It took effect with this version.
        Committed(u64),
        /// It did not take effect; these rows have other versions.
        Conflict(Vec<RowCondition>),
        /// It may have taken effect.
        Unknown,
    }

    /// What a read of a row gave.
    pub enum ReadResult {
        /// The row with its version.
        Found(u64, ClaimRow),
        /// There is no such row.
        Missing,
        /// The platform did not answer.
        Failed,
    }

    /// Events of the claim keeper.
    pub enum ClaimEvent {
        /// A request asks for its claim.
        Request(ClaimRequest),
        /// The request will not be sent; its row may be claimed again.
        Release(u64),
        /// The request ran with this outcome.
        Record(u64, RecordedOutcome),
        /// The request may have run and its outcome is not known; the row stays as it is.
        Abandon(u64),
        /// Answer to a commit.
        Committed(u64, CommitResult),
        /// Answer to a read, by ticket.
        Read(u64, ReadResult),
        /// Time passes.
        Tick,
    }

    /// What a requester is told.
    pub enum ClaimVerdict {
        /// The row is written and owned by this arrival.
        Granted,
        /// The claim could not be written in time; nothing ran for this arrival,
        /// but an earlier one with the same key may have run.
        NotWritten,
        /// Another arrival with the same key ran with this outcome.
        Recorded(RecordedOutcome),
        /// Another arrival holds the claim and its outcome is not known.
        Held,
        /// The key belongs to a request with another body.
        KeyReused,
    }

    /// Actions of the claim keeper.
    pub enum ClaimAction {
        /// Send a commit; the answer comes back with its number.
        Commit(u64, CommitRequest),
        /// Read a row; the answer comes back with the ticket.
        Read(u64, String),
        /// Tell the requester.
        Verdict(u64, ClaimVerdict),
    }
}
