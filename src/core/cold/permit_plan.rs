use std::time::Duration;

/// Longest delay of a request after its permit that does not delay the following permits: a node looks
/// at its waiting requests every 30 ms.
pub(super) const MAX_LATENESS: Duration = Duration::from_millis(30);

/// Length of the window in which a node's permits are counted: one second, [`MAX_LATENESS`], and
/// 50 ms since two requests may reach the server closer together than they were sent.
const WINDOW_S: f64 = 1.08;

/// Shares of the tolerated rate that a plan with a reserve must use. The first one that any plan
/// reaches decides.
const RATE_SHARES: [f64; 2] = [0.95, 0.85];

/// Difference between two shares of the rate that is due to rounding.
const SAME_RATE_SHARE: f64 = 1e-9;

/// Largest number of nodes that send to one server. More would only lengthen the search for a plan.
const MAX_SENDERS: usize = 512;

value_type! {
    /// How many nodes send to a cold server, and how often each of them may do so.
    #[derive(Copy)]
    pub struct PermitPlan {
        /// Number of nodes that may send to the server.
        pub senders: usize,
        /// Time between two permits of one node for the server.
        pub interval: Duration,
        /// Nodes beyond `senders` that may send as often without breaking the bound, as when nodes
        /// differ in their lists of living nodes.
        pub reserve: usize,
    }
}

/// A plan with its figures for the comparison.
struct PlanChoice {
    plan: PermitPlan,
    /// Share of the tolerated rate that the plan uses.
    rate_share: f64,
}

impl PermitPlan {
    /// Plans for a server that tolerates `per_s` requests per second and may get `max_in_second` in
    /// any second, in a failure domain of `nodes` nodes. The phases of the nodes may coincide. None
    /// when no node may send without breaking the bound.
    ///
    /// ```
    /// use toucanring::core::cold::PermitPlan;
    ///
    /// let plan = PermitPlan::choose(14.0, 26.0, 22).unwrap();
    /// // Each node sends less than once a second, so that 26 nodes may.
    /// assert!(plan.interval.as_secs_f64() > 1.0);
    /// assert_eq!(plan.senders + plan.reserve, 26);
    /// ```
    #[must_use]
    pub fn choose(per_s: f64, max_in_second: f64, nodes: usize) -> Option<Self> {
        let mut best: Option<PlanChoice> = None;
        for senders in 1..=nodes.min(MAX_SENDERS) {
            for sends in sends_to_compare(per_s, max_in_second, senders) {
                let Some(choice) = plan_of(per_s, max_in_second, senders, sends) else {
                    continue;
                };
                if best.as_ref().is_none_or(|other| choice.is_better(other)) {
                    best = Some(choice);
                }
            }
        }
        best.map(|choice| choice.plan)
    }
}

/// Numbers of requests in the window that one of `senders` nodes may send: the one for the whole
/// tolerated rate, one less, and the largest ones that keep the bound without and with a reserve.
fn sends_to_compare(per_s: f64, max_in_second: f64, senders: usize) -> [f64; 4] {
    #[allow(clippy::cast_precision_loss)] // few nodes
    let senders = senders as f64;
    let full = (WINDOW_S * per_s / senders).ceil();
    let bounded = (max_in_second / senders).floor().min(full);
    let reserved = (max_in_second / (senders + 1.0)).floor().min(full);
    [full, full - 1.0, bounded, reserved]
}

fn plan_of(per_s: f64, max_in_second: f64, senders: usize, sends: f64) -> Option<PlanChoice> {
    if sends < 1.0 || per_s <= 0.0 {
        return None;
    }
    // A request is sent at both ends of a window that is a multiple of the interval.
    #[allow(clippy::cast_precision_loss)] // few nodes
    let count = senders as f64;
    let interval = (count / per_s).max(WINDOW_S / sends);
    let room = (max_in_second / sends).floor() - count;
    if room < 0.0 {
        return None;
    }
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // not negative
    let reserve = room as usize;
    Some(PlanChoice {
        plan: PermitPlan {
            senders,
            interval: Duration::try_from_secs_f64(interval).unwrap_or(Duration::MAX),
            reserve,
        },
        rate_share: count / interval / per_s,
    })
}

impl PlanChoice {
    /// Reserve that counts in the comparison: lists of living nodes rarely differ in more than half
    /// of the senders.
    fn useful_reserve(&self) -> usize {
        self.plan.reserve.min(self.plan.senders.div_ceil(2))
    }

    /// Number of the rate shares that the plan reaches with a reserve.
    fn rank(&self) -> usize {
        let reached = RATE_SHARES
            .iter()
            .filter(|share| self.rate_share >= **share);
        if self.plan.reserve == 0 {
            0
        } else {
            reached.count()
        }
    }

    fn is_better(&self, other: &Self) -> bool {
        let rank = self.rank();
        if rank != other.rank() {
            return rank > other.rank();
        }
        if rank > 0 && self.useful_reserve() != other.useful_reserve() {
            return self.useful_reserve() > other.useful_reserve();
        }
        if (self.rate_share - other.rate_share).abs() > SAME_RATE_SHARE {
            return self.rate_share > other.rate_share;
        }
        // With more senders, less is lost with one of them, and one too many sends less.
        let order = |choice: &Self| (choice.plan.reserve, choice.plan.senders);
        order(self) > order(other)
    }
}
