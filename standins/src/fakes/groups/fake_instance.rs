use {
    std::{net::SocketAddr, time::Duration},
    toucanring::{
        core::groups::OrderAnswer,
        wire::{
            FencingNumber, GroupMembership, InstanceReport, InstanceState, LoadReport, LoadedShard,
            MemberOrder, OrderBody, OrderRefusal,
        },
    },
};

/// Backend server in memory, with faults.
#[derive(Debug, Clone)]
#[allow(clippy::struct_excessive_bools)] // independent facts
pub struct FakeInstance {
    /// Instance name in the operator text.
    pub name: String,
    /// Address in the operator text; nothing listens there.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: String,
    /// Fabric domain of the instance.
    pub fabric_domain: String,
    /// Number of accelerators of the instance.
    pub accelerators: u32,
    /// True when it refuses orders with a lower fencing number than an accepted one.
    pub checks_fencing: bool,
    /// True when it unloads its shard on leaving a group, as with the naive policy.
    pub unloads_on_leave: bool,
    /// Number of its starts.
    pub incarnation: u64,
    /// False between a stop and the restart.
    pub alive: bool,
    /// Virtual time before which it neither answers nor loads.
    pub paused_until: Duration,
    /// Membership from the last join order, until a leave order or [`restart`](Self::restart);
    /// `None` when free.
    pub membership: Option<GroupMembership>,
    /// Shard that is loaded or, with `bytes_left`, being loaded.
    pub shard: Option<LoadedShard>,
    /// Bytes of the shard that are still to be loaded.
    pub bytes_left: u64,
    /// Highest fencing number of an accepted order; [`restart`](Self::restart) resets it.
    pub fencing: FencingNumber,
    /// True from the announcement that it leaves until the restart.
    pub leaving: bool,
    /// Duration of a decode step in milliseconds, as reported.
    pub step_ms: f64,
    /// Number of running requests, as reported.
    pub running: u32,
}

impl FakeInstance {
    /// True when it answers at `now`: neither stopped nor paused.
    #[must_use]
    pub fn is_responsive(&self, now: Duration) -> bool {
        self.alive && now >= self.paused_until
    }

    /// True when it is loading at `now`.
    #[must_use]
    pub fn is_loading(&self, now: Duration) -> bool {
        self.is_responsive(now) && self.bytes_left > 0
    }

    /// Starts it with a new incarnation and without membership, shard and requests.
    pub fn restart(&mut self) {
        self.alive = true;
        self.incarnation += 1;
        self.membership = None;
        self.shard = None;
        self.bytes_left = 0;
        self.fencing = FencingNumber::default();
        self.running = 0;
    }

    /// Starts it with a new incarnation that reports the membership and shard of the old one.
    pub fn restart_with_old_state(&mut self) {
        self.alive = true;
        self.incarnation += 1;
    }

    /// Report that the instance answers to `GET /control/report`.
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

    /// Handles an order that has waited at the server for `waited`.
    pub fn handle_order(&mut self, waited: Duration, order: &MemberOrder) -> OrderAnswer {
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
                let is_member = |membership: &GroupMembership| membership.group == *group;
                if self.membership.as_ref().is_some_and(is_member) {
                    self.membership = None;
                    if self.bytes_left > 0 || self.unloads_on_leave {
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
