wire_type! {
    /// Whether a refused request was executed, as far as it is known.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Execution {
        /// No backend server started on the request.
        NotRun,
        /// A backend server ran the request, at least in part.
        Ran,
        /// It is not known whether a backend server ran the request.
        Unknown,
    }

    /// Body of an `application/problem+json` response.
    pub struct ProblemBody {
        /// Stable identifier of the reason, such as `queue_full`.
        #[serde(rename = "type")]
        pub reason: String,
        /// Status code of the HTTP response.
        pub status: u16,
        /// Explanation for people, in one sentence.
        pub detail: String,
        /// Whether the request was executed; tells the caller if it may be sent again.
        pub execution: Execution,
        /// Identifier of the request, for a search in logs.
        pub request_id: String,
    }
}
