wire_type! {
    /// Value of the row `claim/<client account>/<key>`.
    #[derive(Eq)]
    pub struct ClaimRow {
        /// Random token of the arrival that owns the row.
        pub token: u64,
        /// Fingerprint of account, path and body, so that a key cannot stand for two requests.
        pub fingerprint: u64,
        /// What became of the request.
        pub state: ClaimState,
    }

    /// State of a claim.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ClaimState {
        /// The owner may send the request; it may have run.
        Claimed,
        /// The owner gave up before it sent a byte; another arrival may claim.
        Withdrawn,
        /// The request ran with this outcome.
        Done(RecordedOutcome),
    }

    /// Answer of a non-repeatable request, given again to a resend.
    #[derive(Eq)]
    pub struct RecordedOutcome {
        /// HTTP status.
        pub status: u16,
        /// Media type of the body.
        pub content_type: String,
        /// Body as text.
        pub body: String,
    }
}
