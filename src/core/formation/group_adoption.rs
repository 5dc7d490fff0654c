//! Adoption of groups that earlier holders of the lease have formed.

use {
    super::{FormationAction, FormationGroup, FormationManager, GroupPhase, OrderBody, ServerKey},
    crate::core::fleet::MemberState,
    smallvec::SmallVec,
    std::{collections::BTreeMap, time::Duration},
};

/// Servers that report the same group and epoch, by rank.
type ClaimedRanks = BTreeMap<usize, ServerKey>;

impl FormationManager {
    /// Adopts complete groups that the manager does not know, and orders the
    /// members of incomplete ones to leave.
    pub(super) fn adopt_groups(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for ((name, epoch), claims) in self.unknown_groups() {
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
    fn unknown_groups(&self) -> BTreeMap<(String, u64), ClaimedRanks> {
        let mut unknown: BTreeMap<(String, u64), ClaimedRanks> = BTreeMap::new();
        for (key, record) in &self.servers {
            let Some(member) = record.membership.as_ref() else {
                continue;
            };
            let name = (member.group.clone(), member.epoch);
            let known = record.group.is_some()
                || !record.present
                || !record.is_member()
                || self.find_group(&name.0, name.1).is_some();
            if known {
                continue;
            }
            unknown
                .entry(name)
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
            self.servers[member].group = Some(key);
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
            let body = OrderBody::Leave {
                group: name.to_owned(),
                epoch,
            };
            self.send_order(now, key, body, out);
        }
    }
}
