//! One simulated engine: what it answers to orders and what it states about itself.

use {
    std::time::Duration,
    toucanring::core::{
        fleet::{BackendEntry, EngineMembership, EngineReport, MemberState},
        formation::{OrderBody, OrderOutcome},
    },
};

/// Time from the order to open until the head serves.
const FORM_TIME: Duration = Duration::from_millis(300);

/// Time to join a group of the model that the engine served last.
const REJOIN_TIME: Duration = Duration::from_millis(200);

/// Time to join a group with weights from the host.
const WARM_TIME: Duration = Duration::from_millis(1_600);

/// Time to load weights from the weight store.
const LOAD_TIME: Duration = Duration::from_secs(4);

/// Time for which the head of a group that lacks a member stands still before it is broken.
const STALL_TIME: Duration = Duration::from_secs(4);

/// Age of the state that a report shows.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// Membership of an engine in a group, as the engine itself keeps it.
#[derive(Debug, Clone)]
pub struct OwnMembership {
    pub group: String,
    pub epoch: u64,
    pub members: Vec<String>,
    pub state: MemberState,
    ready_at: Duration,
    open_at: Option<Duration>,
    still_since: Option<Duration>,
}

/// Whether an engine runs and answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHealth {
    Sound,
    /// Orders and queries reach the engine, but no answer comes back.
    Silent,
    Down,
}

/// An engine that follows the protocol of the backend servers.
#[derive(Debug, Clone)]
pub struct EngineState {
    pub id: String,
    pub health: EngineHealth,
    /// True while the engine can't write to the store.
    pub cut_off: bool,
    pub membership: Option<OwnMembership>,
    /// True when the entry has changed since it was written last.
    pub dirty: bool,
    /// Time of the last entry in the store; none while the store has no entry.
    pub written_at: Option<Duration>,
    born_ms: u64,
    write_count: u64,
    highest_fence: u64,
    highest_epoch: u64,
    last_model: Option<String>,
    staged: Vec<String>,
    staging: Option<(String, Duration)>,
    /// Stated memberships of the last moments, for reports that lag.
    past: Vec<(Duration, Option<EngineMembership>)>,
}

impl EngineState {
    /// Creates an engine whose host holds the weights of `model`.
    pub fn new(id: &str, model: &str) -> Self {
        Self {
            id: id.to_owned(),
            health: EngineHealth::Sound,
            cut_off: false,
            membership: None,
            dirty: true,
            written_at: None,
            born_ms: 1,
            write_count: 0,
            highest_fence: 0,
            highest_epoch: 0,
            last_model: None,
            staged: vec![model.to_owned()],
            staging: None,
            past: Vec::new(),
        }
    }

    /// Ends the engine; its host keeps the staged weights.
    pub fn crash(&mut self) {
        self.health = EngineHealth::Down;
        self.membership = None;
        self.last_model = None;
        self.staging = None;
    }

    /// Starts the engine again under its identifier; it knows nothing of before.
    pub fn restart(&mut self, now: Duration) {
        self.health = EngineHealth::Sound;
        self.born_ms = 1 + u64::try_from(now.as_millis()).unwrap();
        self.write_count = 0;
        self.highest_fence = 0;
        self.highest_epoch = 0;
        self.past.clear();
        self.dirty = true;
    }

