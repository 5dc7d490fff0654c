use {
    super::{
        group_rows::{KnownRow, MemberRow},
        group_timing::GroupTiming,
    },
    crate::{
        core::keys::GroupKey,
        wire::{InstanceReport, MemberRef},
    },
    std::{net::SocketAddr, time::Duration},
};

value_type! {
    /// Place of an instance in a group.
    #[derive(Copy, Eq)]
    pub(super) struct Assignment {
        pub group: GroupKey,
        pub epoch: u64,
        pub rank: u32,
    }

    /// What the keeper knows of an instance of its failure domain.
    #[allow(clippy::struct_excessive_bools)] // independent facts
    pub(super) struct InstanceRecord {
        pub name: String,
        pub address: SocketAddr,
        /// Index of the fabric domain.
        pub fabric: u16,
        pub accelerators: u32,
        pub checks_fencing: bool,
        /// False once the operator text no longer lists the instance.
        pub configured: bool,
        /// Newest report; reports are ordered by the time of their poll.
        pub report: Option<InstanceReport>,
        pub polled_at: Duration,
        pub next_poll: Duration,
        pub listed_leaving: bool,
        pub drained: bool,
        /// True once the instance accepts only orders of this term or later.
        pub fenced: bool,
        /// The table gives the instance to a group of another failure domain.
        pub foreign: bool,
        pub assigned: Option<Assignment>,
        pub row: KnownRow<MemberRow>,
        pub ordered_at: Option<Duration>,
        /// Until then the last order may still arrive; `None` once it is answered.
        pub order_open_until: Option<Duration>,
        /// Was unresponsive or restarted at the last check.
        pub failed: bool,
        pub failures: u32,
        pub failed_at: Duration,
        pub backoff_until: Duration,
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

    /// True when the newest report is recent; `resumed_at` is when this
    /// process last resumed, since it hears nothing while it is paused.
    pub fn is_fresh(&self, now: Duration, resumed_at: Duration, timing: &GroupTiming) -> bool {
        self.report.is_some() && now < self.polled_at.max(resumed_at) + timing.unresponsive_after
    }

    /// True when the instance or its operator wants it out of service.
    pub fn is_leaving(&self) -> bool {
        self.is_stopping() || self.drained || !self.configured
    }

    /// True when the instance itself is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.listed_leaving || self.report.as_ref().is_some_and(|report| report.leaving)
    }

    /// Group that the instance reports to be in.
    pub fn membership(&self) -> Option<&MemberRef> {
        self.report.as_ref()?.membership.as_ref()
    }

    /// Incarnation of the newest report; 0 when there is none.
    pub fn incarnation(&self) -> u64 {
        self.report.as_ref().map_or(0, |report| report.incarnation)
    }

    /// Counts a failure and sets the wait of a flapping instance.
    pub fn count_failure(&mut self, now: Duration, timing: &GroupTiming) {
        let stable = self.failures == 0 || now > self.failed_at + timing.stable_after;
        self.failures = if stable { 1 } else { self.failures + 1 };
        self.failed_at = now;
        // The first failure costs no wait, so that repaired hardware returns at once.
        let doublings = self.failures.saturating_sub(2).min(8);
        if self.failures > 1 {
            let wait = timing.initial_backoff * 2u32.pow(doublings);
            self.backoff_until = now + wait.min(timing.max_backoff);
        }
    }
}
