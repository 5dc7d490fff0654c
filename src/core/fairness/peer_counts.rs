use {
    super::{ModelTag, ReportScope, ShareClass, ShareReport, WorkSums},
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which a count of other nodes is dropped; nodes that are cut off no longer count then.
const COUNT_TTL: Duration = Duration::from_secs(3);

value_type! {
    /// Whose requests a received count covers.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub enum CountSource {
        /// Those of another node of the own failure domain, by its boot number.
        Node(u64),
        /// Those of another failure domain, by the hash of its name. The count of any of its nodes
        /// replaces that of another.
        FailureDomain(u32),
    }
}

#[derive(Debug, Clone, Copy)]
struct ReceivedCount {
    work: WorkSums,
    received_at: Duration,
}

/// The latest counts of the other nodes by class.
#[derive(Debug, Clone, Default)]
pub struct PeerCounts {
    counts: BTreeMap<(ShareClass, CountSource), ReceivedCount>,
}

impl CountSource {
    /// Source of a report of the node with this boot number; none when the report is not meant for
    /// nodes of `own_domain`.
    #[must_use]
    pub fn of(scope: ReportScope, boot: u64, domain: &str, own_domain: &str) -> Option<Self> {
        match scope {
            ReportScope::Node => (domain == own_domain).then_some(Self::Node(boot)),
            ReportScope::FailureDomain => (domain != own_domain)
                .then(|| Self::FailureDomain(super::share_keys::hash_of(&[domain]))),
        }
    }
}

impl PeerCounts {
    /// Replaces the counts of a source that a report names.
    pub fn take(&mut self, now: Duration, source: CountSource, report: &ShareReport) {
        for count in &report.accounts {
            let class = ShareClass {
                model: report.model,
                priority: count.priority,
                account: count.account,
            };
            let received = ReceivedCount {
                work: count.work(),
                received_at: now,
            };
            self.counts.insert((class, source), received);
        }
    }

    /// Drops the counts that are too old.
    pub fn expire(&mut self, now: Duration) {
        self.counts
            .retain(|_, count| now < count.received_at + COUNT_TTL);
    }

    /// The counts of a model, with their sources and the times at which they were received.
    pub fn of_model(
        &self,
        model: ModelTag,
    ) -> impl Iterator<Item = (ShareClass, CountSource, WorkSums, Duration)> {
        let first = (ShareClass::first_of(model), CountSource::Node(0));
        let counts = self.counts.range(first..);
        counts
            .take_while(move |((class, _), _)| class.model == model)
            .map(|((class, source), count)| (*class, *source, count.work, count.received_at))
    }
}
