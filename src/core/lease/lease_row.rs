use serde::Deserialize;

/// Highest term that a lease row may name. The epochs of a term are a multiple of it and must fit 64
/// bits. With one new holder a second, this term is reached after 34,000 years.
pub const MAX_TERM: u64 = 1 << 40;

/// Terms of an era of the store begin at a multiple of this, so that a term that the store forgot
/// when it was restored is not given out again.
const TERMS_PER_ERA: u64 = 1 << 16;

/// Lowest term that is given out in an era of the store. Eras beyond the range of terms have no
/// terms of their own.
///
/// ```
/// use toucanring::core::lease::{MAX_TERM, first_term_of};
///
/// assert_eq!(first_term_of(0), 1);
/// assert!(first_term_of(3) > first_term_of(2) + 50_000);
/// assert!(first_term_of(u64::MAX) < MAX_TERM);
/// ```
#[must_use]
pub const fn first_term_of(era: u64) -> u64 {
    if era >= MAX_TERM / TERMS_PER_ERA {
        return 1;
    }
    era * TERMS_PER_ERA + 1
}

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
