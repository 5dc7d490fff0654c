use {
    super::{
        AttemptEnd, AttemptOrder, AttemptTarget, DispatchAction, Refusal, RefusalReason,
        RequestDispatcher, RequestIntake, RequestTarget,
        open_request::{GroupAttempt, OpenRequest, RequestStage},
    },
    crate::core::{
        retry::SuspectVerdict,
        routing::{PickRequest, PickedGroup},
    },
    std::time::Duration,
};

/// Time for which a retry waits for a group with a free batch slot before it accepts any group.
const FREE_SLOT_WAIT: Duration = Duration::from_millis(300);

/// Time without a target after which the targets that failed the request are tried again.
const RETRY_SAME_TARGET_AFTER: Duration = Duration::from_secs(1);

/// Maximum wait for a target before a request is refused; it covers a short gap between the loss of
/// the last group and its replacement.
const MAX_TARGET_WAIT: Duration = Duration::from_millis(1_500);

/// Maximum wait for a target of a request that has delivered a part of its answer, or of a suspect.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(20);

/// Weight of the newest sample in the moving average of dispatch intervals.
const SAMPLE_WEIGHT: f64 = 0.1;

impl RequestDispatcher {
    /// Refuses a request of a model service whose first token is predicted after its deadline.
    pub(super) fn check_prediction(
        &self,
        now: Duration,
        intake: &RequestIntake,
    ) -> Result<(), Refusal> {
        let RequestTarget::Model(service) = &intake.target else {
            return Ok(());
        };
        let predicted_s = self.predict_wait_s(now, service, intake);
        let left_s = intake.deadline.saturating_sub(now).as_secs_f64();
        if predicted_s <= left_s {
            return Ok(());
        }
        let detail = format!("the first token is expected after {predicted_s:.1} s");
        let wait = Duration::from_secs_f64((predicted_s - left_s).clamp(0.1, 600.0));
        Err(Refusal::not_run(RefusalReason::Overloaded, &detail).after(wait))
    }

    /// Predicted seconds to the first token of a new request, or to its start if it has to wait in
    /// the queue.
    fn predict_wait_s(&self, now: Duration, service: &str, intake: &RequestIntake) -> f64 {
        let request = pick_request(intake, &[], true);
        let ahead = self
            .queues
            .get(service)
            .map_or(0, |queue| queue.ahead_of(intake.priority));
        let picked = self.group_router.pick(now, &request);
        if let (0, Some(picked)) = (ahead, &picked) {
            return picked.first_token_s;
        }
        let interval_s = match self.dispatch_intervals.get(service) {
            Some((_, interval_s)) => *interval_s,
            None => self.group_router.release_interval_s(service).unwrap_or(0.0),
        };
        let queue_length = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        queue_length * interval_s
    }

