use super::RequestOutcome;

wire_type! {
    /// Content of the object `burn/<minute>/<process>-<boot>`. It does not change once the minute
    /// is sealed, so that a repeated write stores the same content again.
    #[derive(Eq)]
    pub struct MinuteRecord {
        /// Minutes since the Unix epoch.
        pub minute: u64,
        /// Name of the process that counted.
        pub process: String,
        /// Boot id of the process.
        pub boot: u64,
        /// Finished requests, one entry for each combination of service, account, kind and outcome.
        pub requests: Vec<RequestCount>,
        /// Group downtime, one entry for each model service that had any.
        pub downtime: Vec<ServiceDowntime>,
        /// Time of accelerators in no serving group, summed over the accelerators, in milliseconds.
        pub stranded_ms: u64,
        /// Sealed minutes that this process dropped since the minute sealed before this one.
        pub lost: LostCount,
    }

    /// Requests with the same service, client account, kind and outcome.
    #[derive(Eq)]
    pub struct RequestCount {
        /// Name of the model service or plain service; [`super::OTHER_NAME`] in overflow rows.
        pub service: String,
        /// Name of the client account; [`super::OTHER_NAME`] in overflow rows.
        pub account: String,
        /// Name of the request kind; [`super::OTHER_NAME`] in overflow rows.
        pub kind: String,
        /// Outcome that all counted requests had.
        pub outcome: RequestOutcome,
        /// Number of requests.
        pub count: u64,
        /// Sum of the weights of the requests in thousandths.
        pub weight_milli: u64,
    }

    /// Time in which a model service had fewer serving groups than its `min_groups`.
    #[derive(Eq)]
    pub struct ServiceDowntime {
        /// Name of the model service.
        pub service: String,
        /// Time in milliseconds, summed over the missing groups.
        pub downtime_ms: u64,
    }

    /// Sealed minutes dropped since the last sealed minute, because the object store was
    /// unavailable for longer than the process can hold them. A dropped minute may be stored
    /// nevertheless if the answer to its write was lost, so this is an upper bound.
    #[derive(Copy, Eq, Default)]
    pub struct LostCount {
        /// Number of dropped minutes.
        pub minutes: u64,
        /// Number of requests counted in the dropped minutes.
        pub requests: u64,
    }
}
