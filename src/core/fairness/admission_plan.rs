use {
    super::{AccountTag, WorkSums},
    std::{collections::BTreeMap, time::Duration},
};

/// Steps into which the fair level is divided to order waiting requests. Accounts with about the
/// same share are ordered by urgency.
const SHARE_STEPS: f64 = 8.0;

/// Factor on the served work that a plan gives away. Without an excess no request would be left to
/// show that the capacity is still short, and a capacity that grows would not be found.
const PLAN_EXCESS: f64 = 1.01;

/// Multiple of the fair level up to which the requests of an account are accepted whole. Counts of
/// accounts with few requests vary, and one that offers less than the level must not be limited.
const WHOLE_ACCEPTANCE: f64 = 1.1;

/// Part of the work of unlimited accounts that may find no room without a change of the plan.
const TOLERATED_LOSS: f64 = 0.005;

/// Reduction of the work given away relative to the loss of unlimited accounts above that.
const LOSS_GAIN: f64 = 3.0;

/// Largest such reduction. A loss also has other causes, such as requests that no group can serve
/// in time, and a larger reduction would leave capacity unused.
const MAX_REDUCTION: f64 = 0.08;

/// Work of the last seconds at a model over all nodes heard, by priority and account.
pub type ClassTotals = BTreeMap<(u8, AccountTag), WorkSums>;

/// Which part of the requests of each account a model can accept.
///
/// More urgent priorities are filled first. At the priority at which the capacity ends, each
/// account gets the work that it offers or the fair level, whichever is less, so that what small
/// accounts leave goes to the others. Less urgent priorities get nothing.
#[derive(Debug, Clone, Default)]
pub struct AdmissionPlan {
    totals: ClassTotals,
    /// Priority at which the capacity ends, and the fair level there in milliseconds of work; none
    /// when the capacity suffices for all.
    limit: Option<(u8, f64)>,
    /// Time at which the plan was made.
    pub made_at: Duration,
    /// Age of the oldest count of another node at that time; zero without any.
    pub counts_age: Duration,
}

impl AdmissionPlan {
    /// Plans for `capacity` milliseconds of work in the time that the totals cover.
    ///
    /// ```
    /// use toucanring::core::fairness::{AccountTag, AdmissionPlan, ClassTotals, WorkSums};
    ///
    /// let mut totals = ClassTotals::new();
    /// for (account, offered) in [(1, 100.0), (2, 300.0), (3, 900.0)] {
    ///     let work = WorkSums { offered, served: 0.0 };
    ///     totals.insert((0, AccountTag(account)), work);
    /// }
    /// let plan = AdmissionPlan::new(totals, 600.0);
    /// assert_eq!(plan.level(), Some((0, 250.0)));
    /// assert!((plan.acceptance(0, AccountTag(1)) - 1.0).abs() < 1e-9);
    /// assert!((plan.acceptance(0, AccountTag(3)) - 250.0 / 900.0).abs() < 1e-9);
    /// assert!(plan.acceptance(1, AccountTag(1)) < 1e-9);
    /// ```
    #[must_use]
    pub fn new(totals: ClassTotals, capacity: f64) -> Self {
        let mut left = capacity;
        let mut limit = None;
        let mut demands: BTreeMap<u8, Vec<f64>> = BTreeMap::new();
        for ((priority, _), work) in &totals {
            demands.entry(*priority).or_default().push(work.offered);
        }
        for (priority, demands) in demands {
            let demand: f64 = demands.iter().sum();
            if demand > left {
                limit = Some((priority, fair_level(demands, left)));
                break;
            }
            left -= demand;
        }
        Self {
            totals,
            limit,
            ..Self::default()
        }
    }

    /// Probability with which a request of an account is accepted, from 0 to 1. An account that
    /// offered nothing before is below the fair level.
    #[must_use]
    pub fn acceptance(&self, priority: u8, account: AccountTag) -> f64 {
        let Some((limited, level)) = self.limit else {
            return 1.0;
        };
        if priority != limited {
            return if priority < limited { 1.0 } else { 0.0 };
        }
        let work = self.totals.get(&(priority, account));
        let offered = work.map_or(0.0, |work| work.offered);
        if offered <= WHOLE_ACCEPTANCE * level {
            1.0
        } else {
            level / offered
        }
    }

    /// Share of the fair level that an account has used, in eighths; the order in which waiting
    /// requests of one priority get free slots. Zero where the capacity suffices.
    #[must_use]
    pub fn used_share(&self, priority: u8, account: AccountTag) -> u8 {
        let Some((limited, level)) = self.limit else {
            return 0;
        };
        let work = self.totals.get(&(priority, account));
        let served = work.map_or(0.0, |work| work.served);
        if priority != limited || level <= 0.0 {
            return 0;
        }
        // A float to integer cast saturates, and the share is not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let share = (SHARE_STEPS * served / level).round() as u8;
        share
    }

    /// Factor on the served work of `totals` that the next plan may give away.
    ///
    /// Accounts below the fair level are accepted whole. When a part of their work still finds no
    /// room, too much is accepted from the others, and the next plan gives away less.
    #[must_use]
    pub fn capacity_factor(&self, totals: &ClassTotals) -> f64 {
        let mut whole = WorkSums::default();
        for ((priority, account), work) in totals {
            if self.acceptance(*priority, *account) >= 1.0 {
                whole.add(*work);
            }
        }
        if self.limit.is_none() || whole.offered <= 0.0 {
            return PLAN_EXCESS;
        }
        let lost = 1.0 - whole.served / whole.offered;
        let reduction = LOSS_GAIN * (lost - TOLERATED_LOSS);
        PLAN_EXCESS * (1.0 - reduction.clamp(0.0, MAX_REDUCTION))
    }

    /// Priority at which the capacity ends, and the fair level of an account there in milliseconds
    /// of work; none when the capacity suffices for all.
    #[must_use]
    pub const fn level(&self) -> Option<(u8, f64)> {
        self.limit
    }

    /// Work of all accounts in the last seconds.
    #[must_use]
    pub fn total(&self) -> WorkSums {
        let mut total = WorkSums::default();
        for work in self.totals.values() {
            total.add(*work);
        }
        total
    }

    /// Numbers of accounts and priorities with requests, and of those that are limited.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let classes = self.totals.keys();
        let limited =
            classes.filter(|(priority, account)| self.acceptance(*priority, *account) < 1.0);
        (self.totals.len(), limited.count())
    }
}

/// Level at which the demands, each cut off at the level, add up to `capacity`, which is less than
/// their sum.
fn fair_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity.max(0.0);
    let mut accounts = demands.len();
    for demand in demands {
        // The number of accounts is far below 2^52.
        #[allow(clippy::cast_precision_loss)]
        let level = left / accounts.max(1) as f64;
        if demand >= level {
            return level;
        }
        left -= demand;
        accounts -= 1;
    }
    f64::INFINITY
}
