wire_type! {
    /// What is known about the execution of a refused request.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Execution {
        /// No backend server started on the request.
        NotRun,
        /// A backend server ran the request, at least in part.
        Ran,
        /// Whether a backend server ran the request is not known.
        Unknown,
    }

    /// Body of an `application/problem+json` answer.
    pub struct ProblemBody {
        /// Stable identifier of the reason, such as `queue_full`.
        #[serde(rename = "type")]
        pub reason: String,
        /// HTTP status code.
        pub status: u16,
        /// One sentence for a person.
        pub detail: String,
        /// What is known about the execution.
        pub execution: Execution,
        /// The request's identifier.
        pub request_id: String,
    }
}
