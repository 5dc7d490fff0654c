use {
    super::{
        AttemptEnd, AttemptOrder, AttemptTarget, DispatchAction, Refusal, RefusalReason,
        RequestDispatcher, RequestIntake, RequestTarget,
        open_request::{GroupRun, OpenRequest, RequestStage},
    },
    crate::core::{
        retry::SuspectVerdict,
        routing::{PickRequest, PickedGroup},
    },
    std::time::Duration,
};

/// Wait of a retry for a group with room before it takes one without.
const ROOM_WAIT: Duration = Duration::from_millis(300);

/// Wait before groups that failed the request are tried again.
const FORGET_TRIED: Duration = Duration::from_secs(1);

/// Wait for a target before a request is refused; it covers a short gap
/// between the loss of the last group and its replacement.
const TARGET_WAIT: Duration = Duration::from_millis(1_500);

/// Wait of a broken stream or a suspect for a group to run on.
const RESUME_WAIT: Duration = Duration::from_secs(20);

/// Share of the newest sample in the running mean of dispatch intervals.
const SAMPLE_SHARE: f64 = 0.1;

impl RequestDispatcher {
    /// Refuses a request whose predicted first token is past its deadline.
    pub(super) fn check_prediction(
        &self,
        now: Duration,
        intake: &RequestIntake,
    ) -> Result<(), Refusal> {
        let RequestTarget::Model(service) = &intake.target else {
            return Ok(());
        };
        let predicted_s = self.predict(now, service, intake);
        let left_s = intake.deadline.saturating_sub(now).as_secs_f64();
        if predicted_s <= left_s {
            return Ok(());
        }
        let detail = format!("the first token is expected after {predicted_s:.1} s");
        let wait = Duration::from_secs_f64((predicted_s - left_s).clamp(0.1, 600.0));
        Err(Refusal::not_run(RefusalReason::Overloaded, &detail).after(wait))
    }

    fn predict(&self, now: Duration, service: &str, intake: &RequestIntake) -> f64 {
        let request = pick_request(intake, &[], true);
        let ahead = self
            .queues
            .get(service)
            .map_or(0, |queue| queue.ahead_of(intake.priority));
        let picked = self.router.pick(now, &request);
        if let (0, Some(picked)) = (ahead, &picked) {
            return picked.first_token_s;
        }
        let interval_s = match self.dispatch_s.get(service) {
            Some((_, interval_s)) => *interval_s,
            None => self.router.release_interval_s(service).unwrap_or(0.0),
        };
        let places = f64::from(u32::try_from(ahead + 1).unwrap_or(u32::MAX));
        places * interval_s
    }

