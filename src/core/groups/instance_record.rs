use {
    super::{
        group_rows::{KnownRow, MemberRow},
        group_timing::GroupTiming,
    },
    crate::{
        core::keys::GroupKey,
        wire::{GroupMembership, InstanceReport},
    },
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// The rank that an instance is assigned in a group.
    #[derive(Copy, Eq)]
    pub(super) struct Assignment {
        pub group: GroupKey,
        pub epoch: u64,
        pub rank: u32,
    }

    /// What the group manager knows of an instance of its failure domain.
    #[allow(clippy::struct_excessive_bools)] // set independently of each other
    pub(super) struct InstanceRecord {
        pub name: String,
        pub address: SocketAddr,
        /// Index of the fabric domain in the operator text; 0 when it is not listed there.
        pub fabric: u16,
        /// Number of accelerators; 0 for an instance that only runs plain services.
        pub accelerators: u32,
        /// True when the backend server refuses orders with an old fencing number.
        pub checks_fencing: bool,
        /// False once the operator text no longer lists the instance.
        pub configured: bool,
        /// Newest report by the time of its poll.
        pub report: Option<InstanceReport>,
        /// When the poll of the newest report was sent.
        pub polled_at: Duration,
        pub next_poll: Duration,
        /// True when the platform lists the instance as leaving.
        pub listed_leaving: bool,
        /// True when the operator text drains the instance.
        pub drained: bool,
        /// True once the instance accepts only orders of this term or later.
        pub fenced: bool,
        /// True when its row assigns the instance to a group of another failure domain.
        pub foreign: bool,
        pub assigned: Option<Assignment>,
        pub row: KnownRow<MemberRow>,
        /// When the last order was sent; `None` once it was accepted or no longer applies.
        pub ordered_at: Option<Duration>,
        /// Time until which the last order may still arrive; `None` once it is answered.
        pub order_open_until: Option<Duration>,
        /// True when the instance was unresponsive at the last check.
        pub failed: bool,
        /// Failures since the instance was last stable.
        pub failures: u32,
        pub failed_at: Duration,
        /// The instance is not used for repairs or new groups before this time.
        pub backoff_until: Duration,
        /// When the instance's steps became slow relative to its group; `None` while they are not.
        pub slow_since: Option<Duration>,
    }
}

impl InstanceRecord {
    /// Creates a record without any report.
    pub fn new(name: &str, address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            address,
            fabric: 0,
            accelerators: 0,
            checks_fencing: false,
            configured: true,
            report: None,
            polled_at: Duration::ZERO,
            next_poll: Duration::ZERO,
            listed_leaving: false,
            drained: false,
            fenced: false,
            foreign: false,
            assigned: None,
            row: KnownRow::default(),
            ordered_at: None,
            order_open_until: None,
            failed: false,
            failures: 0,
            failed_at: Duration::ZERO,
            backoff_until: Duration::ZERO,
            slow_since: None,
        }
    }

    /// True when the newest report is recent. Its age is counted from the poll, or from `resumed_at`
    /// if this process resumed later than that, since no report arrives while it is paused.
    pub fn is_fresh(&self, now: Duration, resumed_at: Duration, timing: &GroupTiming) -> bool {
        self.report.is_some() && now < self.polled_at.max(resumed_at) + timing.unresponsive_after
    }

    /// True when the instance is stopping, drained by the operator or no longer configured.
    pub fn is_leaving(&self) -> bool {
        self.is_stopping() || self.drained || !self.configured
    }

    /// True when the instance is about to stop, by its own report or the platform's list.
    pub fn is_stopping(&self) -> bool {
        self.listed_leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Group, epoch and rank that the instance reports.
    pub fn membership(&self) -> Option<&GroupMembership> {
        self.report.as_ref()?.membership.as_ref()
    }

    /// Incarnation in the newest report; 0 when there is none.
    pub fn incarnation(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.incarnation)
    }

    /// Counts a failure and sets the backoff of a repeatedly failing instance.
    pub fn count_failure(&mut self, now: Duration, timing: &GroupTiming) {
        let stable = self.failures == 0 || now > self.failed_at + timing.stable_after;
        self.failures = if stable { 1 } else { self.failures + 1 };
        self.failed_at = now;
        // No backoff after the first failure, so that repaired hardware is used again at once.
        let doublings = self.failures.saturating_sub(2).min(8);
        if self.failures > 1 {
            let wait = timing.initial_backoff * 2u32.pow(doublings);
            self.backoff_until = now + wait.min(timing.max_backoff);
        }
    }
}
