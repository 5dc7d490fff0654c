//! What moves a group from one phase to the next.

use {
    super::{
        CloseMode, FormationAction, FormationKeeper, GroupKey, GroupPhase, OrderBody, ServerKey,
    },
    crate::core::fleet::MemberState,
    std::time::Duration,
};

/// Time given to the requests of a group that is closed for planned work.
const CLOSE_LIMIT: Duration = Duration::from_secs(6);

/// Time after which a head that still shows as open is told to close once more.
const CLOSE_SHOWS_WITHIN: Duration = Duration::from_millis(600);

/// Time that a member has to show up in its group after the order was taken.
const JOIN_SHOWS_WITHIN: Duration = Duration::from_secs(3);

/// Why a group can no longer serve.
#[derive(Debug, Clone, Copy)]
struct Loss {
    reason: &'static str,
    member: ServerKey,
}

impl FormationKeeper {
    /// Moves a group on.
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

    /// Gives the join order to the members that have not taken it yet.
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
            let body = OrderBody::Join {
                group: group.name.clone(),
                epoch: group.epoch,
                model: group.model.clone(),
                members: ids.clone(),
            };
            self.give(now, member, body, out);
        }
    }

    fn state_of(&self, key: GroupKey, rank: usize) -> Option<MemberState> {
        let group = &self.groups[key];
        let record = self.servers.get(group.members[rank])?;
        if !record.is_in(&group.name, group.epoch) {
            return None;
        }
        record.membership.as_ref().map(|member| member.state)
    }

    /// Notes which members are ready; true when all have been.
    fn note_ready(&mut self, key: GroupKey) -> bool {
        let size = self.groups[key].members.len();
        for rank in 0..size {
            let state = self.state_of(key, rank);
            let ready = state.is_some_and(|state| state != MemberState::Joining);
            let group = &mut self.groups[key];
            group.seen_ready[rank] |= ready;
            group.joined[rank] |= state.is_some();
        }
        self.groups[key].seen_ready.iter().all(|ready| *ready)
    }

    /// The first member that makes the group incomplete.
    fn find_loss(&self, key: GroupKey, planned: bool) -> Option<Loss> {
        let group = &self.groups[key];
        for (rank, &member) in group.members.iter().enumerate() {
            let loss = |reason| Some(Loss { reason, member });
            let Some(record) = self.servers.get(member) else {
                return loss("gone");
            };
            if record.is_unreachable() {
                return loss("unreachable");
            }
            if self.by_id.get(&record.id) != Some(&member) {
                return loss("restarted");
            }
            // A server whose entry is gone may leave without having said so; as
            // long as it answers, its group can finish its requests.
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
        let broken = self.state_of(key, 0) == Some(MemberState::Broken);
        broken.then(|| Loss {
            reason: "broken",
            member: group.members[0],
        })
    }

    fn advance_joining(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        let ready = self.note_ready(key);
        if let Some(loss) = self.find_loss(key, true) {
            self.dissolve(now, key, loss, out);
            return;
        }
        if ready {
            self.phase(now, key, GroupPhase::Opening, ("ready", None), out);
            self.open_head(now, key, out);
            return;
        }
        self.rejoin_lost_orders(now, key);
        self.join_members(now, key, out);
    }

    /// An order that was taken but does not show was carried out by nobody.
    fn rejoin_lost_orders(&mut self, now: Duration, key: GroupKey) {
        let size = self.groups[key].members.len();
        for rank in 0..size {
            let shows = self.state_of(key, rank).is_some();
            let group = &mut self.groups[key];
            let waited = now >= group.since + JOIN_SHOWS_WITHIN;
            if group.joined[rank] && !shows && waited {
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
        self.give(now, head, body, out);
    }

    fn advance_opening(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        if let Some(loss) = self.find_loss(key, true) {
            self.dissolve(now, key, loss, out);
            return;
        }
        if self.state_of(key, 0) == Some(MemberState::Open) {
            self.phase(now, key, GroupPhase::Open, ("opened", None), out);
            return;
        }
        let waits = now < self.groups[key].since + self.shape.form * 3;
        let head = self.groups[key].members[0];
        if waits && self.servers[head].failures == 0 {
            return;
        }
        self.open_head(now, key, out);
    }

    fn advance_open(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        if let Some(loss) = self.find_loss(key, false) {
            self.dissolve(now, key, loss, out);
            return;
        }
        if let Some(loss) = self.find_loss(key, true) {
            self.close_group(now, key, (loss.reason, Some(loss.member)), out);
            return;
        }
        if self.state_of(key, 0) == Some(MemberState::Ready) {
            // Another holder's close, or a restart that the entry does not show yet.
            self.phase(now, key, GroupPhase::Opening, ("closed", None), out);
        }
    }

    /// Lets a group finish its requests before it is dissolved.
    pub(super) fn close_group(
        &mut self,
        now: Duration,
        key: GroupKey,
        reason: (&'static str, Option<ServerKey>),
        out: &mut Vec<FormationAction>,
    ) {
        self.phase(now, key, GroupPhase::Closing, reason, out);
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
        self.give(now, head, body, out);
    }

    fn advance_closing(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        if let Some(loss) = self.find_loss(key, false) {
            self.dissolve(now, key, loss, out);
            return;
        }
        let since = self.groups[key].since;
        let late = now >= since + CLOSE_LIMIT;
        let shows_at = since + CLOSE_SHOWS_WITHIN;
        match self.state_of(key, 0) {
            Some(MemberState::Ready) => {
                let reason = ("closed", None);
                self.phase(now, key, GroupPhase::Dissolving, reason, out);
                self.advance_dissolving(now, key, out);
            }
            _ if late => {
                let reason = ("close limit", None);
                self.phase(now, key, GroupPhase::Dissolving, reason, out);
                self.advance_dissolving(now, key, out);
            }
            Some(MemberState::Open) if now >= shows_at => self.close_head(now, key, out),
            _ => {}
        }
    }

    fn dissolve(
        &mut self,
        now: Duration,
        key: GroupKey,
        loss: Loss,
        out: &mut Vec<FormationAction>,
    ) {
        let reason = (loss.reason, Some(loss.member));
        self.phase(now, key, GroupPhase::Dissolving, reason, out);
        self.advance_dissolving(now, key, out);
    }

    /// Sends every member that can be reached out of the group. A member may
    /// join another group only after it has left this one, since nobody can
    /// tell whether a silent head still serves.
    fn advance_dissolving(&mut self, now: Duration, key: GroupKey, out: &mut Vec<FormationAction>) {
        let group = self.groups[key].clone();
        let mut waiting = false;
        for &member in &group.members {
            let Some(record) = self.servers.get(member) else {
                continue;
            };
            if record.group != Some(key) {
                continue;
            }
            let replaced = self.by_id.get(&record.id) != Some(&member);
            if replaced || record.is_unreachable() {
                self.servers[member].group = None;
                continue;
            }
            waiting = true;
            let body = OrderBody::Leave {
                group: group.name.clone(),
                epoch: group.epoch,
            };
            self.give(now, member, body, out);
        }
        if !waiting {
            self.groups.remove(key);
        }
    }

    /// Takes a member out of a group that it has left.
    fn detach(&mut self, server: ServerKey, name: &str, epoch: u64) {
        let group = self.find_group(name, epoch);
        let record = &mut self.servers[server];
        if record.group == group {
            record.group = None;
        }
        record.left = Some((name.to_owned(), epoch));
    }

    /// Takes note of an order that a server has accepted.
    pub(super) fn order_taken(&mut self, server: ServerKey, body: &OrderBody) {
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
            OrderBody::Leave { .. } => self.detach(server, name, epoch),
            _ => {}
        }
    }

    /// Takes note of an order that does not fit the state of a server.
    pub(super) fn order_unfit(&mut self, server: ServerKey, body: &OrderBody) {
        let Some((name, epoch)) = body.group() else {
            return;
        };
        if matches!(body, OrderBody::Leave { .. }) {
            // The server is not in the group.
            self.detach(server, name, epoch);
        }
    }

    pub(super) fn find_group(&self, name: &str, epoch: u64) -> Option<GroupKey> {
        let mut groups = self.groups.iter();
        let found = groups.find(|(_, group)| group.name == name && group.epoch == epoch);
        found.map(|(key, _)| key)
    }
}
