use {
    crate::wire::{GroupEntry, GroupMembership, InstanceReport, InstanceState},
    std::{collections::HashMap, time::Duration},
};

/// Maximum age of a member's own report that confirms or contradicts a group; the withdrawal bound.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

value_type! {
    /// Fields kept of the newest report of an instance about itself.
    pub struct MemberReport {
        /// Monotonic time just before the report was requested.
        pub requested_at: Duration,
        /// Incarnation of the backend server; changes with each start.
        pub incarnation: u64,
        /// What the instance is doing; only a ready one confirms its group.
        pub state: InstanceState,
        /// Group, epoch and rank that the instance believes to have; `None` if it is in no group.
        pub membership: Option<GroupMembership>,
        /// Whether the backend server is about to leave and wants no new work.
        pub leaving: bool,
        /// Engine crashes since the start of the backend server.
        pub crashes: u32,
    }
}

/// Newest report of each instance from which this gateway requested one, by instance name.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    reports: HashMap<String, MemberReport>,
}

impl MemberWatch {
    /// Records the report of an instance that was requested at `requested_at`, unless a later
    /// request was answered already.
    pub fn record(&mut self, requested_at: Duration, report: &InstanceReport) {
        let member_report = MemberReport {
            requested_at,
            incarnation: report.incarnation,
            state: report.state,
            membership: report.membership.clone(),
            leaving: report.leaving,
            crashes: report.crashes,
        };
        let newer = self
            .reports
            .get(&report.instance)
            .is_none_or(|known| known.requested_at <= requested_at);
        if newer {
            self.reports.insert(report.instance.clone(), member_report);
        }
    }

    /// Newest report of an instance; `None` if it has never answered.
    #[must_use]
    pub fn newest_report(&self, instance: &str) -> Option<&MemberReport> {
        self.reports.get(instance)
    }

    /// Whether the newest report of an instance says that it is leaving.
    #[must_use]
    pub fn leaving(&self, instance: &str) -> bool {
        self.reports
            .get(instance)
            .is_some_and(|report| report.leaving)
    }

    /// Whether every member reported to be ready in this group, epoch, rank and incarnation within
    /// the withdrawal bound.
    #[must_use]
    pub fn confirms(&self, now: Duration, entry: &GroupEntry) -> bool {
        !entry.members.is_empty()
            && (0..entry.members.len()).all(|rank| {
                self.agrees(entry, rank)
                    .is_some_and(|(requested_at, agrees)| {
                        agrees && now.saturating_sub(requested_at) < MAX_REPORT_AGE
                    })
            })
    }

    /// Whether the report of a member that was requested since `since` and within the withdrawal
    /// bound contradicts the entry.
    #[must_use]
    pub fn contradicts(&self, now: Duration, since: Duration, entry: &GroupEntry) -> bool {
        (0..entry.members.len()).any(|rank| {
            self.agrees(entry, rank)
                .is_some_and(|(requested_at, agrees)| {
                    let fresh =
                        requested_at >= since && now.saturating_sub(requested_at) < MAX_REPORT_AGE;
                    !agrees && fresh
                })
        })
    }

    /// When the report of the member with this rank was requested, and whether it agrees with the
    /// entry; `None` if the member has never answered.
    fn agrees(&self, entry: &GroupEntry, rank: usize) -> Option<(Duration, bool)> {
        let member = entry.members.get(rank)?;
        let report = self.reports.get(&member.instance)?;
        let same_membership = report.membership.as_ref().is_some_and(|membership| {
            membership.group == entry.id
                && membership.epoch == entry.epoch
                && usize::try_from(membership.rank) == Ok(rank)
        });
        let ready = report.state == InstanceState::Ready && !report.leaving;
        let same_incarnation = report.incarnation == member.incarnation;
        Some((
            report.requested_at,
            same_membership && ready && same_incarnation,
        ))
    }
}
