//! Tells the decision about cold servers what entries, responses and beacons say, and lets requests
//! wait for permits.

use {
    super::{
        NodeContext, NodeMetrics, OutcomeLabel, RoutedCall, ServerTarget, attempt_slot::millis,
        node_clock::now, node_context::lock, node_log::REQUEST_TAG, problem_reply::ProblemReply,
    },
    crate::{
        conf::NodeSettings,
        core::{
            cold::{ColdGate, ColdLimiter, ColdNotice, EntryFacts, MAX_COLD},
            fleet::{BackendEntry, FleetChange},
            placement::{PlacementRequest, RefusalCause, cold_return_delay},
        },
    },
    slog::info,
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Longest identifier in bytes of a cold server that beacons name.
const MAX_ANNOUNCED_NAME: usize = 64;

/// Creates the permits for cold servers of a node that starts now.
pub(super) fn new_cold_gate(settings: &NodeSettings) -> ColdGate {
    let bound = settings.bounds.cold_bound();
    let own = settings.peer_listen;
    ColdGate::new(ColdLimiter::new(
        own,
        &settings.failure_domain,
        bound,
        now(),
    ))
}

/// Counts a request as waiting for a permit until it is dropped.
struct PermitWaiter<'a> {
    context: &'a NodeContext,
    service: &'a str,
}

impl Drop for PermitWaiter<'_> {
    fn drop(&mut self) {
        if let Some(count) = lock(&self.context.permit_waiters).get_mut(self.service) {
            *count = count.saturating_sub(1);
        }
    }
}

impl NodeContext {
    /// Takes the remaining cold times of the entries that were received since the last call, and
    /// the servers that are gone.
    pub(super) fn note_cold_entries(&self, changes: &[FleetChange]) {
        let at = now();
        let mut notices = Vec::new();
        {
            let mut fleet = self.fleet();
            let mut limiter = self.cold.limiter();
            for id in fleet.take_heard() {
                let Some(entry) = fleet.get(&id) else {
                    continue;
                };
                notices.extend(limiter.note_entry(at, &entry_facts(entry)));
            }
            for change in changes {
                if let FleetChange::Gone(id) = change {
                    limiter.note_gone(at, id);
                }
            }
        }
        self.log_cold(&notices);
    }

    /// Takes the remaining cold time that a server stated in a response.
    pub(super) fn note_cold_answer(&self, target: &ServerTarget, left: Duration) {
        let at = now();
        let mut limiter = self.cold.limiter();
        let notice = limiter.note_response(at, &target.server, target.born_ms, left);
        drop(limiter);
        self.log_cold(notice.as_slice());
    }

    /// Takes from the beacon of another node that a server stays cold for `left_ms` milliseconds.
    pub fn note_peer_cold(&self, server: &str, born_ms: u64, left_ms: u32) {
        let left = Duration::from_millis(left_ms.into()).min(MAX_COLD);
        let notice = self.cold.limiter().note_peer(now(), server, born_ms, left);
        self.log_cold(notice.as_slice());
    }

    /// Servers that the beacons name as cold. Long identifiers are left out; those of the platform
    /// have 12 bytes.
    pub(super) fn cold_to_announce(&self) -> Vec<(String, u64, u32)> {
        let mut named = Vec::new();
        for (server, born_ms, left) in self.cold.limiter().to_announce(now()) {
            if server.len() <= MAX_ANNOUNCED_NAME {
                let left_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
                named.push((server, born_ms, left_ms));
            }
        }
        named
    }

    /// Counts the servers of a failure domain as cold, since its drain has ended.
    pub fn note_drain_ended(&self, failure_domain: &str) {
        let notices = self.cold.limiter().drain_ended(now(), failure_domain);
        self.log_cold(&notices);
    }

    fn log_cold(&self, notices: &[ColdNotice]) {
        for notice in notices {
            info!(self.logger, "a backend server is cold"; "server" => &notice.server,
                "source" => notice.source.label(), "left_ms" => millis(notice.left));
        }
    }

