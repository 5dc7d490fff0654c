wire_type! {
    /// Report on service-level burn, as printed with `--json`.
    pub struct BurnSummary {
        /// Last minute of every window, counted since the Unix epoch.
        pub until_minute: u64,
        /// The same minute as a UTC time, such as `2027-01-15T08:00Z`.
        pub until: String,
        /// Share of the requests, by weight, that should complete within their deadline.
        pub objective: f64,
        /// Sums by window, shortest window first.
        pub windows: Vec<WindowSummary>,
        /// Boots of processes that stored no record for some minutes between their first and their
        /// last one.
        pub gaps: Vec<GapEntry>,
        /// Number of records left out because another record of the same process, boot and minute
        /// was found.
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
        /// Upper bound of the minutes that processes dropped during outages of the object store, as
        /// their records state it.
        pub lost_minutes: u64,
        /// Upper bound of the requests in these minutes. The other sums don't contain them, unless
        /// a dropped minute was stored after all.
        pub lost_requests: u64,
        /// Sums over all requests; its name is `total`.
        pub total: ShareEntry,
        /// Sums by service.
        pub services: Vec<ShareEntry>,
        /// Sums by client account.
        pub accounts: Vec<ShareEntry>,
        /// Sums by request kind.
        pub kinds: Vec<ShareEntry>,
        /// Sums of refusals by reason and execution.
        pub refusals: Vec<RefusalEntry>,
        /// Group downtime by service; services without downtime records are absent.
        pub downtime: Vec<DowntimeEntry>,
        /// Stranded accelerator time in accelerator seconds.
        pub stranded_accelerator_s: f64,
    }

    /// Sums of the requests of one service, client account or kind.
    pub struct ShareEntry {
        /// Name of the service, client account or request kind; `total` for all requests.
        pub name: String,
        /// Number of finished requests, refused ones included.
        pub requests: u64,
        /// Number of requests completed after their deadline.
        pub late: u64,
        /// Number of requests started and not completed.
        pub incomplete: u64,
        /// Number of refused requests.
        pub refused: u64,
        /// Sum of the weights of all these requests.
        pub weight: f64,
        /// Sum of the weights of those completed within their deadline.
        pub completed_weight: f64,
        /// Share of the window's error budget that was used; above 1 when the objective was missed,
        /// null without requests.
        pub budget_used: Option<f64>,
    }

    /// Sums of the refusals with one reason and execution.
    pub struct RefusalEntry {
        /// Reason, such as `queue_full`.
        pub reason: String,
        /// What was known about the execution of the requests.
        pub execution: crate::wire::Execution,
        /// Number of refused requests.
        pub count: u64,
        /// Sum of their weights.
        pub weight: f64,
    }

    /// Group downtime of a service.
    pub struct DowntimeEntry {
        /// Name of the model service.
        pub service: String,
        /// Downtime in seconds, summed over the groups that were down.
        pub group_s: f64,
    }

    /// Boot of a process that has gaps in its records.
    #[derive(Eq)]
    pub struct GapEntry {
        /// Name of the process, the same after a restart; `boot` tells its starts apart.
        pub process: String,
        /// Boot id of the process, as 16 hexadecimal digits.
        pub boot: String,
        /// Number of minutes without a record between the first and the last record.
        pub missing_minutes: u64,
    }

    /// Object that was left out of the report.
    #[derive(Eq)]
    pub struct UnreadableEntry {
        /// Key of the object in the object store.
        pub key: String,
        /// Why the object could not be used.
        pub reason: String,
    }
}
