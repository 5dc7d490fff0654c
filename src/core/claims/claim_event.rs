use {
    super::{ClaimRow, RecordedOutcome},
    crate::wire::{CommitRequest, RowCondition},
    std::time::Duration,
};

value_type! {
    /// A non-repeatable request that has to own its claim before it may run.
    pub struct ClaimRequest {
        /// Number of the request within the process; events and actions refer to the claim by it.
        pub ticket: u64,
        /// Key of the row, `claim/<client account>/<key>`.
        pub key: String,
        /// Random token of this arrival, which tells it from other arrivals with the same key.
        pub token: u64,
        /// Fingerprint of client account, path and body.
        pub fingerprint: u64,
        /// Monotonic time at which the claim is refused if it is not granted yet.
        pub deadline: Duration,
    }

    /// Result of a commit.
    pub enum CommitResult {
        /// The commit took effect; its rows have this version.
        Committed(u64),
        /// The commit did not take effect, because these rows have other versions.
        Conflict(Vec<RowCondition>),
        /// The commit may have taken effect or may still do so.
        Unknown,
    }

    /// Result of a read of a row.
    pub enum ReadResult {
        /// The row with its version.
        Found(u64, ClaimRow),
        /// The row does not exist, or the read is stale.
        Missing,
        /// The platform did not answer, or its answer is unusable.
        Failed,
    }

    /// Input of a [`ClaimManager`](super::ClaimManager). The first number is the ticket of the
    /// request unless stated otherwise.
    pub enum ClaimEvent {
        /// A request has to own its claim.
        Request(ClaimRequest),
        /// The request will not be sent; its row may be claimed again.
        Release(u64),
        /// The request ran with this outcome, which is to be stored.
        Record(u64, RecordedOutcome),
        /// The request may have run and its outcome is not known; the row is left as it is.
        Abandon(u64),
        /// Result of the commit with this batch number.
        Committed(u64, CommitResult),
        /// Result of a read of the row.
        Read(u64, ReadResult),
        /// Time has passed: due writes, reads and deadlines are handled.
        Tick,
    }

    /// Decision on a claim, returned to the request.
    pub enum ClaimDecision {
        /// This arrival owns the row, and the request may run.
        Granted,
        /// The claim could not be written in time; nothing ran for this arrival,
        /// but an earlier one with the same key may have run.
        NotWritten,
        /// Another arrival with the same key ran with this outcome.
        Recorded(RecordedOutcome),
        /// Another arrival owns the row and its outcome is not known.
        Held,
        /// The key was used for a request with another path or body.
        KeyReused,
    }

    /// Output of a [`ClaimManager`](super::ClaimManager), which the caller carries out.
    pub enum ClaimAction {
        /// Send a commit; its result is reported with this batch number.
        Commit(u64, CommitRequest),
        /// Read the row with this key; the result is reported with the ticket.
        Read(u64, String),
        /// Return the decision to the request with this ticket.
        Decision(u64, ClaimDecision),
    }
}
