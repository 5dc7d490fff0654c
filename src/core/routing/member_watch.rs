use {
    crate::wire::{GroupEntry, InstanceReport, InstanceState, MemberRef},
    std::{collections::HashMap, time::Duration},
};

/// Age up to which a member's own report counts; the withdrawal bound.
const EVIDENCE_AGE: Duration = Duration::from_secs(2);

value_type! {
    /// What an instance said about itself.
    pub struct MemberEvidence {
        /// Monotonic time before the question was sent.
        pub asked_at: Duration,
        /// Incarnation of the backend server.
        pub incarnation: u64,
        /// State.
        pub state: InstanceState,
        /// Group that it believes to be in.
        pub membership: Option<MemberRef>,
        /// True when it wants no new work.
        pub leaving: bool,
        /// Engine crashes since its start.
        pub crashes: u32,
    }
}

/// Newest report of each instance that this gateway asked.
#[derive(Debug, Clone, Default)]
pub struct MemberWatch {
    seen: HashMap<String, MemberEvidence>,
}

impl MemberWatch {
    /// Takes the report of an instance that was asked at `asked_at`.
    pub fn take(&mut self, asked_at: Duration, report: &InstanceReport) {
        let evidence = MemberEvidence {
            asked_at,
            incarnation: report.incarnation,
            state: report.state,
            membership: report.membership.clone(),
            leaving: report.leaving,
            crashes: report.crashes,
        };
        let newer = self
            .seen
            .get(&report.instance)
            .is_none_or(|known| known.asked_at <= asked_at);
        if newer {
            self.seen.insert(report.instance.clone(), evidence);
        }
    }

    /// Newest evidence about an instance.
    #[must_use]
    pub fn evidence(&self, instance: &str) -> Option<&MemberEvidence> {
        self.seen.get(instance)
    }

    /// True when an instance said that it is leaving.
    #[must_use]
    pub fn leaving(&self, instance: &str) -> bool {
        self.seen.get(instance).is_some_and(|seen| seen.leaving)
    }

    /// True when every member reported this group, epoch, rank and incarnation
    /// within the withdrawal bound.
    #[must_use]
    pub fn confirms(&self, now: Duration, entry: &GroupEntry) -> bool {
        !entry.members.is_empty()
            && (0..entry.members.len()).all(|rank| {
                self.agrees(entry, rank).is_some_and(|(asked_at, agrees)| {
                    agrees && now.saturating_sub(asked_at) < EVIDENCE_AGE
                })
            })
    }

    /// True when a member that was asked since `since` and within the withdrawal
    /// bound contradicts the entry.
    #[must_use]
    pub fn contradicts(&self, now: Duration, since: Duration, entry: &GroupEntry) -> bool {
        (0..entry.members.len()).any(|rank| {
            self.agrees(entry, rank).is_some_and(|(asked_at, agrees)| {
                let fresh = asked_at >= since && now.saturating_sub(asked_at) < EVIDENCE_AGE;
                !agrees && fresh
            })
        })
    }

    /// When the member of this rank was asked, and whether its report fits the entry.
    fn agrees(&self, entry: &GroupEntry, rank: usize) -> Option<(Duration, bool)> {
        let member = entry.members.get(rank)?;
        let seen = self.seen.get(&member.instance)?;
        let fits = seen.membership.as_ref().is_some_and(|membership| {
            membership.group == entry.id
                && membership.epoch == entry.epoch
                && usize::try_from(membership.rank) == Ok(rank)
        });
        let ready = seen.state == InstanceState::Ready && !seen.leaving;
        let same = seen.incarnation == member.incarnation;
        Some((seen.asked_at, fits && ready && same))
    }
}
