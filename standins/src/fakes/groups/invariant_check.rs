use {
    super::{FakeInstance, FakeTable},
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        conf::OperatorText,
        core::groups::{GroupRow, MemberRow},
        wire::{FencingNumber, GroupEntry, GroupId, GroupState, MemberOrder, OrderBody},
    },
};

/// Time within which a group with a missing member must stop serving.
const DETECTION: Duration = Duration::from_secs(2);
/// Age of the newest heartbeat from which gateways ask the members themselves.
const SILENCE: Duration = Duration::from_secs(2);
/// Time after which an order of a former holder may not take effect on a
/// server that ignores fencing numbers: order deadline and settling time.
const LAST_ARRIVAL: Duration = Duration::from_secs(2);
/// Violations that are kept.
const MAX_VIOLATIONS: usize = 100;

/// A group as gateways know it.
#[derive(Debug, Clone)]
pub struct KnownGroup {
    /// Newest entry.
    pub entry: GroupEntry,
    /// Index of its service in the operator text.
    pub service: usize,
    /// Indices of its members.
    pub members: Vec<usize>,
    /// Every member is in its place, whatever the entry says.
    pub whole: bool,
    /// Since when a member is missing.
    broken_since: Option<Duration>,
}

impl KnownGroup {
    /// True when the group takes and can run new requests.
    #[must_use]
    pub fn is_useful(&self) -> bool {
        self.entry.state == GroupState::Serving && !self.entry.draining && self.whole
    }
}

/// Checks the invariants after every event, from the gateways' point of view.
#[derive(Debug)]
pub struct InvariantCheck {
    /// Groups that gateways know.
    pub groups: BTreeMap<GroupId, KnownGroup>,
    /// Breaches, in order; at most 100.
    pub violations: Vec<String>,
    services: Vec<String>,
    names: BTreeMap<String, usize>,
    heard: BTreeMap<String, Duration>,
    /// Highest term of a holder that has published, and since when, by failure domain.
    acted: BTreeMap<String, (u64, Duration)>,
    /// Highest number of a join that took effect, by instance.
    joined: BTreeMap<String, FencingNumber>,
}

impl InvariantCheck {
    /// Creates a check for these instances.
    #[must_use]
    pub fn new(text: &OperatorText, instances: &[FakeInstance]) -> Self {
        let names = instances.iter().enumerate();
        let services = text.model_services.iter();
        Self {
            groups: BTreeMap::new(),
            violations: Vec::new(),
            services: services.map(|service| service.name.clone()).collect(),
            names: names
                .map(|(index, instance)| (instance.name.clone(), index))
                .collect(),
            heard: BTreeMap::new(),
            acted: BTreeMap::new(),
            joined: BTreeMap::new(),
        }
    }

