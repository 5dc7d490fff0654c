use std::time::Duration;

value_type! {
    /// Full name of a row.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct RowName {
        /// Name of the table.
        pub table: String,
        /// Partition of the table; empty for the unnamed one. A transaction stays within one
        /// partition.
        pub part: String,
        /// Key within the partition.
        pub key: String,
    }

    /// A condition of a transaction: the version that a row must have.
    #[derive(Eq)]
    pub struct RowExpectation {
        /// Name of the row to check.
        pub name: RowName,
        /// Expected version of the row; 0 when the row must not exist.
        pub version: u64,
    }

    /// A write of a transaction; it creates or replaces a row.
    #[derive(Eq)]
    pub struct RowValue {
        /// Name of the row to write.
        pub name: RowName,
        /// New value of the row.
        pub value: Vec<u8>,
    }

    /// A call to the store.
    pub enum StoreCall {
        /// Writes all rows if all expectations hold, and none otherwise.
        Transact {
            /// Conditions that must all hold.
            expectations: Vec<RowExpectation>,
            /// Rows to create or replace.
            writes: Vec<RowValue>,
        },
        /// Reads rows in key order, all as of the same moment.
        Range {
            /// Name of the table.
            table: String,
            /// Partition of the table; empty for the unnamed one.
            part: String,
            /// Lowest key to return; empty for all keys.
            from: String,
        },
        /// Waits for changes after a version.
        Feed {
            /// Name of the table.
            table: String,
            /// Version up to which the caller knows all changes.
            after: u64,
            /// Longest time for which the store waits for a change before it answers without one.
            wait: Duration,
        },
    }
}

impl RowName {
    /// Names a row in the unnamed partition of a table.
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
