use super::RequestOutcome;

wire_type! {
    /// Content of the object `burn/<minute>/<process>-<boot>`. It never changes
    /// once sealed, so that a repeated write stores the same content again.
    #[derive(Eq)]
    pub struct MinuteRecord {
        /// Minutes since the Unix epoch.
        pub minute: u64,
        /// Process that counted.
        pub process: String,
        /// Boot id of the process.
        pub boot: u64,
        /// Finished requests, one entry for each combination that occurred.
        pub requests: Vec<RequestCount>,
        /// Group downtime by service.
        pub downtime: Vec<ServiceDowntime>,
        /// Stranded accelerator time in accelerator milliseconds.
        pub stranded_ms: u64,
        /// What this process had to drop before it sealed this minute.
        pub lost: LostCount,
    }

    /// Requests with the same service, client account, kind and outcome.
    #[derive(Eq)]
    pub struct RequestCount {
        /// Service.
        pub service: String,
        /// Client account.
        pub account: String,
        /// Request kind.
        pub kind: String,
        /// Outcome.
        pub outcome: RequestOutcome,
        /// Number of requests.
        pub count: u64,
        /// Sum of their weights in thousandths.
        pub weight_milli: u64,
    }

    /// Time that wanted groups of a service did not serve.
    #[derive(Eq)]
    pub struct ServiceDowntime {
        /// Service.
        pub service: String,
        /// Group milliseconds.
        pub downtime_ms: u64,
    }

    /// Sealed minutes dropped since the last sealed minute, because the object
    /// store was out for longer than the process can hold them. A dropped minute
    /// whose write had an unclear answer may be stored, so this is an upper bound.
    #[derive(Copy, Eq, Default)]
    pub struct LostCount {
        /// Minutes.
        pub minutes: u64,
        /// Requests counted in them.
        pub requests: u64,
    }
}
