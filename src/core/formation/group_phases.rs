//! Transitions of a group from one phase to the next.

use {
    super::{
        CloseMode, FormationAction, FormationManager, GroupKey, GroupPhase, OrderBody, ServerKey,
        group_adoption::LEAVE_REPORT_TIMEOUT,
    },
    crate::core::fleet::MemberState,
    std::time::Duration,
};

/// Time for the head of a closing group to finish its requests. A draining member stays for so long
/// while its head has work, and requests may last 8 s.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a head that still reports open gets the close order again.
const CLOSE_REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time from the start of the joining phase after which a member that accepted
/// the join order but does not report the group gets the order again.
const JOIN_REPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// Reason why a group can no longer serve, and the member that caused it.
#[derive(Debug, Clone, Copy)]
struct MemberLoss {
    reason: &'static str,
    member: ServerKey,
}

impl FormationManager {
    /// Checks a group and moves it to its next phase when that is due.
    pub(super) fn advance_group(
        &mut self,
        now: Duration,
        key: GroupKey,
        out: &mut Vec<FormationAction>,
    ) {
        match self.groups[key].phase {
            GroupPhase::Joining => self.advance_joining(now, key, out),
            GroupPhase::Opening => self.advance_opening(now, key, out),
            GroupPhase::Open => self.advance_open(now, key, out),
            GroupPhase::Closing => self.advance_closing(now, key, out),
            GroupPhase::Dissolving => self.advance_dissolving(now, key, out),
        }
    }

    /// Sends the join order to the members that have not accepted it yet. A member that states
    /// another group has carried out a late join of it, and is ordered to leave that one first.
    pub(super) fn join_members(
        &mut self,
        now: Duration,
        key: GroupKey,
        out: &mut Vec<FormationAction>,
    ) {
        let group = self.groups[key].clone();
        let ids: Vec<String> = group
            .members
            .iter()
            .map(|member| self.servers[*member].id.clone())
            .collect();
        for (rank, &member) in group.members.iter().enumerate() {
            if group.joined[rank] {
                continue;
            }
            if let Some(stated) = self.servers[member].group_other_than(&group.name, group.epoch) {
                self.dismiss(now, member, &stated.group, stated.epoch, out);
                continue;
            }
            let body = OrderBody::Join {
                group: group.name.clone(),
                epoch: group.epoch,
                model: group.model.clone(),
                members: ids.clone(),
            };
            self.send_order(now, member, body, out);
        }
    }

    /// State of a member as it reports it; none when it does not report this group.
    fn reported_state(&self, key: GroupKey, rank: usize) -> Option<MemberState> {
        let group = &self.groups[key];
        let record = self.servers.get(group.members[rank])?;
        if !record.is_in(&group.name, group.epoch) {
            return None;
        }
        record.membership.as_ref().map(|member| member.state)
    }

    /// Records which members report ready; true when each has at some time.
    fn record_ready_members(&mut self, key: GroupKey) -> bool {
        let size = self.groups[key].members.len();
        for rank in 0..size {
            let state = self.reported_state(key, rank);
            let ready = state.is_some_and(|state| state != MemberState::Joining);
            let group = &mut self.groups[key];
            group.seen_ready[rank] |= ready;
            group.joined[rank] |= state.is_some();
        }
        self.groups[key].seen_ready.iter().all(|ready| *ready)
    }

    /// The first loss that makes the group unable to serve. With `planned`, members
    /// that still answer but have no fleet entry or are about to leave count as lost.
    fn find_loss(&self, key: GroupKey, planned: bool) -> Option<MemberLoss> {
        let group = &self.groups[key];
        for (rank, &member) in group.members.iter().enumerate() {
            let loss = |reason| Some(MemberLoss { reason, member });
            let Some(record) = self.servers.get(member) else {
                return loss("gone");
            };
            if record.is_unreachable() {
                return loss("unreachable");
            }
            if self.by_id.get(&record.id) != Some(&member) {
                return loss("restarted");
            }
            // An engine may be stopped without announcing it, and only its entry disappears;
            // as long as it answers, its group can finish its requests.
            if planned && !record.present {
                return loss("gone");
            }
            if planned && record.leaving {
                return loss("leaving");
            }
            if group.seen_ready[rank] && !record.is_in(&group.name, group.epoch) {
                return loss("left");
            }
        }
        let broken = self.reported_state(key, 0) == Some(MemberState::Broken);
        broken.then(|| MemberLoss {
            reason: "broken",
            member: group.members[0],
        })
    }

