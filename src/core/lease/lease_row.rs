use serde::Deserialize;

/// Highest term that a lease row may name. The epochs of a term are a multiple of it and must fit 64
/// bits. With one new holder a second, this term is reached after 34,000 years.
pub const MAX_TERM: u64 = 1 << 40;

wire_type! {
    /// Value of the row `lease/<failure domain>`.
    #[derive(Eq)]
    pub struct LeaseRow {
        /// Name and boot identifier of the process that holds the lease.
        pub holder: String,
        /// Term of the lease; each new holder writes the next higher one.
        pub term: u64,
        /// Number of the holder's attempt to write this row; identifies a write whose answer
        /// was lost.
        pub renewal: u64,
    }
}

impl LeaseRow {
    /// Decodes the value of a row; none when it is not a lease or names a term above [`MAX_TERM`].
    ///
    /// ```
    /// use {serde_json::json, toucanring::core::lease::LeaseRow};
    ///
    /// let row = |term: u64| json!({"holder": "node-1", "term": term, "renewal": 1});
    /// assert_eq!(LeaseRow::decode(&row(7)).unwrap().term, 7);
    /// assert_eq!(LeaseRow::decode(&row(u64::MAX)), None);
    /// ```
    #[must_use]
    pub fn decode(value: &serde_json::Value) -> Option<Self> {
        let row = Self::deserialize(value).ok()?;
        (row.term <= MAX_TERM).then_some(row)
    }
}
