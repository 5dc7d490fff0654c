use std::time::Duration;

value_type! {
    /// Name of a row.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct RowName {
        /// Table.
        pub table: String,
        /// Part of the table; one transaction stays within one part.
        pub part: String,
        /// Key in the part.
        pub key: String,
    }

    /// Version that a row must have for a transaction to take effect.
    #[derive(Eq)]
    pub struct RowExpectation {
        /// The row.
        pub name: RowName,
        /// Its version; 0 when it must not exist.
        pub version: u64,
    }

    /// A row to write.
    #[derive(Eq)]
    pub struct RowValue {
        /// The row.
        pub name: RowName,
        /// Its new value.
        pub value: Vec<u8>,
    }

    /// A call to the store.
    pub enum StoreCall {
        /// Writes all rows if all expectations hold, else none.
        Transact {
            /// Must all hold.
            expectations: Vec<RowExpectation>,
            /// Rows to write.
            writes: Vec<RowValue>,
        },
        /// Reads rows in key order, as of one moment.
        Range {
            /// Table.
            table: String,
            /// Part of the table.
            part: String,
            /// First key.
            from: String,
        },
        /// Waits for changes after a version.
        Feed {
            /// Table.
            table: String,
            /// Version that is known already.
            after: u64,
            /// Longest wait for a change.
            wait: Duration,
        },
    }
}

impl RowName {
    /// Names a row in the table's unnamed part.
    ///
    /// ```
    /// let name = toucanring::core::store::RowName::plain("lease", "kochi");
    /// assert_eq!(name.part, "");
    /// ```
    #[must_use]
    pub fn plain(table: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: String::new(),
            key: key.to_owned(),
        }
    }
}
