use {
    super::{AccountTag, ModelTag, ShareClass, WorkSums},
    std::time::Duration,
};

/// Most accounts in one report; the others follow in turn.
pub const MAX_REPORT_ACCOUNTS: usize = 8;

/// One in this many beacons carries a report, so that the reports stay below 12 KB/s a node with
/// 390 nodes; docs/design/account-shares.md has the arithmetic.
const BEACONS_PER_REPORT: u64 = 6;

/// Unit of the age of an event in a report.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// Age in a report that stands for no event, or one that is older than all that matter.
const NO_EVENT: u8 = u8::MAX;

wire_type! {
    /// Which requests the counts of a report cover.
    #[derive(Copy, Eq)]
    pub enum ReportScope {
        /// Those of the sender, for the nodes of its own failure domain.
        Node,
        /// Those of all nodes of the sender's failure domain, for the nodes of other ones. These
        /// hear each single node too seldom.
        FailureDomain,
    }

    /// Work of the requests of one account at one priority in the last seconds.
    #[derive(Copy, Eq)]
    pub struct AccountCount {
        /// The account.
        pub account: AccountTag,
        /// Priority of the requests; 0 is the most urgent.
        pub priority: u8,
        /// Work of the requests that arrived, in milliseconds of engine time.
        pub offered_ms: u32,
        /// Work of the requests that got a group or server, in milliseconds of engine time.
        pub served_ms: u32,
    }

    /// Counts of the accounts of a model that is short of capacity; part of some beacons.
    pub struct ShareReport {
        /// Which requests the counts cover.
        pub scope: ReportScope,
        /// The model, or plain service.
        pub model: ModelTag,
        /// Time since a request of the sender found no room, in units of 10 ms; 255 without one.
        pub lack_age: u8,
        /// Counts of up to [`MAX_REPORT_ACCOUNTS`] classes.
        pub accounts: Vec<AccountCount>,
    }
}

impl AccountCount {
    /// Rounds the work of a class to whole milliseconds.
    #[must_use]
    pub fn new(class: ShareClass, work: WorkSums) -> Self {
        Self {
            account: class.account,
            priority: class.priority,
            offered_ms: whole_ms(work.offered),
            served_ms: whole_ms(work.served),
        }
    }

    /// The counted work.
    #[must_use]
    pub fn work(&self) -> WorkSums {
        WorkSums {
            offered: f64::from(self.offered_ms),
            served: f64::from(self.served_ms),
        }
    }
}

impl ShareReport {
    /// Age of an event as reports state it; `event` is the time at which it happened.
    #[must_use]
    pub fn encode_age(now: Duration, event: Option<Duration>) -> u8 {
        let Some(event) = event else {
            return NO_EVENT;
        };
        let units = now.saturating_sub(event).as_millis() / AGE_UNIT.as_millis();
        u8::try_from(units).unwrap_or(NO_EVENT)
    }

    /// Time at which a request last found no room, as far as this report says; none without one.
    ///
    /// ```
    /// use {
    ///     std::time::Duration,
    ///     toucanring::core::fairness::{ModelTag, ReportScope, ShareReport},
    /// };
    ///
    /// let now = Duration::from_secs(10);
    /// let event = now - Duration::from_millis(120);
    /// let report = ShareReport {
    ///     scope: ReportScope::Node,
    ///     model: ModelTag(1),
    ///     lack_age: ShareReport::encode_age(now, Some(event)),
    ///     accounts: Default::default(),
    /// };
    /// assert_eq!(report.lack_at(now), Some(event));
    /// ```
    #[must_use]
    pub fn lack_at(&self, now: Duration) -> Option<Duration> {
        (self.lack_age != NO_EVENT).then(|| now.saturating_sub(AGE_UNIT * u32::from(self.lack_age)))
    }
}

/// Number of the report that a beacon carries; none for most beacons. Each block of beacons has
/// one report at a place that varies, because a fixed place would coincide with the turns in which
/// beacons go to some of the nodes, and others would get no report.
///
/// ```
/// use toucanring::core::fairness::report_turn;
///
/// let reports = (0..600).filter_map(|sequence| report_turn(7, sequence));
/// assert!(reports.eq(0..100));
/// ```
#[must_use]
pub const fn report_turn(boot: u64, sequence: u64) -> Option<u64> {
    let block = sequence / BEACONS_PER_REPORT;
    // The multiplier spreads consecutive numbers over the upper bits.
    let mixed = (block ^ boot).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    if mixed % BEACONS_PER_REPORT == sequence % BEACONS_PER_REPORT {
        Some(block)
    } else {
        None
    }
}

fn whole_ms(work: f64) -> u32 {
    // A float to integer cast saturates, and work is not negative.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = work.round() as u32;
    whole
}
