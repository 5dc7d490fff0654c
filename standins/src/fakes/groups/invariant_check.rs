use {
    super::{FakeInstance, FakeTable},
    std::{collections::BTreeMap, time::Duration},
    toucanring::{
        conf::OperatorText,
        core::groups::{GroupRow, MemberRow},
        wire::{FencingNumber, GroupEntry, GroupId, GroupState, MemberOrder, OrderBody},
    },
};

/// Time after a member goes missing within which its group must stop serving.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_secs(2);
/// Age of a failure domain's newest heartbeat from which gateways ask the members themselves,
/// instead of relying on the group entries.
const CONTROLLER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after a new holder's first publication in which an order of the former holder may still
/// take effect on a server that ignores fencing numbers: order deadline plus settling time.
const STALE_ORDER_GRACE: Duration = Duration::from_secs(2);
/// Number of violations that are kept; later ones are dropped.
const MAX_VIOLATIONS: usize = 100;

/// Replica group as gateways know it from published entries.
#[derive(Debug, Clone)]
pub struct KnownGroup {
    /// Newest published entry.
    pub entry: GroupEntry,
    /// Index of its service in the operator text; 0 when the text does not list it.
    pub service: usize,
    /// Indices of its members in the world's instances, by rank.
    pub members: Vec<usize>,
    /// True when every member answers, has loaded its shard and holds its rank, whatever state the
    /// entry has.
    pub complete: bool,
    /// Virtual time since which the group has served with a missing member.
    member_missing_since: Option<Duration>,
}

impl KnownGroup {
    /// True when gateways send new requests to the group and it can run them.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.entry.state == GroupState::Serving && !self.entry.draining && self.complete
    }
}

/// Checks the invariants of group management after every event, from the gateways' point of view.
#[derive(Debug)]
pub struct InvariantCheck {
    /// Groups that gateways know, including dissolved ones.
    pub groups: BTreeMap<GroupId, KnownGroup>,
    /// Descriptions of the violations with their virtual times, in order; at most 100.
    pub violations: Vec<String>,
    service_names: Vec<String>,
    /// Index of each instance in the world, by name.
    instance_indices: BTreeMap<String, usize>,
    /// Virtual time of the newest heartbeat, by failure domain.
    last_heartbeats: BTreeMap<String, Duration>,
    /// Highest term in which a holder has published, and the virtual time of its first publication,
    /// by failure domain.
    published_terms: BTreeMap<String, (u64, Duration)>,
    /// Highest fencing number of a join that took effect since the start, by instance.
    join_numbers: BTreeMap<String, FencingNumber>,
}

impl InvariantCheck {
    /// Creates a check for these instances.
    #[must_use]
    pub fn new(text: &OperatorText, instances: &[FakeInstance]) -> Self {
        let indexed = instances.iter().enumerate();
        let services = text.model_services.iter();
        Self {
            groups: BTreeMap::new(),
            violations: Vec::new(),
            service_names: services.map(|service| service.name.clone()).collect(),
            instance_indices: indexed
                .map(|(index, instance)| (instance.name.clone(), index))
                .collect(),
            last_heartbeats: BTreeMap::new(),
            published_terms: BTreeMap::new(),
            join_numbers: BTreeMap::new(),
        }
    }

