wire_type! {
    /// Value of the row `lease/<failure domain>`.
    #[derive(Eq)]
    pub struct LeaseRow {
        /// Process name and boot id of the holder.
        pub holder: String,
        /// Term; each new holder takes the next one.
        pub term: u64,
        /// Number of the holder's attempt to write this row; identifies a write whose answer was lost.
        pub renewal: u64,
    }
}
