use super::RowName;

value_type! {
    /// A row, or its removal.
    #[derive(Eq)]
    pub struct StoreRow {
        /// The row.
        pub name: RowName,
        /// Version of the transaction that wrote or removed it.
        pub version: u64,
        /// Its value; none when it was removed.
        pub value: Option<Vec<u8>>,
    }

    /// Answer of the store.
    pub enum StoreAnswer {
        /// The transaction took effect with this version.
        Committed(u64),
        /// An expectation failed; these rows stand now.
        Conflict(Vec<StoreRow>),
        /// Rows of a range or feed.
        Rows {
            /// The rows.
            rows: Vec<StoreRow>,
            /// True when a range goes on after the last row.
            more: bool,
            /// Version up to which the answer is complete.
            version: u64,
        },
        /// The feed no longer has the history that was asked for.
        HistoryGone,
    }

    /// Why a call has no answer.
    #[derive(Copy, Eq)]
    pub enum StoreFailure {
        /// The store refused the call; nothing was done.
        Refused,
        /// No connection; nothing was done.
        Unreachable,
        /// No answer; the call may take effect, now or later.
        Unclear,
        /// The answer cannot be read.
        Unreadable,
    }
}
