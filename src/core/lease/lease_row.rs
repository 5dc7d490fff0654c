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
