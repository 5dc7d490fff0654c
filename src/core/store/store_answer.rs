use super::{RowName, StoreVersion};

value_type! {
    /// A row, or the removal of one.
    #[derive(Eq)]
    pub struct StoreRow {
        /// Table, partition and key of the row.
        pub name: RowName,
        /// Version of the transaction that wrote or removed it.
        pub version: StoreVersion,
        /// Content of the row; none when the row was removed.
        pub value: Option<Vec<u8>>,
    }

    /// Answer of the store to a [`StoreCall`](super::StoreCall).
    pub enum StoreAnswer {
        /// The transaction took effect with this version.
        Committed(StoreVersion),
        /// An expectation did not hold and nothing was written.
        Conflict {
            /// The rows in question as they are now.
            rows: Vec<StoreRow>,
            /// Era of the store.
            era: u64,
        },
        /// Rows of a range, or changed rows of a feed.
        Rows {
            /// Rows that were read; removed rows have no value.
            rows: Vec<StoreRow>,
            /// True when the range has further rows after the last one.
            more: bool,
            /// Version of the store up to which the answer is complete.
            version: StoreVersion,
            /// Number of rows whose name could not be decoded; they are left out.
            unreadable: usize,
        },
        /// The store no longer keeps the changes after the requested version; the table has to be
        /// read anew.
        HistoryGone,
    }

    /// Reason for which a call has no usable answer.
    #[derive(Copy, Eq)]
    pub enum StoreFailure {
        /// The store rejected the call without carrying it out.
        Refused,
        /// The connection failed before the call was sent, so it was not carried out.
        Unreachable,
        /// The call was sent but its outcome is unknown: it may have taken effect, or still take
        /// effect later.
        Unclear,
        /// The answer could not be decoded or does not fit the call.
        Unreadable,
    }
}
