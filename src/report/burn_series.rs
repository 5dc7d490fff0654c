use {
    super::share_sum::from_milli,
    crate::core::burn::{MinuteRecord, RequestOutcome},
    std::collections::BTreeMap,
};

/// Points of each plot.
const POINTS: usize = 72;

/// Minutes per point of the request plots, which cover 6 h.
const REQUEST_STEP: u64 = 5;

/// Minutes per point of the group plots, which cover 3 d.
const GROUP_STEP: u64 = 60;

#[derive(Debug, Clone, Copy, Default)]
struct RequestPoint {
    weight_milli: u64,
    completed_milli: u64,
}

/// Sums over time for the plots, oldest point first.
#[derive(Debug)]
pub struct BurnSeries {
    until: u64,
    requests: BTreeMap<String, [RequestPoint; POINTS]>,
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
        let Some(point) = self.point_of(record.minute, GROUP_STEP) else {
            return;
        };
        self.stranded_ms[point] += record.stranded_ms;
        for entry in &record.downtime {
            let service = self.downtime_ms.entry(entry.service.clone());
            service.or_insert([0; POINTS])[point] += entry.downtime_ms;
        }
    }

    fn add_requests(&mut self, record: &MinuteRecord) {
        let Some(point) = self.point_of(record.minute, REQUEST_STEP) else {
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

    fn point_of(&self, minute: u64, step: u64) -> Option<usize> {
        let age = usize::try_from(self.until.checked_sub(minute)? / step).ok()?;
        (POINTS - 1).checked_sub(age)
    }

    /// Percentage of weight not completed in time, by service; 5 minutes a point.
    #[must_use]
    pub fn missed_percent(&self) -> Vec<(String, Vec<f64>)> {
        let percent = |point: &RequestPoint| {
            let missed = point.weight_milli - point.completed_milli;
            100.0 * from_milli(missed) / from_milli(point.weight_milli.max(1))
        };
        self.request_lines(percent)
    }

    /// Weighted completions per minute, by service; 5 minutes a point.
    #[must_use]
    pub fn completions(&self) -> Vec<(String, Vec<f64>)> {
        self.request_lines(|point| from_milli(point.completed_milli / REQUEST_STEP))
    }

    /// Group downtime in group minutes per hour, by service; an hour a point.
    #[must_use]
    pub fn downtime(&self) -> Vec<(String, Vec<f64>)> {
        let lines = self.downtime_ms.iter();
        lines
            .map(|(service, points)| (service.clone(), to_minutes(points)))
            .collect()
    }

    /// Stranded accelerator minutes per hour; an hour a point.
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