    fn breach(&mut self, now: Duration, text: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations
                .push(format!("{:.3} {text}", now.as_secs_f64()));
        }
    }

    /// Takes in a published entry; false when a newer one is known.
    pub(super) fn learn(&mut self, now: Duration, entry: &GroupEntry) -> bool {
        let known = self.groups.get(&entry.id);
        if known.is_some_and(|known| known.entry.version >= entry.version) {
            return false;
        }
        // Withdrawals have odd numbers and need no lease.
        if entry.version.sequence.is_multiple_of(2) {
            let acted = self.acted.entry(entry.failure_domain.clone()).or_default();
            if entry.version.term > acted.0 {
                *acted = (entry.version.term, now);
            }
        }
        let members = entry.members.iter();
        let group = KnownGroup {
            service: self
                .services
                .iter()
                .position(|name| *name == entry.service)
                .unwrap_or(0),
            members: members
                .filter_map(|member| self.names.get(&member.instance).copied())
                .collect(),
            entry: entry.clone(),
            whole: false,
            broken_since: known.and_then(|known| known.broken_since),
        };
        // A dissolved group stays known, so that an older entry does not bring it back.
        self.groups.insert(entry.id.clone(), group);
        if entry.state == GroupState::Serving {
            self.check_overlap(now, entry);
        }
        true
    }

    fn check_overlap(&mut self, now: Duration, entry: &GroupEntry) {
        let mut breaches = Vec::new();
        for other in self.groups.values() {
            if other.entry.id == entry.id || other.entry.state != GroupState::Serving {
                continue;
            }
            for member in &entry.members {
                if other
                    .entry
                    .members
                    .iter()
                    .any(|known| known.instance == member.instance)
                {
                    breaches.push(format!(
                        "{} serves in {} and {}",
                        member.instance, entry.id.0, other.entry.id.0
                    ));
                }
            }
        }
        for breach in breaches {
            self.breach(now, &breach);
        }
    }

    /// Notes a heartbeat of a lease holder.
    pub(super) fn heard(&mut self, now: Duration, failure_domain: &str) {
        self.heard.insert(failure_domain.to_owned(), now);
    }

    /// Checks that no group serves while a member is missing.
    pub(super) fn groups(&mut self, now: Duration, instances: &[FakeInstance]) {
        let mut breaches = Vec::new();
        for group in self.groups.values_mut() {
            group.whole = is_whole(now, group, instances);
            if group.whole || group.entry.state != GroupState::Serving {
                group.broken_since = None;
                continue;
            }
            let since = *group.broken_since.get_or_insert(now);
            let heard = self.heard.get(&group.entry.failure_domain);
            let guided = heard.is_some_and(|heard| now < *heard + SILENCE);
            if guided && now > since + DETECTION {
                breaches.push(format!(
                    "{} serves {:.2} s after a member went missing",
                    group.entry.id.0,
                    now.saturating_sub(since).as_secs_f64()
                ));
                group.broken_since = None;
            }
        }
        for breach in breaches {
            self.breach(now, &breach);
        }
    }

    /// Checks that no instance is in two groups by the table.
    pub(super) fn table(&mut self, now: Duration, table: &FakeTable) {
        let mut listed: BTreeMap<String, String> = BTreeMap::new();
        let mut breaches = Vec::new();
        for row in table.scan("group/") {
            let Ok(group) = serde_json::from_value::<GroupRow>(row.value) else {
                continue;
            };
            for member in group.members {
                if let Some(other) = listed.insert(member.clone(), row.key.clone()) {
                    breaches.push(format!("{member} is in rows {other} and {}", row.key));
                }
            }
        }
        for row in table.scan("member/") {
            let name = row.key.trim_start_matches("member/");
            let Ok(member) = serde_json::from_value::<MemberRow>(row.value) else {
                continue;
            };
            let Some(group) = listed.get(name) else {
                continue;
            };
            if !group.ends_with(&format!("/{}", member.group.0)) {
                breaches.push(format!(
                    "{name} is in row {group} but belongs to {}",
                    member.group.0
                ));
            }
        }
        for breach in breaches {
            self.breach(now, &breach);
        }
    }

    /// Checks that a join that took effect came from a holder with a right to it.
    pub(super) fn order(&mut self, now: Duration, target: &FakeInstance, order: &MemberOrder) {
        let OrderBody::Join(join) = &order.order else {
            return;
        };
        let number = order.fencing;
        let former = self.joined.get(&target.name).copied().unwrap_or_default();
        let acted = self.acted.get(&target.failure_domain).copied();
        let (acted, since) = acted.unwrap_or_default();
        if number < former {
            let text = format!(
                "{} takes join {} {number:?} after {former:?}",
                target.name, join.membership.group.0
            );
            self.breach(now, &text);
        } else if number.term < acted && (target.checks_fencing || now > since + LAST_ARRIVAL) {
            let text = format!(
                "{} takes join of term {} after term {acted} acted",
                target.name, number.term
            );
            self.breach(now, &text);
        }
        self.joined.insert(target.name.clone(), number.max(former));
    }

    /// Forgets what an instance had joined before it restarted.
    pub(super) fn restarted(&mut self, name: &str) {
        self.joined.remove(name);
    }
}

fn is_whole(now: Duration, group: &KnownGroup, instances: &[FakeInstance]) -> bool {
    let entry = &group.entry;
    let pairs = (0u32..).zip(group.members.iter().zip(&entry.members));
    let mut places = pairs.map(|(rank, (index, member))| {
        let instance = &instances[*index];
        instance.answers(now)
            && instance.incarnation == member.incarnation
            && instance.bytes_left == 0
            && instance.membership.as_ref().is_some_and(|place| {
                place.rank == rank && place.epoch == entry.epoch && place.group == entry.id
            })
    });
    places.all(|in_place| in_place) && group.members.len() == entry.members.len()
}
