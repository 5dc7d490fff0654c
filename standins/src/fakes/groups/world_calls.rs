use {
    super::{FakeWorld, WorldEvent, WorldFault},
    std::time::Duration,
    toucanring::{
        core::{
            groups::{GroupAction, GroupEvent, OrderAnswer},
            lease::LeaseEvent,
        },
        wire::{CommitRequest, ControllerHeartbeat, GroupEntry, MemberOrder, OrderBody},
    },
};

/// Time after which a controller gives up a platform call without an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time from a commit call to its effect while commits are late; longer than [`CALL_TIMEOUT`].
const LATE_COMMIT_DELAY: Duration = Duration::from_secs(3);
/// Duration of a straggler's decode step in milliseconds.
const STRAGGLER_STEP_MS: f64 = 100.0;

impl FakeWorld {
    /// Applies an action of a controller: schedules its message, or calls the table at once and
    /// schedules the answer.
    pub(super) fn apply_action(&mut self, node: usize, action: GroupAction) {
        let arrival = self.now + self.latency();
        match action {
            GroupAction::Poll { instance, .. } => {
                let instance = self.index(&instance);
                let sent = self.now;
                self.push(
                    arrival,
                    WorldEvent::Poll {
                        node,
                        instance,
                        sent,
                    },
                );
            }
            GroupAction::Order {
                instance, order, ..
            } => {
                let instance = self.index(&instance);
                let (delay, until) = self.nodes[node].order_delay;
                let added_delay = if self.now < until {
                    delay
                } else {
                    Duration::ZERO
                };
                self.log_line(|| {
                    format!(
                        "node {node} orders instance {instance}: {}",
                        describe(&order)
                    )
                });
                // Half of the delay is in the network, half in a connection that the server does
                // not read yet. Only the second half counts against the order's deadline.
                let arrived = arrival + added_delay / 2;
                self.push(
                    arrival + added_delay,
                    WorldEvent::Order {
                        node,
                        instance,
                        arrived,
                        order,
                    },
                );
            }
            GroupAction::ReadLease => {
                let key = format!("lease/{}", self.nodes[node].failure_domain);
                let event = if self.platform_call_fails(node) {
                    LeaseEvent::CallFailed
                } else {
                    LeaseEvent::Read(self.table.read(&key))
                };
                self.answer(node, GroupEvent::Lease(event));
            }
            GroupAction::ScanRows => {
                let prefix = format!("group/{}/", self.nodes[node].failure_domain);
                let event = if self.platform_call_fails(node) {
                    GroupEvent::ScanFailed
                } else {
                    GroupEvent::Rows {
                        members: self.table.scan("member/"),
                        groups: self.table.scan(&prefix),
                    }
                };
                self.answer(node, event);
            }
            GroupAction::Commit(request) => self.commit(node, &request),
            GroupAction::Publish(entries) => self.push(arrival, WorldEvent::Publish(node, entries)),
            GroupAction::Heartbeat(sent) => self.push(arrival, WorldEvent::Heartbeat(node, sent)),
        }
    }

    fn index(&self, name: &str) -> usize {
        let mut instances = self.instances.iter();
        instances
            .position(|instance| instance.name == name)
            .expect("the group manager sends only to configured instances")
    }

    fn platform_call_fails(&self, node: usize) -> bool {
        self.now < self.table.outage_until || self.now < self.nodes[node].partitioned_until
    }

    /// Schedules the answer of a platform call: failures arrive after the call timeout.
    fn answer(&mut self, node: usize, event: GroupEvent) {
        let failed = matches!(
            event,
            GroupEvent::Lease(LeaseEvent::CallFailed) | GroupEvent::ScanFailed
        );
        let delay = if failed {
            CALL_TIMEOUT
        } else {
            self.latency() * 2
        };
        self.push(self.now + delay, WorldEvent::Deliver(node, event));
    }

    fn commit(&mut self, node: usize, request: &CommitRequest) {
        if self.platform_call_fails(node) {
            self.answer(node, GroupEvent::Lease(LeaseEvent::CallFailed));
            return;
        }
        if self.now < self.table.late_commits_until {
            let keys = written_keys(request);
            self.log_line(|| format!("node {node} commits {keys}: late"));
            self.push(
                self.now + LATE_COMMIT_DELAY,
                WorldEvent::LateCommit(request.clone()),
            );
            self.answer(node, GroupEvent::Lease(LeaseEvent::CallFailed));
            return;
        }
        let outcome = self.table.commit(request);
        self.check.check_table(self.now, &self.table);
        let lost = self.now < self.table.lost_answers_until;
        if request.writes.len() > 1 {
            let keys = written_keys(request);
            let result = if outcome.is_ok() {
                "applied"
            } else {
                "refused"
            };
            let answer = if lost { ", answer lost" } else { "" };
            self.log_line(|| format!("node {node} commits {keys}: {result}{answer}"));
        }
        let event = match outcome {
            _ if lost => LeaseEvent::CallFailed,
            Ok(version) => LeaseEvent::Committed(version),
            Err(conflicts) => LeaseEvent::Conflict(conflicts),
        };
        self.answer(node, GroupEvent::Lease(event));
    }

    pub(super) fn deliver_poll(&mut self, node: usize, instance: usize, sent: Duration) {
        if !self.instances[instance].is_responsive(self.now) {
            return;
        }
        let report = self.instances[instance].report();
        let event = GroupEvent::Reported {
            polled_at: sent,
            report,
        };
        let arrival = self.now + self.latency();
        self.push(arrival, WorldEvent::Deliver(node, event));
    }

