use {
    super::share_sum::from_milli,
    crate::core::burn::{MinuteRecord, RequestOutcome},
    std::collections::BTreeMap,
};

/// Number of points of each plot.
const POINTS: usize = 72;

/// Minutes per point of the request plots, which cover 6 h.
const REQUEST_STEP_MINUTES: u64 = 5;

/// Minutes per point of the group plots, which cover 3 d.
const GROUP_STEP_MINUTES: u64 = 60;

/// Sums over the requests of one point, in thousandths of weight.
#[derive(Debug, Clone, Copy, Default)]
struct RequestPoint {
    weight_milli: u64,
    completed_milli: u64,
}

/// Points of the plots: sums over steps of time, oldest first.
#[derive(Debug)]
pub struct BurnSeries {
    /// Last minute, since the Unix epoch.
    until: u64,
    /// Requests by service.
    requests: BTreeMap<String, [RequestPoint; POINTS]>,
    /// Group downtime by service.
    downtime_ms: BTreeMap<String, [u64; POINTS]>,
    stranded_ms: [u64; POINTS],
}

impl BurnSeries {
    /// Creates empty series that end with the minute `until`.
    #[must_use]
    pub const fn new(until: u64) -> Self {
        Self {
            until,
            requests: BTreeMap::new(),
            downtime_ms: BTreeMap::new(),
            stranded_ms: [0; POINTS],
        }
    }

    pub(super) fn add(&mut self, record: &MinuteRecord) {
        self.add_requests(record);
        let Some(point) = self.point_index(record.minute, GROUP_STEP_MINUTES) else {
            return;
        };
        self.stranded_ms[point] += record.stranded_ms;
        for entry in &record.downtime {
            let service = self.downtime_ms.entry(entry.service.clone());
            service.or_insert([0; POINTS])[point] += entry.downtime_ms;
        }
    }

    fn add_requests(&mut self, record: &MinuteRecord) {
        let Some(point) = self.point_index(record.minute, REQUEST_STEP_MINUTES) else {
            return;
        };
        for row in &record.requests {
            let service = self.requests.entry(row.service.clone());
            let sum = &mut service.or_insert([RequestPoint::default(); POINTS])[point];
            sum.weight_milli += row.weight_milli;
            if row.outcome == RequestOutcome::Completed {
                sum.completed_milli += row.weight_milli;
            }
        }
    }

    /// Index of the point that a minute belongs to; `None` if it lies outside of the plot.
    fn point_index(&self, minute: u64, step_minutes: u64) -> Option<usize> {
        let age = usize::try_from(self.until.checked_sub(minute)? / step_minutes).ok()?;
        (POINTS - 1).checked_sub(age)
    }

    /// Percentage of the weight that was not completed within the deadline, by service; one point
    /// for 5 minutes.
    #[must_use]
    pub fn missed_percent(&self) -> Vec<(String, Vec<f64>)> {
        let percent = |point: &RequestPoint| {
            let missed = point.weight_milli - point.completed_milli;
            100.0 * from_milli(missed) / from_milli(point.weight_milli.max(1))
        };
        self.request_lines(percent)
    }

    /// Weighted completions per minute, by service; one point for 5 minutes.
    #[must_use]
    pub fn completions(&self) -> Vec<(String, Vec<f64>)> {
        self.request_lines(|point| from_milli(point.completed_milli / REQUEST_STEP_MINUTES))
    }

    /// Group downtime in group minutes per hour, by service; one point for an hour.
    #[must_use]
    pub fn downtime(&self) -> Vec<(String, Vec<f64>)> {
        let lines = self.downtime_ms.iter();
        lines
            .map(|(service, points)| (service.clone(), to_minutes(points)))
            .collect()
    }

    /// Stranded accelerator time in accelerator minutes per hour; one point for an hour.
    #[must_use]
    pub fn stranded(&self) -> Vec<(String, Vec<f64>)> {
        vec![("accelerators".to_owned(), to_minutes(&self.stranded_ms))]
    }

    fn request_lines(&self, value: impl Fn(&RequestPoint) -> f64) -> Vec<(String, Vec<f64>)> {
        let lines = self.requests.iter();
        lines
            .map(|(service, points)| (service.clone(), points.iter().map(&value).collect()))
            .collect()
    }
}

fn to_minutes(points: &[u64]) -> Vec<f64> {
    points.iter().map(|ms| from_milli(*ms) / 60.0).collect()
}
