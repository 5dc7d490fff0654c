use {
    super::{
        BurnSeries, BurnSummary, DowntimeEntry, GapEntry, MinuteStamp, RefusalEntry, ShareEntry,
        UnreadableEntry, WINDOWS, WindowSummary,
        share_sum::{ShareSum, from_milli},
    },
    crate::{
        core::burn::{LostCount, MinuteRecord, RequestCount, RequestOutcome},
        wire::Execution,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// Sums by name of a service, client account or kind.
type NamedSums = BTreeMap<String, ShareSum>;

/// Sums over one window.
#[derive(Debug, Default)]
struct WindowSum {
    /// Minutes for which there is a record.
    minutes: BTreeSet<u64>,
    lost: LostCount,
    total: ShareSum,
    services: NamedSums,
    accounts: NamedSums,
    kinds: NamedSums,
    /// Count and weight in thousandths, by reason and execution.
    refusals: BTreeMap<(String, Execution), (u64, u64)>,
    downtime_ms: BTreeMap<String, u64>,
    stranded_ms: u64,
}

/// First and last minute for which a process stored a record, and the number of its records.
#[derive(Debug, Clone, Copy)]
struct StoredSpan {
    first: u64,
    last: u64,
    count: u64,
}

/// Sums minute records over the windows of the report.
///
/// All records of a minute must be added one after the other. Within a minute each boot of a
/// process counts once.
#[derive(Debug)]
pub struct BurnTally {
    until: u64,
    windows: [WindowSum; WINDOWS.len()],
    series: BurnSeries,
    /// Spans by process and boot.
    spans: BTreeMap<(String, u64), StoredSpan>,
    /// Minute of the last record added.
    minute: u64,
    /// Processes and boots that have a record for `minute`.
    seen: BTreeSet<(String, u64)>,
    duplicates: u64,
    unreadable: Vec<UnreadableEntry>,
}

impl BurnTally {
    /// Creates an empty tally that ends with the minute `until`.
    #[must_use]
    pub fn new(until: MinuteStamp) -> Self {
        Self {
            until: until.0,
            windows: Default::default(),
            series: BurnSeries::new(until.0),
            spans: BTreeMap::new(),
            minute: 0,
            seen: BTreeSet::new(),
            duplicates: 0,
            unreadable: Vec::new(),
        }
    }

    /// First minute of the longest window.
    #[must_use]
    pub const fn first_minute(&self) -> u64 {
        (self.until + 1).saturating_sub(WINDOWS[WINDOWS.len() - 1].minutes)
    }

    /// Last minute of every window.
    #[must_use]
    pub const fn last_minute(&self) -> u64 {
        self.until
    }

    /// Points for the plots.
    #[must_use]
    pub const fn series(&self) -> &BurnSeries {
        &self.series
    }

    /// Adds a record, unless the same boot of the process already has one for this minute.
    pub fn add(&mut self, record: &MinuteRecord) {
        if record.minute != self.minute {
            self.minute = record.minute;
            self.seen.clear();
        }
        if !self.seen.insert((record.process.clone(), record.boot)) {
            self.duplicates += 1;
            return;
        }
        self.extend_span(record);
        self.series.add(record);
        for (window, sum) in WINDOWS.iter().zip(&mut self.windows) {
            if window.covers(record.minute, self.until) {
                sum.add(record);
            }
        }
    }

    /// Records that an object was left out because it cannot be used.
    pub fn skip(&mut self, key: &str, reason: &str) {
        self.unreadable.push(UnreadableEntry {
            key: key.to_owned(),
            reason: reason.to_owned(),
        });
    }

    /// Extends the span of the record's process and boot by its minute.
    fn extend_span(&mut self, record: &MinuteRecord) {
        let span = self
            .spans
            .entry((record.process.clone(), record.boot))
            .or_insert(StoredSpan {
                first: record.minute,
                last: record.minute,
                count: 0,
            });
        span.first = span.first.min(record.minute);
        span.last = span.last.max(record.minute);
        span.count += 1;
    }

    /// Computes the report for an objective such as 0.99.
    #[must_use]
    pub fn summarize(&self, objective: f64) -> BurnSummary {
        let windows = WINDOWS.iter().zip(&self.windows);
        BurnSummary {
            until_minute: self.until,
            until: MinuteStamp(self.until).to_string(),
            objective,
            windows: windows
                .map(|(window, sum)| sum.summarize(window.label, window.minutes, objective))
                .collect(),
            gaps: self.gaps(),
            duplicates: self.duplicates,
            unreadable: self.unreadable.clone(),
        }
    }

    fn gaps(&self) -> Vec<GapEntry> {
        let mut gaps = Vec::new();
        for ((process, boot), span) in &self.spans {
            let missing_minutes = span.last - span.first + 1 - span.count;
            if missing_minutes == 0 {
                continue;
            }
            gaps.push(GapEntry {
                process: process.clone(),
                boot: format!("{boot:016x}"),
                missing_minutes,
            });
        }
        gaps
    }
}

impl WindowSum {
    fn add(&mut self, record: &MinuteRecord) {
        self.minutes.insert(record.minute);
        self.lost.minutes += record.lost.minutes;
        self.lost.requests += record.lost.requests;
        self.stranded_ms += record.stranded_ms;
        for entry in &record.downtime {
            *self.downtime_ms.entry(entry.service.clone()).or_default() += entry.downtime_ms;
        }
        for row in &record.requests {
            self.add_row(row);
        }
    }

    fn add_row(&mut self, row: &RequestCount) {
        self.total.add(row);
        let names = [
            (&mut self.services, &row.service),
            (&mut self.accounts, &row.account),
            (&mut self.kinds, &row.kind),
        ];
        for (sums, name) in names {
            sums.entry(name.clone()).or_default().add(row);
        }
        if let RequestOutcome::Refused { reason, execution } = &row.outcome {
            let sum = self.refusals.entry((reason.clone(), *execution));
            let (count, weight_milli) = sum.or_default();
            *count += row.count;
            *weight_milli += row.weight_milli;
        }
    }

    fn summarize(&self, label: &str, minutes: u64, objective: f64) -> WindowSummary {
        let refusals = self.refusals.iter();
        let downtime = self.downtime_ms.iter();
        WindowSummary {
            window: label.to_owned(),
            minutes,
            minutes_with_data: self.minutes.len() as u64,
            lost_minutes: self.lost.minutes,
            lost_requests: self.lost.requests,
            total: self.total.to_entry("total", objective),
            services: to_entries(&self.services, objective),
            accounts: to_entries(&self.accounts, objective),
            kinds: to_entries(&self.kinds, objective),
            refusals: refusals
                .map(
                    |((reason, execution), (count, weight_milli))| RefusalEntry {
                        reason: reason.clone(),
                        execution: *execution,
                        count: *count,
                        weight: from_milli(*weight_milli),
                    },
                )
                .collect(),
            downtime: downtime
                .map(|(service, downtime_ms)| DowntimeEntry {
                    service: service.clone(),
                    group_s: from_milli(*downtime_ms),
                })
                .collect(),
            stranded_accelerator_s: from_milli(self.stranded_ms),
        }
    }
}

fn to_entries(sums: &NamedSums, objective: f64) -> Vec<ShareEntry> {
    sums.iter()
        .map(|(name, sum)| sum.to_entry(name, objective))
        .collect()
}
