use {
    crate::{
        adapters::{AdapterError, CommitOutcome, JsonClient, LocalUpdate, ProcessRuntime, Result},
        core::{
            groups::{GroupAction, GroupEvent, OrderAnswer},
            lease::LeaseEvent,
        },
        wire::{CommitRequest, InstanceReport, MemberOrder, OrderRefusal, TableRow},
    },
    bytes::Bytes,
    hyper::{Method, StatusCode},
    std::{net::SocketAddr, time::Duration},
};

/// Longest wait for the report that a poll requests; a later one would be too old to use.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Carries out the actions of the group manager.
#[derive(Debug, Clone)]
pub(super) struct ActionRunner {
    pub runtime: ProcessRuntime,
    pub client: JsonClient,
    pub failure_domain: String,
}

impl ActionRunner {
    /// Monotonic time since the process started.
    pub fn now(&self) -> Duration {
        self.runtime.started.elapsed()
    }

    /// Carries out one action. Returns the event that the group manager is to process, if any.
    pub async fn run(self, action: GroupAction) -> Option<GroupEvent> {
        match action {
            GroupAction::Poll { address, .. } => self.poll(address).await,
            GroupAction::Order {
                instance,
                address,
                order,
                expires,
            } => Some(self.order(instance, address, order, expires).await),
            GroupAction::ReadLease => Some(GroupEvent::Lease(self.read_lease().await)),
            GroupAction::Commit(request) => Some(GroupEvent::Lease(self.commit(&request).await)),
            GroupAction::ScanRows => Some(self.scan_rows().await.unwrap_or(GroupEvent::ScanFailed)),
            GroupAction::Publish(entries) => {
                self.publish(LocalUpdate::Groups(entries)).await;
                None
            }
            GroupAction::Heartbeat(heartbeat) => {
                self.publish(LocalUpdate::Controller(heartbeat)).await;
                None
            }
        }
    }

    async fn publish(&self, update: LocalUpdate) {
        if self.runtime.updates.send(update).await.is_err() {
            slog::error!(
                self.runtime.logger,
                "failed to publish an update: the exchange with the peers has ended"
            );
        }
    }

    async fn poll(&self, address: SocketAddr) -> Option<GroupEvent> {
        let polled_at = self.now();
        let call = self.client.call(
            Method::GET,
            address,
            "/control/report",
            Bytes::new(),
            POLL_TIMEOUT,
        );
        let reply = call.await.ok().filter(|reply| reply.status.is_success())?;
        let report: InstanceReport = match reply.decode() {
            Ok(report) => report,
            Err(error) => {
                slog::warn!(self.runtime.logger, "failed to decode the report of a backend server";
                    "address" => %address, "error" => %error);
                return None;
            }
        };
        Some(GroupEvent::Reported { polled_at, report })
    }

    async fn order(
        &self,
        instance: String,
        address: SocketAddr,
        mut order: MemberOrder,
        expires: Duration,
    ) -> GroupEvent {
        let fencing = order.fencing;
        let remaining = expires.saturating_sub(self.now());
        order.time_left_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let answer = if remaining.is_zero() {
            // The order has expired and is not sent, so that it can't take effect.
            OrderAnswer::Refused(OrderRefusal::DeadlinePassed)
        } else {
            self.send_order(address, &order, remaining).await
        };
        GroupEvent::OrderAnswered {
            instance,
            fencing,
            answer,
        }
    }

    async fn send_order(
        &self,
        address: SocketAddr,
        order: &MemberOrder,
        remaining: Duration,
    ) -> OrderAnswer {
        let call = self
            .client
            .send(Method::POST, address, "/control/orders", order, remaining);
        let Ok(reply) = call.await else {
            return OrderAnswer::Unknown;
        };
        match reply.status {
            StatusCode::CONFLICT => OrderAnswer::Refused(OrderRefusal::StaleFencing),
            StatusCode::GONE => OrderAnswer::Refused(OrderRefusal::DeadlinePassed),
            status if status.is_success() => reply
                .decode()
                .map_or(OrderAnswer::Unknown, OrderAnswer::Accepted),
            status => {
                slog::warn!(self.runtime.logger,
                    "a backend server answered an order with an unexpected status";
                    "address" => %address, "status" => status.as_u16());
                OrderAnswer::Unknown
            }
        }
    }

    async fn read_lease(&self) -> LeaseEvent {
        let key = format!("lease/{}", self.failure_domain);
        match self.runtime.platform.read(&key).await {
            Ok(row) => LeaseEvent::Read(row),
            Err(error) => {
                self.log_platform_failure(&error);
                LeaseEvent::CallFailed
            }
        }
    }

    async fn commit(&self, request: &CommitRequest) -> LeaseEvent {
        match self.runtime.platform.commit(request).await {
            Ok(CommitOutcome::Committed(version)) => LeaseEvent::Committed(version),
            Ok(CommitOutcome::Conflict(conflicts)) => LeaseEvent::Conflict(conflicts),
            Err(error) => {
                self.log_platform_failure(&error);
                LeaseEvent::CallFailed
            }
        }
    }

    async fn scan_rows(&self) -> Result<GroupEvent> {
        let platform = &self.runtime.platform;
        let prefix = format!("group/{}/", self.failure_domain);
        let members: Vec<TableRow> = platform.scan("member/").await?;
        let groups = platform.scan(&prefix).await?;
        Ok(GroupEvent::Rows { members, groups })
    }

    fn log_platform_failure(&self, error: &error_stack::Report<AdapterError>) {
        slog::warn!(self.runtime.logger, "failed to read or commit the lease row";
            "error" => %error);
    }
}