    fn advance_joining(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        let ready = self.record_ready_members(key);
        if let Some(loss) = self.find_loss(key, true) {
            self.dissolve_group(now, key, loss, out);
            return;
        }
        if ready {
            self.set_phase(now, key, GroupPhase::Opening, ("ready", None), out);
            self.open_head(now, key, out);
            return;
        }
        self.reset_lost_joins(now, key);
        self.join_members(now, key, out);
    }

    /// Repeats join orders that a member accepted but whose effect it does not report:
    /// they were not carried out.
    fn reset_lost_joins(&mut self, now: Duration, key: GroupKey) {
        let size = self.groups[key].members.len();
        for rank in 0..size {
            let is_reported = self.reported_state(key, rank).is_some();
            let group = &mut self.groups[key];
            let timed_out = now >= group.since + JOIN_REPORT_TIMEOUT;
            if group.joined[rank] && !is_reported && timed_out {
                group.joined[rank] = false;
            }
        }
    }

    fn open_head(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        let group = &self.groups[key];
        let body = OrderBody::Open {
            group: group.name.clone(),
            epoch: group.epoch,
        };
        let head = group.members[0];
        self.send_order(now, head, body, out);
    }

    fn advance_opening(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        if let Some(loss) = self.find_loss(key, true) {
            self.dissolve_group(now, key, loss, out);
            return;
        }
        if self.reported_state(key, 0) == Some(MemberState::Open) {
            self.set_phase(now, key, GroupPhase::Open, ("opened", None), out);
            return;
        }
        let is_waiting = now < self.groups[key].since + self.profile.form * 3;
        let head = self.groups[key].members[0];
        if is_waiting && !self.servers[head].failures.any() {
            return;
        }
        self.open_head(now, key, out);
    }

    fn advance_open(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        if let Some(loss) = self.find_loss(key, false) {
            self.dissolve_group(now, key, loss, out);
            return;
        }
        if let Some(loss) = self.find_loss(key, true) {
            self.close_group(now, key, (loss.reason, Some(loss.member)), out);
            return;
        }
        if self.reported_state(key, 0) == Some(MemberState::Ready) {
            // Another lease holder has closed the group, or the head has restarted and its entry
            // does not show that yet.
            self.set_phase(now, key, GroupPhase::Opening, ("closed", None), out);
        }
    }

