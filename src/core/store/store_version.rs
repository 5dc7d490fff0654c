use std::fmt;

wire_type! {
    /// Version of a row, or of the store as a whole.
    ///
    /// A store that is restored from a copy gives out numbers again for other content. So numbers
    /// are only comparable within an era, which rises with each restoration. Versions are ordered
    /// by era first.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord, Default)]
    pub struct StoreVersion {
        /// Number of restorations of the store, from an unknown start; 0 when the store names none.
        pub era: u64,
        /// Position in the history of the era; 0 stands for no version.
        pub number: u64,
    }
}

impl StoreVersion {
    /// Creates a version.
    ///
    /// ```
    /// use toucanring::core::store::StoreVersion;
    ///
    /// assert!(StoreVersion::new(2, 5) > StoreVersion::new(1, 9));
    /// assert!(StoreVersion::new(2, 5) < StoreVersion::new(2, 9));
    /// assert_eq!(StoreVersion::new(2, 5).to_string(), "2/5");
    /// ```
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.number)
    }
}
