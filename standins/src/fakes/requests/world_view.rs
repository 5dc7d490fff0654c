use {
    super::WorldPlan,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    toucanring::{
        conf::{ClientAccount, ModelService, OperatorText, PlannerWeights, ServiceObjective},
        core::view::{ClusterView, Configuration},
        wire::{
            ControllerHeartbeat, FencingNumber, GroupEntry, GroupId, GroupMembership, GroupState,
            InstanceReport, InstanceState, LoadReport, MemberEntry, PeerHeartbeat, ProcessRole,
            SuspectEntry, UsageEntry,
        },
    },
};

/// Time between two heartbeats of all controllers and gateways; each makes a new view.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Time after a group's crash until gateways see that its controller has suspended it.
const WITHDRAWAL_DELAY: Duration = Duration::from_millis(1_500);

/// Cluster view that all gateways of a world share. Changes reach all of them with the next step,
/// except usage, which waits for the next update, and a group's crash, which they see after
/// [`WITHDRAWAL_DELAY`].
#[derive(Debug)]
pub(super) struct WorldView {
    view: ClusterView,
    groups: Vec<GroupId>,
    pending_suspensions: Vec<(Duration, usize)>,
    gateways: usize,
    next_heartbeat: Duration,
    changed: bool,
}

impl WorldView {
    pub(super) fn new(plan: &WorldPlan) -> Self {
        let mut view = ClusterView {
            configuration: Some(Arc::new(Configuration {
                version: 1,
                text: operator_text(plan),
            })),
            ..ClusterView::default()
        };
        let mut groups = Vec::new();
        for number in 0..plan.groups {
            let entry = group_entry(number);
            groups.push(entry.id.clone());
            view.merge_group(entry);
        }
        Self {
            view,
            groups,
            pending_suspensions: Vec::new(),
            gateways: plan.gateways,
            next_heartbeat: Duration::ZERO,
            changed: true,
        }
    }

    /// Returns the view when it has changed or a heartbeat is due.
    pub(super) fn take_update(&mut self, now: Duration) -> Option<Arc<ClusterView>> {
        let suspensions = std::mem::take(&mut self.pending_suspensions);
        for (at, group) in suspensions {
            if now < at {
                self.pending_suspensions.push((at, group));
                continue;
            }
            self.update_entry(group, |entry| entry.state = GroupState::Suspended);
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.changed = true;
            self.merge_heartbeats(now);
        }
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(Arc::new(self.view.clone()))
    }

    fn merge_heartbeats(&mut self, now: Duration) {
        let version = FencingNumber {
            term: 1,
            sequence: u64::try_from(now.as_millis()).unwrap_or(u64::MAX) + 1,
        };
        for number in 0..3 {
            let failure_domain = format!("d{number}");
            let heartbeat = ControllerHeartbeat {
                failure_domain,
                version,
            };
            self.view.merge_controller(heartbeat, now);
        }
        for number in 0..self.gateways {
            let heartbeat = PeerHeartbeat {
                process: format!("gateway{number}"),
                role: ProcessRole::Gateway,
                failure_domain: format!("d{}", number % 3),
                boot: 1,
                started_ms: 0,
                sequence: version.sequence,
                address: address(number),
                config_version: 1,
                ready: true,
            };
            self.view.merge_heartbeat(heartbeat, now);
        }
    }

    /// Schedules that the view shows a crashed group as suspended after [`WITHDRAWAL_DELAY`].
    pub(super) fn suspend_later(&mut self, now: Duration, group: usize) {
        self.pending_suspensions
            .push((now + WITHDRAWAL_DELAY, group));
    }

    /// Shows a group as serving again, with a new epoch, and cancels its scheduled suspension.
    pub(super) fn resume(&mut self, group: usize) {
        self.pending_suspensions
            .retain(|(_, other)| *other != group);
        self.update_entry(group, |entry| {
            entry.state = GroupState::Serving;
            entry.epoch += 1;
        });
    }