    pub(super) fn deliver_order(
        &mut self,
        node: usize,
        instance: usize,
        arrived: Duration,
        order: MemberOrder,
    ) {
        let target = &self.instances[instance];
        if !target.alive {
            return;
        }
        if self.now < target.paused_until {
            let resumes = target.paused_until;
            let event = WorldEvent::Order {
                node,
                instance,
                arrived,
                order,
            };
            self.push(resumes, event);
            return;
        }
        let waited = self.now.saturating_sub(arrived);
        let answer = self.instances[instance].handle_order(waited, &order);
        match &answer {
            OrderAnswer::Accepted(_) => {
                let (now, target) = (self.now, &self.instances[instance]);
                self.check.check_join(now, target, &order);
            }
            OrderAnswer::Refused(reason) => {
                let reason = *reason;
                self.log_line(|| {
                    format!(
                        "instance {instance} refuses {}: {reason:?}",
                        describe(&order)
                    )
                });
            }
            OrderAnswer::Unknown => {}
        }
        let event = GroupEvent::OrderAnswered {
            instance: self.instances[instance].name.clone(),
            fencing: order.fencing,
            answer,
        };
        let arrival = self.now + self.latency();
        self.push(arrival, WorldEvent::Deliver(node, event));
    }

    pub(super) fn deliver_entries(&mut self, from: usize, entries: &[GroupEntry]) {
        for entry in entries {
            if self.check.merge_entry(self.now, entry) {
                self.log_line(|| describe_entry(from, entry));
            }
        }
        let domain = self.nodes[from].failure_domain.clone();
        for node in 0..self.nodes.len() {
            if node != from && self.nodes[node].failure_domain == domain {
                let at = self.now;
                self.push(
                    at,
                    WorldEvent::Deliver(node, GroupEvent::Seen(entries.to_vec())),
                );
            }
        }
    }

    pub(super) fn deliver_heartbeat(&mut self, from: usize, heartbeat: &ControllerHeartbeat) {
        self.check
            .record_heartbeat(self.now, &heartbeat.failure_domain);
        for node in 0..self.nodes.len() {
            if node != from && self.nodes[node].failure_domain == heartbeat.failure_domain {
                self.push(
                    self.now,
                    WorldEvent::Deliver(node, GroupEvent::HolderHeartbeat),
                );
            }
        }
    }

    pub(super) fn begin_fault(&mut self, fault: WorldFault) {
        self.log_line(|| format!("fault {fault:?}"));
        let now = self.now;
        match fault {
            WorldFault::Die(instance, time) => self.stop_instance(instance, time),
            WorldFault::Pause(instance, time) => {
                self.meter
                    .record_pause(now, time, instance, &self.instances, &mut self.check);
                let target = &mut self.instances[instance];
                target.paused_until = target.paused_until.max(now + time);
            }
            WorldFault::Impersonate(instance) => {
                self.meter
                    .record_replacement(now, instance, &self.instances, &mut self.check);
                self.instances[instance].restart_with_old_state();
            }
            WorldFault::Straggle(instance, time) => {
                self.instances[instance].step_ms = STRAGGLER_STEP_MS;
                self.push(now + time, WorldEvent::Recover(instance));
            }
            WorldFault::Leave(instance, time) => {
                self.meter
                    .record_replacement(now, instance, &self.instances, &mut self.check);
                self.instances[instance].leaving = true;
                self.push(now + time, WorldEvent::Restart(instance));
            }
            WorldFault::FabricDown(fabric, time) => {
                for instance in 0..self.instances.len() {
                    if self.instances[instance].fabric_domain == fabric {
                        self.stop_instance(instance, time);
                    }
                }
            }
            WorldFault::PlatformOut(time) => self.table.outage_until = now + time,
            WorldFault::LoseAnswers(time) => self.table.lost_answers_until = now + time,
            WorldFault::SlowCommits(time) => self.table.late_commits_until = now + time,
            WorldFault::PauseNode(node, time) => self.nodes[node].paused_until = now + time,
            WorldFault::CutNode(node, time) => self.nodes[node].partitioned_until = now + time,
            WorldFault::KillNode(node) => self.nodes[node].stopped = true,
            WorldFault::SlowOrders(node, delay, time) => {
                self.nodes[node].order_delay = (delay, now + time);
            }
        }
    }

    fn stop_instance(&mut self, instance: usize, downtime: Duration) {
        if !self.instances[instance].alive {
            return;
        }
        self.meter
            .record_loss(self.now, instance, &self.instances, &mut self.check);
        self.instances[instance].alive = false;
        self.push(self.now + downtime, WorldEvent::Restart(instance));
    }
}

/// Keys that a commit writes after the lease row, which is always the first.
fn written_keys(request: &CommitRequest) -> String {
    let keys = request.writes[1..].iter().map(|write| write.key.as_str());
    keys.collect::<Vec<_>>().join(" ")
}

fn describe(order: &MemberOrder) -> String {
    let number = format!("{}.{}", order.fencing.term, order.fencing.sequence);
    match &order.order {
        OrderBody::Join(join) => format!(
            "join {} epoch {} rank {} ({number})",
            join.membership.group.0, join.membership.epoch, join.membership.rank
        ),
        OrderBody::Leave(group) => format!("leave {} ({number})", group.0),
        OrderBody::Fence => format!("fence ({number})"),
    }
}

fn describe_entry(from: usize, entry: &GroupEntry) -> String {
    let members: Vec<&str> = entry
        .members
        .iter()
        .map(|member| member.instance.as_str())
        .collect();
    let draining = if entry.draining { " draining" } else { "" };
    format!(
        "node {from} publishes {} {} epoch {} {:?}{draining} [{}]",
        entry.id.0,
        entry.service,
        entry.epoch,
        entry.state,
        members.join(" ")
    )
}