    pub fn is_up(&self) -> bool {
        self.health != EngineHealth::Down
    }

    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        let own = self.membership.as_ref();
        own.is_some_and(|own| own.group == group && own.epoch == epoch)
    }

    /// Membership as the engine states it to others.
    pub fn stated(&self) -> Option<EngineMembership> {
        let own = self.membership.as_ref()?;
        let rank = own.members.iter().position(|member| *member == self.id)?;
        Some(EngineMembership {
            group: own.group.clone(),
            epoch: own.epoch,
            rank: u32::try_from(rank).unwrap(),
            state: own.state,
        })
    }

    /// The next entry that the engine writes.
    pub fn next_entry(&mut self) -> BackendEntry {
        self.write_count += 1;
        self.dirty = false;
        BackendEntry {
            id: self.id.clone(),
            service: "model".to_owned(),
            address: "127.0.0.1:9000".parse().unwrap(),
            failure_domain: "kochi".to_owned(),
            leaving: false,
            slots: 8,
            born_ms: self.born_ms,
            fabric: "f".to_owned(),
            staged: self.staged.clone(),
            model: self.last_model.clone(),
            membership: self.stated(),
            write_count: self.write_count,
            cold_left_ms: None,
        }
    }

    /// The answer to a state query, which shows the state of a moment ago.
    pub fn report(&self, now: Duration) -> EngineReport {
        let shown = self.past.iter().rev();
        let shown = shown.clone().find(|(at, _)| *at + REPORT_LAG <= now);
        EngineReport {
            born_ms: self.born_ms,
            membership: shown.and_then(|(_, stated)| stated.clone()),
            model: self.last_model.clone(),
            staged: self.staged.clone(),
            queued: 0,
            running: 0,
            pace: 1.0,
        }
    }

    /// Moves the engine on to `now`; `is_whole` tells whether all members of a group are in it.
    pub fn advance(&mut self, now: Duration, is_whole: impl Fn(&OwnMembership) -> bool) {
        if let Some((model, _)) = self.staging.take_if(|(_, done_at)| now >= *done_at) {
            self.staged = vec![model];
            self.dirty = true;
        }
        let is_head = self.stated().is_some_and(|stated| stated.rank == 0);
        if let Some(own) = &mut self.membership {
            let before = own.state;
            match own.state {
                MemberState::Joining if now >= own.ready_at => own.state = MemberState::Ready,
                MemberState::Ready if own.open_at.take_if(|at| now >= *at).is_some() => {
                    own.state = MemberState::Open;
                }
                MemberState::Closing => own.state = MemberState::Ready,
                _ => {}
            }
            if is_head && own.state == MemberState::Open {
                if is_whole(own) {
                    own.still_since = None;
                } else if now >= *own.still_since.get_or_insert(now) + STALL_TIME {
                    own.state = MemberState::Broken;
                }
            }
            self.dirty |= own.state != before;
        }
        self.past.push((now, self.stated()));
        if self.past.len() > 64 {
            self.past.drain(..32);
        }
    }

    /// Carries out an order and returns the answer.
    pub fn take_order(&mut self, now: Duration, fence: u64, body: &OrderBody) -> OrderOutcome {
        if fence < self.highest_fence {
            return OrderOutcome::Outranked;
        }
        self.highest_fence = fence;
        let is_member = body
            .group()
            .is_some_and(|(group, epoch)| self.is_in(group, epoch));
        match body {
            OrderBody::Stage { model } => self.staging = Some((model.clone(), now + LOAD_TIME)),
            OrderBody::Join { .. } => return self.join(now, body),
            _ if !is_member => return OrderOutcome::Unfit,
            OrderBody::Open { .. } => {
                let own = self.membership.as_mut().unwrap();
                match own.state {
                    MemberState::Ready => {
                        own.open_at.get_or_insert(now + FORM_TIME);
                    }
                    MemberState::Open => return OrderOutcome::Done,
                    _ => return OrderOutcome::Unfit,
                }
            }
            OrderBody::Close { .. } => {
                let own = self.membership.as_mut().unwrap();
                match own.state {
                    MemberState::Open => own.state = MemberState::Closing,
                    MemberState::Ready => return OrderOutcome::Done,
                    _ => return OrderOutcome::Unfit,
                }
            }
            OrderBody::Leave { .. } => self.membership = None,
        }
        self.dirty = true;
        OrderOutcome::Begun
    }

    fn join(&mut self, now: Duration, body: &OrderBody) -> OrderOutcome {
        let OrderBody::Join {
            group,
            epoch,
            model,
            members,
        } = body
        else {
            return OrderOutcome::Rejected;
        };
        if *epoch < self.highest_epoch {
            return OrderOutcome::Outranked;
        }
        if self.is_in(group, *epoch) {
            return OrderOutcome::Done;
        }
        let time = if self.last_model.as_ref() == Some(model) {
            REJOIN_TIME
        } else if self.staged.contains(model) {
            WARM_TIME
        } else {
            LOAD_TIME
        };
        self.highest_epoch = *epoch;
        self.staged = vec![model.clone()];
        self.last_model = Some(model.clone());
        self.membership = Some(OwnMembership {
            group: group.clone(),
            epoch: *epoch,
            members: members.clone(),
            state: MemberState::Joining,
            ready_at: now + time,
            open_at: None,
            still_since: None,
        });
        self.dirty = true;
        OrderOutcome::Begun
    }
}