    fn add_violation(&mut self, now: Duration, text: &str) {
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations
                .push(format!("{:.3} {text}", now.as_secs_f64()));
        }
    }

    /// Merges a published entry; returns false when the same or a newer version is known.
    pub(super) fn merge_entry(&mut self, now: Duration, entry: &GroupEntry) -> bool {
        let known = self.groups.get(&entry.id);
        if known.is_some_and(|known| known.entry.version >= entry.version) {
            return false;
        }
        // Withdrawals have odd sequence numbers and need no lease.
        if entry.version.sequence.is_multiple_of(2) {
            let published = self
                .published_terms
                .entry(entry.failure_domain.clone())
                .or_default();
            if entry.version.term > published.0 {
                *published = (entry.version.term, now);
            }
        }
        let members = entry.members.iter();
        let group = KnownGroup {
            service: self
                .service_names
                .iter()
                .position(|name| *name == entry.service)
                .unwrap_or(0),
            members: members
                .filter_map(|member| self.instance_indices.get(&member.instance).copied())
                .collect(),
            entry: entry.clone(),
            complete: false,
            member_missing_since: known.and_then(|known| known.member_missing_since),
        };
        // A dissolved group stays known, so that an older entry does not bring it back.
        self.groups.insert(entry.id.clone(), group);
        if entry.state == GroupState::Serving {
            self.check_overlap(now, entry);
        }
        true
    }

    /// Checks that no member of a serving group is in another serving group.
    fn check_overlap(&mut self, now: Duration, entry: &GroupEntry) {
        let mut violations = Vec::new();
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
                    violations.push(format!(
                        "instance {} serves in groups {} and {}",
                        member.instance, entry.id.0, other.entry.id.0
                    ));
                }
            }
        }
        for violation in violations {
            self.add_violation(now, &violation);
        }
    }

    /// Records a heartbeat of a lease holder.
    pub(super) fn record_heartbeat(&mut self, now: Duration, failure_domain: &str) {
        self.last_heartbeats.insert(failure_domain.to_owned(), now);
    }

    /// Checks that no group still serves [`MAX_WITHDRAWAL_TIME`] after a member went missing.
    pub(super) fn check_serving_groups(&mut self, now: Duration, instances: &[FakeInstance]) {
        let mut violations = Vec::new();
        for group in self.groups.values_mut() {
            group.complete = is_complete(now, group, instances);
            if group.complete || group.entry.state != GroupState::Serving {
                group.member_missing_since = None;
                continue;
            }
            let since = *group.member_missing_since.get_or_insert(now);
            let heartbeat = self.last_heartbeats.get(&group.entry.failure_domain);
            let has_controller =
                heartbeat.is_some_and(|heartbeat| now < *heartbeat + CONTROLLER_TIMEOUT);
            if has_controller && now > since + MAX_WITHDRAWAL_TIME {
                violations.push(format!(
                    "group {} still serves {:.2} s after a member went missing",
                    group.entry.id.0,
                    now.saturating_sub(since).as_secs_f64()
                ));
                group.member_missing_since = None;
            }
        }
        for violation in violations {
            self.add_violation(now, &violation);
        }
    }

    /// Checks the table rows: no instance is in two groups, and group and member rows agree.
    pub(super) fn check_table(&mut self, now: Duration, table: &FakeTable) {
        let mut group_rows: BTreeMap<String, String> = BTreeMap::new();
        let mut violations = Vec::new();
        for row in table.scan("group/") {
            let Ok(group) = serde_json::from_value::<GroupRow>(row.value) else {
                continue;
            };
            for member in group.members {
                if let Some(other) = group_rows.insert(member.clone(), row.key.clone()) {
                    violations.push(format!(
                        "instance {member} is in rows {other} and {}",
                        row.key
                    ));
                }
            }
        }
        for row in table.scan("member/") {
            let name = row.key.trim_start_matches("member/");
            let Ok(member) = serde_json::from_value::<MemberRow>(row.value) else {
                continue;
            };
            let Some(group) = group_rows.get(name) else {
                continue;
            };
            if !group.ends_with(&format!("/{}", member.group.0)) {
                violations.push(format!(
                    "instance {name} is in row {group} but its member row names group {}",
                    member.group.0
                ));
            }
        }
        for violation in violations {
            self.add_violation(now, &violation);
        }
    }

    /// Checks that a join order that took effect is not older than the instance's last one and was
    /// sent by a holder whose order may still take effect. Ignores other orders.
    pub(super) fn check_join(&mut self, now: Duration, target: &FakeInstance, order: &MemberOrder) {
        let OrderBody::Join(join) = &order.order else {
            return;
        };
        let number = order.fencing;
        let last_number = self
            .join_numbers
            .get(&target.name)
            .copied()
            .unwrap_or_default();
        let published = self.published_terms.get(&target.failure_domain).copied();
        let (published_term, since) = published.unwrap_or_default();
        if number < last_number {
            let text = format!(
                "instance {} takes join of group {} with number {number:?} after {last_number:?}",
                target.name, join.membership.group.0
            );
            self.add_violation(now, &text);
        } else if number.term < published_term
            && (target.checks_fencing || now > since + STALE_ORDER_GRACE)
        {
            let text = format!(
                "instance {} takes join of term {} after term {published_term} acted",
                target.name, number.term
            );
            self.add_violation(now, &text);
        }
        self.join_numbers
            .insert(target.name.clone(), number.max(last_number));
    }

    /// Discards the join number of an instance that restarted, which accepts any number again.
    pub(super) fn forget_join(&mut self, name: &str) {
        self.join_numbers.remove(name);
    }
}

fn is_complete(now: Duration, group: &KnownGroup, instances: &[FakeInstance]) -> bool {
    let entry = &group.entry;
    let pairs = (0u32..).zip(group.members.iter().zip(&entry.members));
    let mut matches = pairs.map(|(rank, (index, member))| {
        let instance = &instances[*index];
        instance.is_responsive(now)
            && instance.incarnation == member.incarnation
            && instance.bytes_left == 0
            && instance.membership.as_ref().is_some_and(|membership| {
                membership.rank == rank
                    && membership.epoch == entry.epoch
                    && membership.group == entry.id
            })
    });
    matches.all(|is_member| is_member) && group.members.len() == entry.members.len()
}