    /// The entry for another node, with the remaining cold time of now.
    pub(super) fn restated(&self, entry: &BackendEntry) -> BackendEntry {
        let left = self.cold.limiter().stated_left(now(), &entry.id);
        let left = left.map(|left| u32::try_from(left.as_millis()).unwrap_or(u32::MAX));
        BackendEntry {
            cold_left_ms: entry.cold_left_ms.and(left),
            ..entry.clone()
        }
    }

    /// Updates the nodes that share the permits for cold servers, and the metrics.
    pub fn update_cold_nodes(&self) {
        let at = now();
        let peers = self.peers();
        let mut limiter = self.cold.limiter();
        limiter.update_nodes(at, peers.sightings(&self.settings.failure_domain));
        let counts = limiter.counts();
        let cold_servers = i64::try_from(limiter.cold_ends(at).len()).unwrap_or(i64::MAX);
        self.metrics.cold_servers.set(cold_servers);
        for (outcome, count) in [("used", counts.used), ("lost", counts.lost)] {
            let counter = self
                .metrics
                .cold_permits
                .get_or_create(&OutcomeLabel { outcome });
            counter.inc_by(count.saturating_sub(counter.get()));
        }
    }

    /// Logs that a request waits for a permit, once a minute for each model.
    pub(super) fn log_permit_wait(&self, request: &PlacementRequest, request_id: &str) {
        let Some(wait) = self.scheduler().permit_wait(now(), request) else {
            return;
        };
        self.log_wait(&request.model, request_id, wait);
    }

    fn log_wait(&self, name: &str, request_id: &str, wait: Duration) {
        if self.is_log_due("permit_wait", name) {
            info!(self.logger, #REQUEST_TAG, "a request waits for a permit for a cold server";
                "request" => request_id, "for" => name, "wait_ms" => millis(wait));
        }
    }

    /// Waits for this node's next permit for a server of a plain service, as seen at `at`, the time at
    /// which no server was found. False when the servers that could run the request need no permit.
    ///
    /// # Errors
    /// The error response for the caller, when no permit comes within the objective for it.
    pub(super) async fn wait_for_permit(
        &self,
        call: &RoutedCall,
        at: Duration,
    ) -> Result<bool, ProblemReply> {
        let end = call.in_time_until().min(call.give_up_at);
        let next = self.plain_balancer().next_permit(at, &call.service, end);
        let Some((until, permits)) = next else {
            return Ok(false);
        };
        let waiter = self.begin_wait(&call.service, permits);
        if waiter.is_none() || until > end {
            let delay = cold_return_delay(at, until, rand::random());
            return Err(ProblemReply::not_run(RefusalCause::Cold.label(), delay));
        }
        let wait = until.saturating_sub(now());
        self.log_wait(&call.service, &call.caller.request_id, wait);
        NodeMetrics::observe(&self.metrics.waited, wait);
        tokio::time::sleep(wait).await;
        Ok(true)
    }

    /// Counts a request as waiting; none when as many wait as there are permits.
    fn begin_wait<'a>(&'a self, service: &'a str, permits: u32) -> Option<PermitWaiter<'a>> {
        let mut waiters = lock(&self.permit_waiters);
        let count = waiters.entry(service.to_owned()).or_default();
        if *count >= permits {
            return None;
        }
        *count += 1;
        Some(PermitWaiter {
            context: self,
            service,
        })
    }
}

fn entry_facts(entry: &BackendEntry) -> EntryFacts {
    EntryFacts {
        server: entry.id.clone(),
        service: entry.service.clone(),
        failure_domain: entry.failure_domain.clone(),
        born_ms: entry.born_ms,
        cold_left: entry
            .cold_left_ms
            .map(|millis| Duration::from_millis(millis.into()).min(MAX_COLD)),
        age: age_of(entry.born_ms),
    }
}

/// Time since the start of a server by the clock of this instance; none when it is not known.
fn age_of(born_ms: u64) -> Option<Duration> {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
    let started = Some(born_ms).filter(|born_ms| *born_ms > 0)?;
    Some(unix_time.saturating_sub(Duration::from_millis(started)))
}