    /// Closes a group: it finishes its requests before it is dissolved.
    pub(super) fn close_group(
        &mut self,
        now: Duration,
        key: GroupKey,
        reason: (&'static str, Option<ServerKey>),
        out: &mut Vec<FormationAction>,
    ) {
        self.set_phase(now, key, GroupPhase::Closing, reason, out);
        self.close_head(now, key, out);
    }

    fn close_head(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        let group = &self.groups[key];
        let body = OrderBody::Close {
            group: group.name.clone(),
            epoch: group.epoch,
            mode: CloseMode::Finish,
        };
        let head = group.members[0];
        self.send_order(now, head, body, out);
    }

    fn advance_closing(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        if let Some(loss) = self.find_loss(key, false) {
            self.dissolve_group(now, key, loss, out);
            return;
        }
        let since = self.groups[key].since;
        let late = now >= since + CLOSE_TIMEOUT;
        let repeat_at = since + CLOSE_REPORT_TIMEOUT;
        match self.reported_state(key, 0) {
            Some(MemberState::Ready) => {
                let reason = ("closed", None);
                self.set_phase(now, key, GroupPhase::Dissolving, reason, out);
                self.advance_dissolving(now, key, out);
            }
            _ if late => {
                let reason = ("close timeout", None);
                self.set_phase(now, key, GroupPhase::Dissolving, reason, out);
                self.advance_dissolving(now, key, out);
            }
            Some(MemberState::Open) if now >= repeat_at => self.close_head(now, key, out),
            _ => {}
        }
    }

    fn dissolve_group(
        &mut self,
        now: Duration,
        key: GroupKey,
        loss: MemberLoss,
        out: &mut Vec<FormationAction>,
    ) {
        let reason = (loss.reason, Some(loss.member));
        self.set_phase(now, key, GroupPhase::Dissolving, reason, out);
        self.advance_dissolving(now, key, out);
    }

    /// Orders every reachable member to leave the group, and removes the group when
    /// none is left. A reachable member may join another group only after it has left
    /// this one, since an unreachable head may still serve with it. A member that is in the group
    /// again, as it carried out a join late, is ordered to leave once more.
    fn advance_dissolving(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        let group = self.groups[key].clone();
        let mut waiting = false;
        for &member in &group.members {
            let Some(record) = self.servers.get(member) else {
                continue;
            };
            let has_returned = record.group.is_none()
                && record.is_in(&group.name, group.epoch)
                && !record.has_just_left(now, &group.name, group.epoch, LEAVE_REPORT_TIMEOUT);
            if record.group != Some(key) && !has_returned {
                continue;
            }
            let replaced = self.by_id.get(&record.id) != Some(&member);
            if replaced || record.is_unreachable() {
                self.servers[member].group = None;
                continue;
            }
            waiting = true;
            if has_returned {
                self.servers[member].group = Some(key);
                self.dismiss(now, member, &group.name, group.epoch, out);
                continue;
            }
            let body = OrderBody::Leave {
                group: group.name.clone(),
                epoch: group.epoch,
            };
            self.send_order(now, member, body, out);
        }
        if !waiting {
            self.groups.remove(key);
        }
    }

    /// Records that a server is not in a group by its own answer.
    fn detach_member(&mut self, now: Duration, server: ServerKey, name: &str, epoch: u64) {
        let group = self.find_group(name, epoch);
        let record = &mut self.servers[server];
        if record.group == group {
            record.group = None;
        }
        record.note_left(now, name, epoch);
        let id = record.id.clone();
        self.former_groups.remove(&id);
    }

    /// Records the effect of an order that a server has accepted.
    pub(super) fn handle_accepted_order(
        &mut self,
        now: Duration,
        server: ServerKey,
        body: &OrderBody,
    ) {
        let Some((name, epoch)) = body.group() else {
            return;
        };
        match body {
            OrderBody::Join { .. } => {
                let Some(key) = self.find_group(name, epoch) else {
                    return;
                };
                let group = &mut self.groups[key];
                let rank = group.members.iter().position(|member| *member == server);
                if let Some(rank) = rank {
                    group.joined[rank] = true;
                }
            }
            OrderBody::Leave { .. } => self.detach_member(now, server, name, epoch),
            _ => {}
        }
    }

    /// Handles an order that did not fit the state of a server; an order to leave shows by that
    /// that the server is not in the group.
    pub(super) fn handle_refused_order(
        &mut self,
        now: Duration,
        server: ServerKey,
        body: &OrderBody,
    ) {
        let Some((name, epoch)) = body.group() else {
            return;
        };
        if matches!(body, OrderBody::Leave { .. }) {
            self.detach_member(now, server, name, epoch);
        }
    }

    pub(super) fn find_group(&self, name: &str, epoch: u64) -> Option<GroupKey> {
        let mut groups = self.groups.iter();
        let found = groups.find(|(_, group)| group.name == name && group.epoch == epoch);
        found.map(|(key, _)| key)
    }
}
