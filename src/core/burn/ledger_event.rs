use {
    super::{FinishedRequest, GroupGauge},
    bytes::Bytes,
};

value_type! {
    /// What the ledger is told.
    pub enum LedgerEvent {
        /// A request ended.
        Finished(FinishedRequest),
        /// The lease holder's present view; an empty gauge once the lease is lost.
        Gauge(GroupGauge),
        /// Time passed; due about once a second.
        Tick,
        /// The object of this minute is stored.
        Written(u64),
        /// The write of this minute failed, or its answer was lost.
        Unclear(u64),
        /// The process ends: the open minute is sealed and later counts are ignored.
        Stop,
    }

    /// What the ledger wants done.
    #[derive(Eq)]
    pub enum LedgerAction {
        /// Store `body` as object `key`, then report [`LedgerEvent::Written`] or
        /// [`LedgerEvent::Unclear`] for `minute`. At most one write is open.
        Write {
            /// Minutes since the Unix epoch.
            minute: u64,
            /// `burn/<minute>/<process>-<boot>`.
            key: String,
            /// A [`super::MinuteRecord`] as JSON.
            body: Bytes,
        },
    }
}
