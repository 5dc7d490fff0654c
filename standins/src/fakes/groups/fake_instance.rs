use {
    std::{net::SocketAddr, time::Duration},
    toucanring::{
        core::groups::OrderAnswer,
        wire::{
            FencingNumber, InstanceReport, InstanceState, LoadReport, LoadedShard, MemberOrder,
            MemberRef, OrderBody, OrderRefusal,
        },
    },
};

/// Backend server in memory, with faults.
#[derive(Debug, Clone)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub struct FakeInstance {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Fabric domain.
    pub fabric_domain: String,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Loses its shard when it leaves a group, as the naive version wants it.
    pub forgets: bool,
    /// Changes with each start.
    pub incarnation: u64,
    /// Runs.
    pub alive: bool,
    /// Does nothing before this time.
    pub paused_until: Duration,
    /// Group that it believes to be in.
    pub membership: Option<MemberRef>,
    /// Shard that is loaded or, with `bytes_left`, being loaded.
    pub shard: Option<LoadedShard>,
    /// Bytes still to be loaded.
    pub bytes_left: u64,
    /// Highest fencing number accepted.
    pub fencing: FencingNumber,
    /// Wants no new work.
    pub leaving: bool,
    /// Time of a decode step in milliseconds.
    pub step_ms: f64,
    /// Requests that it runs.
    pub running: u32,
}

impl FakeInstance {
    /// True when it answers at `now`.
    #[must_use]
    pub fn answers(&self, now: Duration) -> bool {
        self.alive && now >= self.paused_until
    }

    /// True when it is loading at `now`.
    #[must_use]
    pub fn is_loading(&self, now: Duration) -> bool {
        self.answers(now) && self.bytes_left > 0
    }

    /// Starts anew without group and shard.
    pub fn restart(&mut self) {
        self.alive = true;
        self.incarnation += 1;
        self.membership = None;
        self.shard = None;
        self.bytes_left = 0;
        self.fencing = FencingNumber::default();
        self.running = 0;
    }

    /// Starts anew but claims to be what it was before.
    pub fn restart_unnoticed(&mut self) {
        self.alive = true;
        self.incarnation += 1;
    }

    /// Answer of `GET /control/report`.
    #[must_use]
    pub fn report(&self) -> InstanceReport {
        InstanceReport {
            instance: self.name.clone(),
            incarnation: self.incarnation,
            state: match (&self.membership, self.bytes_left) {
                (None, _) => InstanceState::Free,
                (Some(_), 0) => InstanceState::Ready,
                (Some(_), _) => InstanceState::Loading,
            },
            membership: self.membership.clone(),
            shard: self.shard.clone().filter(|_| self.bytes_left == 0),
            bytes_left: self.bytes_left,
            leaving: self.leaving,
            fencing: self.fencing,
            crashes: 0,
            load: LoadReport {
                step_ms: self.step_ms,
                running: self.running,
                ..LoadReport::default()
            },
        }
    }

    /// Carries out an order that has waited for `waited`.
    pub fn order(&mut self, waited: Duration, order: &MemberOrder) -> OrderAnswer {
        if waited > Duration::from_millis(order.time_left_ms) {
            return OrderAnswer::Refused(OrderRefusal::DeadlinePassed);
        }
        if self.checks_fencing && order.fencing < self.fencing {
            return OrderAnswer::Refused(OrderRefusal::StaleFencing);
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.order {
            OrderBody::Join(join) => {
                let shard = LoadedShard {
                    model: join.model.clone(),
                    rank: join.membership.rank,
                    span: join.span,
                };
                if self.shard.as_ref() != Some(&shard) {
                    self.bytes_left = join.shard_bytes;
                }
                self.shard = Some(shard);
                self.membership = Some(join.membership.clone());
            }
            OrderBody::Leave(group) => {
                let here = |place: &MemberRef| place.group == *group;
                if self.membership.as_ref().is_some_and(here) {
                    self.membership = None;
                    if self.bytes_left > 0 || self.forgets {
                        self.shard = None;
                        self.bytes_left = 0;
                    }
                }
            }
            OrderBody::Fence => {}
        }
        OrderAnswer::Accepted(self.report())
    }
}
