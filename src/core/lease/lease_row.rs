use serde::Deserialize;

/// Highest term that a lease row may name. The epochs of a term are a multiple of it and must fit 64
/// bits. With one new holder a second, this term is reached after 34,000 years.
pub const MAX_TERM: u64 = 1 << 40;

/// Terms of an era of the store begin at a multiple of this, so that a term that the store forgot
/// when it was restored is not given out again. An era has a term for each of its first versions;
/// with 400 writes a second they last for eleven hours, after which only the row tells the last term.
const TERMS_PER_ERA: u64 = 1 << 24;

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

/// Lowest term for a holder that replaces the lease row of this version, in an era of the store whose
/// rows may have lost their terms. Versions of a row only rise within an era, so that each holder gets
/// a higher term than the ones before it, whatever the row names.
///
/// ```
/// use toucanring::core::lease::{first_term_of, first_term_after};
///
/// assert!(first_term_after(2, 7) > first_term_after(2, 6));
/// assert!(first_term_after(2, u64::MAX) < first_term_of(3));
/// ```
#[must_use]
pub const fn first_term_after(era: u64, version: u64) -> u64 {
    let highest = TERMS_PER_ERA - 1;
    let offset = if version < highest { version } else { highest };
    first_term_of(era) + offset
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
