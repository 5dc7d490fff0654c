//! Adoption of groups that earlier holders of the lease have formed.

use {
    super::{FormationAction, FormationGroup, FormationManager, GroupPhase, OrderBody, ServerKey},
    crate::core::fleet::MemberState,
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Time after a server has left a group in which rows and reports from before may still name it.
pub(super) const LEAVE_REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after the end of a server's start in which orders to that start may still be carried out.
const LATE_ORDER_TIME: Duration = Duration::from_mins(1);

value_type! {
    /// Group of a start of a server that has ended.
    pub struct FormerGroup {
        /// Name of the group.
        pub name: String,
        /// Epoch of the group.
        pub epoch: u64,
        /// When the manager learned of the end of that start.
        pub ended_at: Duration,
    }
}

/// Servers that report the same group and epoch, by rank.
type ClaimedRanks = BTreeMap<usize, ServerKey>;

impl FormationManager {
    /// Adopts complete groups that the manager does not know, and orders the
    /// members of incomplete ones to leave.
    pub(super) fn adopt_groups(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for ((name, epoch), claims) in self.unknown_groups(now) {
            let model = self.claimed_model(&claims);
            let size = model.as_ref().and_then(|name| self.profile.model(name));
            let complete = size.is_some_and(|model| {
                claims.len() == model.size && claims.keys().copied().eq(0..claims.len())
            });
            match model {
                Some(model) if complete => self.adopt(now, (name, epoch), model, &claims, out),
                _ => self.dismiss_members(now, &name, epoch, &claims, out),
            }
        }
    }

    /// Groups that servers report and the manager does not know.
    fn unknown_groups(&self, now: Duration) -> BTreeMap<(String, u64), ClaimedRanks> {
        let mut unknown: BTreeMap<(String, u64), ClaimedRanks> = BTreeMap::new();
        for (key, record) in &self.servers {
            let Some(member) = record.membership.as_ref() else {
                continue;
            };
            if record.group.is_some() || !record.present {
                continue;
            }
            let (name, epoch) = (&member.group, member.epoch);
            let has_just_left = record.has_just_left(now, name, epoch, LEAVE_REPORT_TIMEOUT);
            if has_just_left || self.find_group(name, epoch).is_some() {
                continue;
            }
            unknown
                .entry((name.clone(), epoch))
                .or_default()
                .insert(member.rank as usize, key);
        }
        unknown
    }

    /// Model that the members served last; none when no member reports one.
    fn claimed_model(&self, claims: &ClaimedRanks) -> Option<String> {
        let mut models = claims.values().map(|key| &self.servers[*key].last_model);
        models.find_map(Clone::clone)
    }

    fn adopt(
        &mut self,
        now: Duration,
        (name, epoch): (String, u64),
        model: String,
        claims: &ClaimedRanks,
        out: &mut Vec<FormationAction>,
    ) {
        let members: SmallVec<[ServerKey; 4]> = claims.values().copied().collect();
        let head = self.servers[members[0]].membership.as_ref();
        let phase = match head.map(|member| member.state) {
            Some(MemberState::Open) => GroupPhase::Open,
            Some(MemberState::Joining | MemberState::Ready) => GroupPhase::Joining,
            _ => GroupPhase::Dissolving,
        };
        let size = members.len();
        // The head opens only after an earlier lease holder has seen every member ready.
        let opened = phase == GroupPhase::Open;
        let last_group = (name.clone(), epoch);
        let key = self.groups.insert(FormationGroup {
            name,
            epoch,
            model,
            members: members.clone(),
            seen_ready: SmallVec::from_elem(opened, size),
            joined: SmallVec::from_elem(true, size),
            phase,
            since: now,
        });
        for member in members {
            let record = &mut self.servers[member];
            record.group = Some(key);
            record.last_group = Some(last_group.clone());
        }
        self.set_phase(now, key, phase, ("adopted", None), out);
    }

    /// Orders the members of an incomplete group to leave it.
    fn dismiss_members(
        &mut self,
        now: Duration,
        name: &str,
        epoch: u64,
        claims: &ClaimedRanks,
        out: &mut Vec<FormationAction>,
    ) {
        for &key in claims.values() {
            if self.servers[key].is_unreachable() {
                continue;
            }
            self.dismiss(now, key, name, epoch, out);
        }
    }

    /// Orders servers that have started again to leave the groups of their former starts. A server
    /// forgets fencing numbers with its start; with the number of this order it refuses joins of
    /// the former group that come late.
    pub(super) fn fence_new_starts(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        self.former_groups
            .retain(|_, former| now < former.ended_at + LATE_ORDER_TIME);
        for (id, former) in self.former_groups.clone() {
            let Some(&key) = self.by_id.get(&id) else {
                continue;
            };
            let record = &self.servers[key];
            if !record.is_usable() || record.group.is_some() {
                continue;
            }
            self.dismiss(now, key, &former.name, former.epoch, out);
        }
    }

    /// Orders a server to leave a group to which it is not assigned.
    pub(super) fn dismiss(
        &mut self,
        now: Duration,
        key: ServerKey,
        name: &str,
        epoch: u64,
        out: &mut Vec<FormationAction>,
    ) {
        let body = OrderBody::Leave {
            group: name.to_owned(),
            epoch,
        };
        if !self.send_order(now, key, body, out) {
            return;
        }
        let record = &self.servers[key];
        let left = record.last_left.as_ref();
        let left = left.filter(|left| left.name == name && left.epoch == epoch);
        out.push(FormationAction::Dismissed {
            server: record.id.clone(),
            group: name.to_owned(),
            epoch,
            row_version: record.row_version,
            left_for: left.map(|left| now.saturating_sub(left.at)),
        });
    }
}