    fn update_entry(&mut self, group: usize, update: impl Fn(&mut GroupEntry)) {
        if let Some(entry) = self.view.groups.get_mut(&self.groups[group]) {
            update(entry);
            entry.version.sequence += 1;
            self.changed = true;
        }
    }

    /// Index of the group with this identifier; `None` when its present epoch is another one.
    pub(super) fn group_index(&self, id: &GroupId, epoch: u64) -> Option<usize> {
        let entry = self.view.groups.get(id)?;
        if entry.epoch != epoch {
            return None;
        }
        self.groups.iter().position(|known| known == id)
    }

    /// Report of the head instance of a group; `None` when no group has it or `load` has no report.
    pub(super) fn report(
        &self,
        instance: &str,
        load: impl FnOnce(usize) -> Option<LoadReport>,
    ) -> Option<InstanceReport> {
        let group = self.groups.iter().position(|id| id.0 == instance)?;
        let entry = self.view.groups.get(&self.groups[group])?;
        Some(InstanceReport {
            instance: instance.to_owned(),
            incarnation: 1,
            state: InstanceState::Ready,
            membership: Some(GroupMembership {
                group: entry.id.clone(),
                epoch: entry.epoch,
                rank: 0,
            }),
            shard: None,
            bytes_left: 0,
            leaving: false,
            fencing: FencingNumber::default(),
            crashes: 0,
            load: load(group)?,
        })
    }

    pub(super) fn merge_usage(&mut self, now: Duration, gateway: usize, entries: Vec<UsageEntry>) {
        for entry in entries {
            self.view
                .merge_usage(&format!("gateway{gateway}"), entry, now);
        }
    }

    pub(super) fn merge_suspects(&mut self, entries: Vec<SuspectEntry>) {
        for entry in entries {
            self.changed |= self.view.merge_suspect(entry);
        }
    }
}

/// Creates a view in which all groups of the plan serve and all controllers and gateways sent a
/// heartbeat at `now`.
#[must_use]
pub fn healthy_cluster_view(plan: &WorldPlan, now: Duration) -> ClusterView {
    let mut view = WorldView::new(plan);
    view.merge_heartbeats(now);
    view.view
}

fn group_entry(number: usize) -> GroupEntry {
    let id = GroupId(format!("d{}-1-{number}", number % 3));
    let member = MemberEntry {
        instance: id.0.clone(),
        incarnation: 1,
        address: address(number),
    };
    GroupEntry {
        id,
        failure_domain: format!("d{}", number % 3),
        version: FencingNumber {
            term: 1,
            sequence: 1,
        },
        service: "chat".to_owned(),
        epoch: 1,
        state: GroupState::Serving,
        members: [member].into_iter().collect(),
        slow: false,
        draining: false,
    }
}

fn address(number: usize) -> SocketAddr {
    let port = u16::try_from(number).unwrap_or(u16::MAX);
    (Ipv4Addr::LOCALHOST, port).into()
}

fn operator_text(plan: &WorldPlan) -> OperatorText {
    let accounts = plan.accounts.iter();
    OperatorText {
        deployment: "world".to_owned(),
        planner: PlannerWeights {
            group_downtime: 1.0,
            stranded_accelerators: 1.0,
        },
        failure_domains: Vec::new(),
        backend_servers: Vec::new(),
        model_services: vec![ModelService {
            name: "chat".to_owned(),
            model: "chat".to_owned(),
            span: 1,
            weight_bytes: 1,
            min_groups: 1,
            max_groups: 64,
            weight: 1.0,
            depends_on: Vec::new(),
        }],
        plain_services: Vec::new(),
        request_kinds: Vec::new(),
        client_accounts: accounts
            .map(|account| ClientAccount {
                name: account.name.clone(),
                key_digest: String::new(),
                requests_per_s: account.limit,
                tokens_per_s: account.limit * 10_000.0,
                concurrency: 100_000,
            })
            .collect(),
        drains: Vec::new(),
        objective: ServiceObjective { completion: 0.99 },
    }
}
