use {
    super::{FinishedRequest, GroupGauge},
    bytes::Bytes,
};

value_type! {
    /// Input of a [`super::MinuteLedger`].
    pub enum LedgerEvent {
        /// A request has ended; sent once per request.
        Finished(FinishedRequest),
        /// The current gauge, sent by a lease holder at least every 2 s, and empty once the lease
        /// is lost.
        Gauge(GroupGauge),
        /// Time has passed; due about once a second.
        Tick,
        /// The object of this minute, in minutes since the Unix epoch, was stored.
        Written(u64),
        /// The write of this minute failed, or its answer was lost.
        Unclear(u64),
        /// The process is about to end: the open minute is sealed and later counts are ignored.
        Stop,
    }

    /// Output of a [`super::MinuteLedger`], which the caller carries out.
    #[derive(Eq)]
    pub enum LedgerAction {
        /// Store `body` as object `key`, then report [`LedgerEvent::Written`] or
        /// [`LedgerEvent::Unclear`] for `minute`. At most one write is open.
        Write {
            /// Minutes since the Unix epoch.
            minute: u64,
            /// Object key, `burn/<minute>/<process>-<boot>`.
            key: String,
            /// The [`super::MinuteRecord`] of the minute as JSON.
            body: Bytes,
        },
    }
}
