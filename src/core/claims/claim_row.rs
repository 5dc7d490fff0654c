wire_type! {
    /// Value of the row `claim/<client account>/<key>`.
    #[derive(Eq)]
    pub struct ClaimRow {
        /// Random token of the arrival of the request that wrote the row last.
        pub token: u64,
        /// Fingerprint of client account, path and body, so that a key reused for another request
        /// is detected.
        pub fingerprint: u64,
        /// Whether the request may run, has run or was given up.
        pub state: ClaimState,
    }

    /// State of a claim.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// The owner may send the request to a backend server; it may have run.
        Claimed,
        /// The owner gave up before it sent anything to a backend server; another arrival may claim
        /// the row.
        Withdrawn,
        /// The request ran with this outcome.
        Done(RecordedOutcome),
    }

    /// Answer to a non-repeatable request, which is replayed when the caller sends the request
    /// again.
    #[derive(Eq)]
    pub struct RecordedOutcome {
        /// HTTP status code.
        pub status: u16,
        /// Media type of the body, as in the header `content-type`.
        pub content_type: String,
        /// Body of the answer as UTF-8 text.
        pub body: String,
    }
}