    /// Starts queued requests while groups have free batch slots, and refuses those whose deadline
    /// has passed.
    pub(super) fn dispatch_queued(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        let services: Vec<String> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.refuse_expired(now, &service, out);
            while self.dispatch_head(now, &service, out) {}
        }
    }

    fn refuse_expired(&mut self, now: Duration, service: &str, out: &mut Vec<DispatchAction>) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        for ticket in queue.expired(now) {
            let detail = "the deadline passed in the queue";
            self.refuse_open(now, ticket, RefusalReason::DeadlinePassed, detail, out);
        }
    }

    /// Takes the head off the queue; returns false if it has to wait.
    fn dispatch_head(
        &mut self,
        now: Duration,
        service: &str,
        out: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(queue) = self.queues.get(service) else {
            return false;
        };
        let Some(ticket) = queue.head().map(|head| head.ticket) else {
            return false;
        };
        let backlog = queue.len() > 1;
        let Some(request) = self.open.get(&ticket) else {
            return false;
        };
        if self.suspects.verdict(request.intake.fingerprint) != SuspectVerdict::Unrestricted {
            self.take_from_queue(service, ticket);
            self.place_after(ticket, now);
            self.place_request(now, ticket, out);
            return true;
        }
        let pick = pick_request(&request.intake, &request.tried_groups, true);
        let Some(picked) = self.group_router.pick(now, &pick) else {
            return false;
        };
        let left_s = request.intake.deadline.saturating_sub(now).as_secs_f64();
        if picked.first_token_s > left_s {
            let detail = "the first token is expected after the deadline";
            self.refuse_open(now, ticket, RefusalReason::Overloaded, detail, out);
            return true;
        }
        self.take_from_queue(service, ticket);
        self.record_dispatch_interval(now, service, backlog);
        self.start_on_group(now, ticket, &picked, false, out);
        true
    }

    fn take_from_queue(&mut self, service: &str, ticket: u64) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.take(ticket);
        }
    }

    /// Updates the mean interval between dispatches. An interval is a sample only if more requests
    /// waited; otherwise the mean falls towards the interval at which batch slots become free.
    fn record_dispatch_interval(&mut self, now: Duration, service: &str, backlog: bool) {
        let fallback = self.group_router.release_interval_s(service).unwrap_or(0.0);
        let last = self.dispatch_intervals.get(service).copied();
        let (at, mean_s) = last.unwrap_or((now, fallback));
        let sample_s = if backlog {
            now.saturating_sub(at).as_secs_f64()
        } else {
            mean_s.min(fallback)
        };
        let mean_s = mean_s + SAMPLE_WEIGHT * (sample_s - mean_s);
        self.dispatch_intervals
            .insert(service.to_owned(), (now, mean_s));
    }

    fn place_after(&mut self, ticket: u64, at: Duration) {
        if let Some(request) = self.open.get_mut(&ticket) {
            request.stage = RequestStage::Delayed(at);
            self.pending_tickets.insert(ticket);
        }
    }

    /// Tries to start the requests that wait outside the queues: retries, suspects, calls of plain
    /// services and requests with a claim.
    pub(super) fn place_pending(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        let tickets: Vec<u64> = self.pending_tickets.iter().copied().collect();
        for ticket in tickets {
            self.place_request(now, ticket, out);
        }
    }

    fn place_request(&mut self, now: Duration, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get(&ticket) else {
            self.pending_tickets.remove(&ticket);
            return;
        };
        if matches!(request.stage, RequestStage::Delayed(until) if now < until) {
            return;
        }
        let placed = match &request.intake.target {
            RequestTarget::Plain(service) => {
                let service = service.clone();
                self.place_on_server(now, ticket, &service, out)
            }
            RequestTarget::Model(_) => self.place_on_group(now, ticket, out),
        };
        if !placed {
            self.record_stall(now, ticket, out);
        }
    }

    /// Records that no target was found, and refuses the request after its deadline or maximum
    /// wait.
    fn record_stall(&mut self, now: Duration, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        let stalled_for = now.saturating_sub(*request.stalled_at.get_or_insert(now));
        if stalled_for >= RETRY_SAME_TARGET_AFTER {
            request.tried_groups.clear();
            request.tried_servers.clear();
        }
        let is_suspect =
            self.suspects.verdict(request.intake.fingerprint) == SuspectVerdict::Isolate;
        let max_wait = if request.delivered > 0 || is_suspect {
            MAX_RESUME_WAIT
        } else {
            MAX_TARGET_WAIT
        };
        let is_late = request.delivered == 0 && now >= request.intake.deadline;
        if is_late {
            let detail = "the deadline passed while no group or server was free";
            self.refuse_open(now, ticket, RefusalReason::DeadlinePassed, detail, out);
        } else if stalled_for >= max_wait {
            let detail = "no group or server of the service takes requests";
            let reason = if request.delivered > 0 {
                RefusalReason::Interrupted
            } else {
                RefusalReason::NoTarget
            };
            self.refuse_open(now, ticket, reason, detail, out);
        }
    }

    fn place_on_server(
        &mut self,
        now: Duration,
        ticket: u64,
        service: &str,
        out: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(request) = self.open.get_mut(&ticket) else {
            return true;
        };
        let leaving = &self.view.leaving;
        let picked = self
            .plain_router
            .pick(now, service, &request.tried_servers, leaving);
        let Some(picked) = picked else {
            return false;
        };
        self.pending_tickets.remove(&ticket);
        self.plain_router.record_sent(&picked.instance);
        request.stage = RequestStage::OnServer(picked.instance.clone());
        let target = AttemptTarget::Server(picked.instance);
        out.push(start_action(self.boot, request, target, picked.address));
        true
    }

    fn place_on_group(
        &mut self,
        now: Duration,
        ticket: u64,
        out: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(request) = self.open.get(&ticket) else {
            return true;
        };
        match self.suspects.verdict(request.intake.fingerprint) {
            SuspectVerdict::Refuse => {
                self.schedule_refusal(now, ticket);
                return true;
            }
            SuspectVerdict::Isolate => return self.place_isolated(now, ticket, out),
            SuspectVerdict::Unrestricted => {}
        }
        let stalled_for = request
            .stalled_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let with_room = pick_request(&request.intake, &request.tried_groups, true);
        let mut picked = self.group_router.pick(now, &with_room);
        if picked.is_none() && stalled_for >= FREE_SLOT_WAIT {
            let any_group = pick_request(&request.intake, &request.tried_groups, false);
            picked = self.group_router.pick(now, &any_group);
        }
        let Some(picked) = picked else {
            return false;
        };
        self.start_on_group(now, ticket, &picked, false, out);
        true
    }

    pub(super) fn start_on_group(
        &mut self,
        now: Duration,
        ticket: u64,
        picked: &PickedGroup,
        isolated: bool,
        out: &mut Vec<DispatchAction>,
    ) {
        self.pending_tickets.remove(&ticket);
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        let intake = &request.intake;
        self.group_router
            .record_sent(now, picked.key, intake.prompt_tokens, intake.prefix);
        request.stalled_at = None;
        request.stage = RequestStage::OnGroup(GroupAttempt {
            key: picked.key,
            id: picked.id.clone(),
            epoch: picked.epoch,
            started_at: now,
            predicted_s: picked.first_token_s,
            isolated,
            first_token_seen: false,
        });
        let target = AttemptTarget::Group(picked.id.clone(), picked.epoch);
        out.push(start_action(self.boot, request, target, picked.address));
    }

    /// Records the first token, and compares its time with the prediction the first time in an
    /// attempt.
    pub(super) fn record_first_token(&mut self, now: Duration, ticket: u64) {
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        request.ran = true;
        request.first_token_at.get_or_insert(now);
        let RequestStage::OnGroup(attempt) = &mut request.stage else {
            return;
        };
        if attempt.first_token_seen {
            return;
        }
        attempt.first_token_seen = true;
        let observed_s = now.saturating_sub(attempt.started_at).as_secs_f64();
        self.group_router
            .record_first_token(attempt.key, attempt.predicted_s, observed_s);
    }

    /// Detaches a request from its target after a failed attempt, so that it can be placed again.
    pub(super) fn detach_from_target(
        &mut self,
        now: Duration,
        ticket: u64,
        end: AttemptEnd,
        out: &mut Vec<DispatchAction>,
    ) {
        let Some(mut request) = self.open.remove(&ticket) else {
            return;
        };
        self.free_target(now, &request, false);
        match &request.stage {
            RequestStage::OnServer(instance) => {
                if end != AttemptEnd::NotStarted {
                    self.plain_router.avoid(now, instance);
                }
                request.tried_servers.push(instance.clone());
            }
            RequestStage::OnGroup(attempt) => {
                let failed = matches!(
                    end,
                    AttemptEnd::ConnectFailed | AttemptEnd::Crashed | AttemptEnd::Unresponsive
                );
                if failed {
                    self.group_router.avoid(now, attempt.key);
                }
                if end != AttemptEnd::ConnectionLost {
                    request.tried_groups.push(attempt.id.clone());
                }
                if end == AttemptEnd::Crashed {
                    self.record_crash(&request, attempt, out);
                }
            }
            _ => {}
        }
        request.stage = RequestStage::Delayed(now);
        self.open.insert(ticket, request);
    }

    /// Ends the accounting of a request on its target, if it has one.
    pub(super) fn free_target(&mut self, now: Duration, request: &OpenRequest, completed: bool) {
        match &request.stage {
            RequestStage::OnServer(instance) => self.plain_router.record_ended(instance),
            RequestStage::OnGroup(attempt) => {
                let run_time = completed.then(|| now.saturating_sub(attempt.started_at));
                self.group_router
                    .record_ended(now, attempt.key, attempt.epoch, run_time);
            }
            _ => {}
        }
    }
}

pub(super) fn pick_request<'a>(
    intake: &'a RequestIntake,
    tried: &'a [crate::wire::GroupId],
    needs_room: bool,
) -> PickRequest<'a> {
    PickRequest {
        service: intake.service(),
        tokens: intake.prompt_tokens,
        prefix: intake.prefix,
        tried,
        needs_room,
    }
}

fn start_action(
    boot: u64,
    request: &mut OpenRequest,
    target: AttemptTarget,
    address: std::net::SocketAddr,
) -> DispatchAction {
    request.attempts += 1;
    let intake = &request.intake;
    DispatchAction::Start(AttemptOrder {
        ticket: intake.ticket,
        attempt: format!("{boot:016x}-{}-{}", intake.ticket, request.attempts),
        target,
        address,
        deadline: intake.deadline,
        priority: intake.priority,
    })
}