    /// Sends queued requests while groups have room.
    pub(super) fn pump_queues(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        let services: Vec<String> = self
            .queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.drop_expired(now, &service, out);
            while self.pump_one(now, &service, out) {}
        }
    }

    fn drop_expired(&mut self, now: Duration, service: &str, out: &mut Vec<DispatchAction>) {
        let Some(queue) = self.queues.get(service) else {
            return;
        };
        for ticket in queue.expired(now) {
            let detail = "the deadline passed in the queue";
            self.refuse_open(now, ticket, RefusalReason::DeadlinePassed, detail, out);
        }
    }

    fn pump_one(&mut self, now: Duration, service: &str, out: &mut Vec<DispatchAction>) -> bool {
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
        if self.suspects.judge(request.intake.fingerprint) != SuspectVerdict::Free {
            self.take_from_queue(service, ticket);
            self.wait_until(ticket, now);
            self.place_one(now, ticket, out);
            return true;
        }
        let pick = pick_request(&request.intake, &request.tried, true);
        let Some(picked) = self.router.pick(now, &pick) else {
            return false;
        };
        let left_s = request.intake.deadline.saturating_sub(now).as_secs_f64();
        if picked.first_token_s > left_s {
            let detail = "the first token is expected after the deadline";
            self.refuse_open(now, ticket, RefusalReason::Overloaded, detail, out);
            return true;
        }
        self.take_from_queue(service, ticket);
        self.note_dispatch(now, service, backlog);
        self.start_on_group(now, ticket, &picked, false, out);
        true
    }

    fn take_from_queue(&mut self, service: &str, ticket: u64) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.take(ticket);
        }
    }

    fn note_dispatch(&mut self, now: Duration, service: &str, backlog: bool) {
        let fallback = self.router.release_interval_s(service).unwrap_or(0.0);
        let last = self.dispatch_s.get(service).copied();
        let (at, mean_s) = last.unwrap_or((now, fallback));
        let sample_s = if backlog {
            now.saturating_sub(at).as_secs_f64()
        } else {
            mean_s.min(fallback)
        };
        let mean_s = mean_s + SAMPLE_SHARE * (sample_s - mean_s);
        self.dispatch_s.insert(service.to_owned(), (now, mean_s));
    }

    fn wait_until(&mut self, ticket: u64, at: Duration) {
        if let Some(request) = self.open.get_mut(&ticket) {
            request.stage = RequestStage::Pausing(at);
            self.waiting.insert(ticket);
        }
    }

    /// Places requests that wait outside the queues: retries, suspects, plain calls.
    pub(super) fn place_waiting(&mut self, now: Duration, out: &mut Vec<DispatchAction>) {
        let tickets: Vec<u64> = self.waiting.iter().copied().collect();
        for ticket in tickets {
            self.place_one(now, ticket, out);
        }
    }

    fn place_one(&mut self, now: Duration, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get(&ticket) else {
            self.waiting.remove(&ticket);
            return;
        };
        if matches!(request.stage, RequestStage::Pausing(until) if now < until) {
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
            self.note_stall(now, ticket, out);
        }
    }

    /// Notes that no target was found, and gives up after a bound.
    fn note_stall(&mut self, now: Duration, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        let stalled = now.saturating_sub(*request.stalled_at.get_or_insert(now));
        if stalled >= FORGET_TRIED {
            request.tried.clear();
            request.tried_servers.clear();
        }
        let suspect = self.suspects.judge(request.intake.fingerprint) == SuspectVerdict::Apart;
        let bound = if request.delivered > 0 || suspect {
            RESUME_WAIT
        } else {
            TARGET_WAIT
        };
        let late = request.delivered == 0 && now >= request.intake.deadline;
        if late {
            let detail = "the deadline passed while no group or server was free";
            self.refuse_open(now, ticket, RefusalReason::DeadlinePassed, detail, out);
        } else if stalled >= bound {
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
            .plain
            .pick(now, service, &request.tried_servers, leaving);
        let Some(picked) = picked else {
            return false;
        };
        self.waiting.remove(&ticket);
        self.plain.note_sent(&picked.instance);
        request.stage = RequestStage::OnServer(picked.instance.clone());
        let target = AttemptTarget::Server(picked.instance);
        out.push(start(self.boot, request, target, picked.address));
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
        match self.suspects.judge(request.intake.fingerprint) {
            SuspectVerdict::Refuse => {
                self.refuse_later(now, ticket);
                return true;
            }
            SuspectVerdict::Apart => return self.place_apart(now, ticket, out),
            SuspectVerdict::Free => {}
        }
        let stalled = request
            .stalled_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let with_room = pick_request(&request.intake, &request.tried, true);
        let mut picked = self.router.pick(now, &with_room);
        if picked.is_none() && stalled >= ROOM_WAIT {
            let any = pick_request(&request.intake, &request.tried, false);
            picked = self.router.pick(now, &any);
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
        apart: bool,
        out: &mut Vec<DispatchAction>,
    ) {
        self.waiting.remove(&ticket);
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        let intake = &request.intake;
        self.router
            .note_sent(now, picked.key, intake.prompt_tokens, intake.prefix);
        request.stalled_at = None;
        request.stage = RequestStage::OnGroup(GroupRun {
            key: picked.key,
            id: picked.id.clone(),
            epoch: picked.epoch,
            started_at: now,
            predicted_s: picked.first_token_s,
            apart,
            first_token: false,
        });
        let target = AttemptTarget::Group(picked.id.clone(), picked.epoch);
        out.push(start(self.boot, request, target, picked.address));
    }

    /// Compares the first token with its prediction.
    pub(super) fn note_first_token(&mut self, now: Duration, ticket: u64) {
        let Some(request) = self.open.get_mut(&ticket) else {
            return;
        };
        request.ran = true;
        request.first_token_at.get_or_insert(now);
        let RequestStage::OnGroup(run) = &mut request.stage else {
            return;
        };
        if run.first_token {
            return;
        }
        run.first_token = true;
        let seen_s = now.saturating_sub(run.started_at).as_secs_f64();
        self.router
            .note_first_token(run.key, run.predicted_s, seen_s);
    }

    /// Takes a request off its target after a failed attempt.
    pub(super) fn leave_target(
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
                    self.plain.avoid(now, instance);
                }
                request.tried_servers.push(instance.clone());
            }
            RequestStage::OnGroup(run) => {
                let failed = matches!(
                    end,
                    AttemptEnd::ConnectFailed | AttemptEnd::Crashed | AttemptEnd::Unresponsive
                );
                if failed {
                    self.router.avoid(now, run.key);
                }
                if end != AttemptEnd::ConnectionLost {
                    request.tried.push(run.id.clone());
                }
                if end == AttemptEnd::Crashed {
                    self.note_crash(&request, run, out);
                }
            }
            _ => {}
        }
        request.stage = RequestStage::Pausing(now);
        self.open.insert(ticket, request);
    }

    /// Frees the place that a request holds on its target.
    pub(super) fn free_target(&mut self, now: Duration, request: &OpenRequest, completed: bool) {
        match &request.stage {
            RequestStage::OnServer(instance) => self.plain.note_ended(instance),
            RequestStage::OnGroup(run) => {
                let held = completed.then(|| now.saturating_sub(run.started_at));
                self.router.note_ended(now, run.key, run.epoch, held);
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

fn start(
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
