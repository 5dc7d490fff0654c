use crate::core::store::StoreVersion;

wire_type! {
    /// Whether a failure domain is drained, as of a version of the store.
    #[derive(Eq)]
    pub struct DrainMark {
        /// Name of the failure domain.
        pub failure_domain: String,
        /// Version of the row that asks for the drain, or of the store in which the row is known to
        /// be missing.
        pub version: StoreVersion,
        /// True while the row exists.
        pub drained: bool,
    }
}

/// Most bytes of a mark in a beacon beside the name of its failure domain, for eras and numbers
/// below 2^35.
const MAX_OVERHEAD_BYTES: usize = 12;

impl DrainMark {
    /// Room in a beacon that is set aside for the mark, in bytes.
    #[must_use]
    pub const fn beacon_bytes(&self) -> usize {
        self.failure_domain.len() + MAX_OVERHEAD_BYTES
    }

    /// True when this mark replaces `other` of the same failure domain. Of two marks of the same
    /// version the one that drains wins, so that the result does not depend on their order.
    ///
    /// ```
    /// use toucanring::core::{drain::DrainMark, store::StoreVersion};
    ///
    /// let mark = |version, drained| DrainMark {
    ///     failure_domain: "zone-a".to_owned(),
    ///     version,
    ///     drained,
    /// };
    /// let drained = mark(StoreVersion::new(1, 9), true);
    /// assert!(mark(StoreVersion::new(2, 3), false).replaces(&drained));
    /// assert!(!mark(StoreVersion::new(1, 9), false).replaces(&drained));
    /// ```
    #[must_use]
    pub fn replaces(&self, other: &Self) -> bool {
        (self.version, self.drained) > (other.version, other.drained)
    }
}
