wire_type! {
    /// The whole report, as printed with `--json`.
    pub struct BurnSummary {
        /// Last minute of every window, since the Unix epoch.
        pub until_minute: u64,
        /// The same as UTC time.
        pub until: String,
        /// Share of weighted requests that should complete within their deadline.
        pub objective: f64,
        /// Sums by window, shortest window first.
        pub windows: Vec<WindowSummary>,
        /// Processes that lack minutes between the first and the last that they stored.
        pub gaps: Vec<GapEntry>,
        /// Records left out because they were found twice, by process, boot and minute.
        pub duplicates: u64,
        /// Objects left out because they cannot be read.
        pub unreadable: Vec<UnreadableEntry>,
    }

    /// Sums over one window.
    pub struct WindowSummary {
        /// Label, such as `1h`.
        pub window: String,
        /// Length in minutes.
        pub minutes: u64,
        /// Minutes for which at least one process stored a record.
        pub minutes_with_data: u64,
        /// Upper bound of minutes that processes dropped during an outage of the object store.
        pub lost_minutes: u64,
        /// Requests in them.
        pub lost_requests: u64,
        /// All requests.
        pub total: ShareEntry,
        /// By service.
        pub services: Vec<ShareEntry>,
        /// By client account.
        pub accounts: Vec<ShareEntry>,
        /// By request kind.
        pub kinds: Vec<ShareEntry>,
        /// Refusals by reason and execution.
        pub refusals: Vec<RefusalEntry>,
        /// Group downtime by service.
        pub downtime: Vec<DowntimeEntry>,
        /// Stranded accelerator time in accelerator seconds.
        pub stranded_accelerator_s: f64,
    }

    /// Sums of requests that share a name.
    pub struct ShareEntry {
        /// Name of the service, client account or kind.
        pub name: String,
        /// Finished requests.
        pub requests: u64,
        /// Completed after their deadline.
        pub late: u64,
        /// Started and not completed.
        pub incomplete: u64,
        /// Refused.
        pub refused: u64,
        /// Weight of all requests.
        pub weight: f64,
        /// Weight of the requests completed within their deadline.
        pub completed_weight: f64,
        /// Used share of the window's error budget; above 1 when the objective
        /// is missed, null without requests.
        pub budget_used: Option<f64>,
    }

    /// Refusals with the same reason and execution.
    pub struct RefusalEntry {
        /// Reason.
        pub reason: String,
        /// What was known about the execution.
        pub execution: crate::wire::Execution,
        /// Requests.
        pub count: u64,
        /// Their weight.
        pub weight: f64,
    }

    /// Group downtime of a service.
    pub struct DowntimeEntry {
        /// Service.
        pub service: String,
        /// Downtime in group seconds.
        pub group_s: f64,
    }

    /// A process that lacks minutes.
    #[derive(Eq)]
    pub struct GapEntry {
        /// Process name.
        pub process: String,
        /// Boot id as hexadecimal number.
        pub boot: String,
        /// Minutes without a record between its first and its last one.
        pub missing_minutes: u64,
    }

    /// An object that could not be used.
    #[derive(Eq)]
    pub struct UnreadableEntry {
        /// Key.
        pub key: String,
        /// Why.
        pub reason: String,
    }
}
