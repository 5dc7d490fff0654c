use {
    super::{
        FinishedRequest, GroupGauge, LedgerSettings, LostCount, MinuteRecord, RequestCount,
        RequestOutcome, ServiceDowntime,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Most count rows in a minute, without the overflow rows. 30 accounts, 5 kinds, 5 services and 5
/// outcomes need 3,750 if every combination occurs within one minute.
pub const MAX_COUNT_ROWS: usize = 4_000;

/// Name of the service, account and kind in the overflow rows, which count the requests that would
/// need a row beyond [`MAX_COUNT_ROWS`].
pub const OTHER_NAME: &str = "(other)";

/// Largest weight of one request, in thousandths; a larger one is clamped.
const MAX_WEIGHT_MILLI: f64 = 1_000_000_000.0;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct CountKey {
    service: String,
    account: String,
    kind: String,
    outcome: RequestOutcome,
}

#[derive(Debug, Clone, Copy, Default)]
struct CountSum {
    count: u64,
    weight_milli: u64,
}

/// Counts of the current minute.
#[derive(Debug)]
pub(super) struct OpenMinute {
    pub(super) minute: u64,
    counts: BTreeMap<CountKey, CountSum>,
    downtime: BTreeMap<String, Duration>,
    stranded: Duration,
}

impl OpenMinute {
    pub(super) const fn new(minute: u64) -> Self {
        Self {
            minute,
            counts: BTreeMap::new(),
            downtime: BTreeMap::new(),
            stranded: Duration::ZERO,
        }
    }

    /// Number of requests counted.
    pub(super) fn requests(&self) -> u64 {
        self.counts.values().map(|sum| sum.count).sum()
    }

    pub(super) fn count(&mut self, request: FinishedRequest) {
        let weight_milli = to_milli(request.weight);
        let mut key = CountKey {
            service: request.service,
            account: request.account,
            kind: request.kind,
            outcome: request.outcome,
        };
        if self.counts.len() >= MAX_COUNT_ROWS && !self.counts.contains_key(&key) {
            key = other_key(key.outcome);
        }
        let sum = self.counts.entry(key).or_default();
        sum.count += 1;
        sum.weight_milli += weight_milli;
    }

    /// Adds the downtime and stranded time of a gauge that held for `span`.
    pub(super) fn integrate(&mut self, gauge: &GroupGauge, span: Duration) {
        for (service, missing) in &gauge.missing_groups {
            if *missing == 0 {
                continue;
            }
            *self.downtime.entry(service.clone()).or_default() += span * *missing;
        }
        self.stranded += span * gauge.stranded_accelerators;
    }

    pub(super) fn into_record(self, settings: &LedgerSettings, lost: LostCount) -> MinuteRecord {
        let requests = self.counts.into_iter().map(|(key, sum)| RequestCount {
            service: key.service,
            account: key.account,
            kind: key.kind,
            outcome: key.outcome,
            count: sum.count,
            weight_milli: sum.weight_milli,
        });
        let downtime = self
            .downtime
            .into_iter()
            .map(|(service, span)| ServiceDowntime {
                service,
                downtime_ms: whole_ms(span),
            });
        MinuteRecord {
            minute: self.minute,
            process: settings.process.clone(),
            boot: settings.boot,
            requests: requests.collect(),
            downtime: downtime.collect(),
            stranded_ms: whole_ms(self.stranded),
            lost,
        }
    }
}

/// Returns the key of the overflow row for an outcome. Refusals with the same execution share a
/// row, whatever their reason.
fn other_key(outcome: RequestOutcome) -> CountKey {
    let outcome = match outcome {
        RequestOutcome::Refused { execution, .. } => RequestOutcome::Refused {
            reason: OTHER_NAME.to_owned(),
            execution,
        },
        other => other,
    };
    CountKey {
        service: OTHER_NAME.to_owned(),
        account: OTHER_NAME.to_owned(),
        kind: OTHER_NAME.to_owned(),
        outcome,
    }
}

fn whole_ms(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the range first; a NaN becomes 0"
)]
fn to_milli(weight: f64) -> u64 {
    (weight * 1_000.0).round().clamp(0.0, MAX_WEIGHT_MILLI) as u64
}
