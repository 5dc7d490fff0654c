//! Slots at backend servers: acquired before a request is sent, which counts it in the load of the
//! server, and released when the attempt has ended or the caller has left.

use {
    super::{
        NodeContext, NodeMetrics, RoutedCall,
        crash_watch::{ATTEMPT_STAGE, CrashWatch},
        node_clock::now,
        node_log::REQUEST_TAG,
        problem_reply::ProblemReply,
    },
    crate::core::{
        fairness::ShareClass,
        placement::{
            AttemptKey, CapacitySnapshot, Placement, PlacementClass, PlacementDecision,
            PlacementRequest, PlainServerKey, RefusalCause, TicketKey, drained_delay,
        },
    },
    slog::info,
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// Retry-after time of a request that found no usable server.
const NO_SERVER_RETRY: Duration = Duration::from_millis(300);

/// Longest wait for a slot of a request that resumes a broken stream; its caller leaves after a
/// pause of two seconds.
const RESUME_WAIT: Duration = Duration::from_millis(1_500);

/// Where the slot is.
#[derive(Debug)]
enum SlotKind {
    /// At a replica group, chosen by the scheduler.
    Group {
        attempt: AttemptKey,
        group: String,
        epoch: u64,
        move_signal: Option<oneshot::Receiver<()>>,
    },
    /// At a server of a plain service, chosen by the balancer.
    Plain {
        key: PlainServerKey,
        started: Duration,
        outcome: PlainOutcome,
        /// Class under which the work is counted; none without account shares.
        share_class: Option<ShareClass>,
    },
}

/// Result of a request at a plain server, which the balancer gets when the slot is dropped.
#[derive(Debug)]
enum PlainOutcome {
    /// The attempt ended without a result, for example because its caller left; this says nothing
    /// about the server.
    Abandoned,
    /// The server failed.
    Failed,
    /// A usable response was complete after this time.
    Answered(Duration),
}

/// A backend server chosen for one attempt, which counts in the load of the server; released on
/// drop.
#[derive(Debug)]
pub struct AttemptSlot {
    context: Arc<NodeContext>,
    kind: SlotKind,
    crash_watch: CrashWatch,
    /// The server that the attempt is sent to; for a replica group its head, the member of rank 0.
    pub target: ServerTarget,
}

/// Identifier and address of a backend server.
#[derive(Debug, Clone)]
pub struct ServerTarget {
    /// Identifier in the list of backend servers; the request names it, so that another server at
    /// the same address rejects it.
    pub server: String,
    /// Start time of the incarnation for which the server was chosen, in Unix milliseconds.
    pub born_ms: u64,
    /// Address for HTTP requests.
    pub address: SocketAddr,
}

/// What earlier attempts of a request leave behind for the choice of the next slot; empty at the
/// first attempt.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Plain servers that failed; they are chosen only as a last resort.
    pub tried: SmallVec<[PlainServerKey; 2]>,
    /// Group and epoch of the last failed attempt, which the scheduler avoids.
    pub avoid: Option<(String, u64)>,
    /// Servers to which the next attempt is restricted, since the request may be sent to no further
    /// ones; empty without a restriction.
    pub only_servers: SmallVec<[String; 2]>,
    /// Tokens of the response that the caller already has, which count as part of the prompt of the
    /// next attempt; nothing sets them at present, so they are 0.
    pub delivered_tokens: u32,
    /// True when the next attempt resumes a broken stream.
    pub resumed: bool,
}

/// A request that waits for a slot. On drop, also when its caller leaves during the wait, it is
/// withdrawn, and a slot that was sent and not taken is given back.
struct WaitingRequest<'a> {
    context: &'a NodeContext,
    ticket: TicketKey,
    decision: oneshot::Receiver<PlacementDecision>,
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        self.context.stop_waiting(self.ticket);
        self.decision.close();
        if let Ok(PlacementDecision::Place(placement)) = self.decision.try_recv() {
            self.context.end_attempt(placement.attempt);
        }
    }
}

impl AttemptSlot {
    /// Acquires a slot for an attempt. A request for a replica group may wait in the queue of the
    /// scheduler. While the node stops, only attempts that end before the process does get one.
    ///
    /// # Errors
    /// The error response for the caller, when the request is refused.
    pub async fn acquire(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        history: &AttemptHistory,
    ) -> Result<Self, ProblemReply> {
        context.check_blocked(call, ATTEMPT_STAGE)?;
        context.check_stop(call, history, "attempt")?;
        match &call.caller.model {
            Some(model) if call.needs_engine() => {
                Self::acquire_group(context, call, model, history).await
            }
            _ => Self::acquire_plain(context, call, history).await,
        }
    }

    async fn acquire_plain(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        history: &AttemptHistory,
    ) -> Result<Self, ProblemReply> {
        let domain = &context.settings.failure_domain;
        let share_class = context.admit_plain(call, history.tried.is_empty())?;
        let (started, (key, server, address)) = loop {
            let at = now();
            let tried = &history.tried;
            let picked = context
                .plain_balancer()
                .pick(at, &call.service, domain, tried);
            if let Some(picked) = picked {
                break (at, picked);
            }
            if context.plain_balancer().is_fully_drained(&call.service) {
                let delay = drained_delay(rand::random());
                return Err(ProblemReply::not_run(RefusalCause::Drained.label(), delay));
            }
            if let Some(pause) = context.pause_of(call) {
                context.note_plain_lack(share_class);
                return Err(ProblemReply::not_run(RefusalCause::Paused.label(), pause));
            }
            if !context.wait_for_permit(call, at).await? {
                return Err(ProblemReply::not_run("no_server", NO_SERVER_RETRY));
            }
            context.check_blocked(call, ATTEMPT_STAGE)?;
            context.check_stop(call, history, "attempt")?;
        };
        Ok(Self {
            context: Arc::clone(context),
            kind: SlotKind::Plain {
                key,
                started,
                outcome: PlainOutcome::Abandoned,
                share_class,
            },
            crash_watch: CrashWatch::new(context, call, &server),
            target: ServerTarget {
                born_ms: context.born_of(&server),
                server,
                address,
            },
        })
    }

    async fn acquire_group(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        model: &str,
        history: &AttemptHistory,
    ) -> Result<Self, ProblemReply> {
        let placement_class = if history.resumed {
            PlacementClass::Resumed
        } else {
            PlacementClass::InTime
        };
        let request = PlacementRequest {
            wait_until: now() + RESUME_WAIT,
            route: call.route().name.clone(),
            service: call.service.clone(),
            model: model.to_owned(),
            prompt_tokens: call.caller.prompt_tokens + history.delivered_tokens,
            answer_tokens: call.answer_tokens(),
            priority: call.priority(),
            account: call.account_tag(),
            objective: call.route().objective,
            in_time_until: call.in_time_until(),
            give_up_at: call.give_up_at,
            placement_class,
            avoid: history.avoid.clone(),
            only_heads: history.only_servers.clone(),
        };
        let decision = context.scheduler().arrive(now(), &request);
        if matches!(decision, PlacementDecision::Wait(_)) {
            context.log_permit_wait(&request, &call.caller.request_id);
        }
        let decision = match decision {
            PlacementDecision::Wait(ticket) => Self::wait(context, call, history, ticket).await?,
            other => other,
        };
        match decision {
            PlacementDecision::Place(placement) => {
                Ok(Self::from_placement(context, call, placement))
            }
            PlacementDecision::Refuse {
                cause: cause @ RefusalCause::AccountShare,
                retry_after,
            } => {
                context.record_share_rejection(call, retry_after);
                Err(ProblemReply::not_run(cause.label(), retry_after))
            }
            PlacementDecision::Refuse { cause, retry_after } => {
                let capacity = context.scheduler().capacity_for(now(), &request);
                log_refusal(context, &call.caller.request_id, &request, cause, &capacity);
                Err(ProblemReply::not_run(cause.label(), retry_after))
            }
            PlacementDecision::Wait(_) => Err(ProblemReply::not_run(
                RefusalCause::TooLate.label(),
                NO_SERVER_RETRY,
            )),
        }
    }

    async fn wait(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        history: &AttemptHistory,
        ticket: TicketKey,
    ) -> Result<PlacementDecision, ProblemReply> {
        let mut waiting = WaitingRequest {
            context,
            ticket,
            decision: context.register_waiter(ticket),
        };
        let started = now();
        let decision = tokio::select! {
            biased;
            decision = tokio::time::timeout(call.time_left(), &mut waiting.decision) => decision,
            problem = Self::wait_for_block(context, call) => return Err(problem),
            problem = context.wait_for_stop_refusal(call, history) => return Err(problem),
        };
        drop(waiting);
        NodeMetrics::observe(&context.metrics.waited, now().saturating_sub(started));
        Ok(match decision {
            Ok(Ok(decision)) => decision,
            _ => PlacementDecision::Refuse {
                cause: RefusalCause::TooLate,
                retry_after: NO_SERVER_RETRY,
            },
        })
    }

    /// Waits until the request is known to crash servers; never returns for others.
    async fn wait_for_block(context: &NodeContext, call: &RoutedCall) -> ProblemReply {
        loop {
            let changed = context.blocks_changed.notified();
            if let Err(problem) = context.check_blocked(call, "stopped_in_queue") {
                return problem;
            }
            changed.await;
        }
    }

    fn from_placement(context: &Arc<NodeContext>, call: &RoutedCall, placement: Placement) -> Self {
        info!(context.logger, #REQUEST_TAG, "placed a request at a replica group";
            "request" => &call.caller.request_id,
            "group" => &placement.group, "epoch" => placement.epoch, "server" => &placement.head,
            "predicted_ms" => millis(placement.predicted), "running" => placement.running,
            "peer_figures_age_ms" => millis(placement.peer_age));
        Self {
            context: Arc::clone(context),
            kind: SlotKind::Group {
                attempt: placement.attempt,
                move_signal: Some(context.register_move_signal(placement.attempt)),
                group: placement.group,
                epoch: placement.epoch,
            },
            crash_watch: CrashWatch::new(context, call, &placement.head),
            target: ServerTarget {
                server: placement.head,
                born_ms: placement.head_born_ms,
                address: placement.address,
            },
        }
    }

    /// Waits until the scheduler signals that the group of the attempt is silent, once for each
    /// silence; never returns for plain servers.
    pub async fn move_requested(&mut self) {
        if let SlotKind::Group { move_signal, .. } = &mut self.kind
            && let Some(signal) = move_signal.as_mut()
        {
            let signalled = signal.await.is_ok();
            *move_signal = None;
            if signalled {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reports to the scheduler that `count` events of the stream have arrived, which shows that
    /// the group makes progress.
    pub fn note_events(&mut self, count: usize) {
        self.crash_watch.record_sound(&self.context);
        let SlotKind::Group {
            attempt,
            move_signal,
            ..
        } = &mut self.kind
        else {
            return;
        };
        let is_waiting = |signal: &mut oneshot::Receiver<()>| {
            matches!(signal.try_recv(), Err(oneshot::error::TryRecvError::Empty))
        };
        if !move_signal.as_mut().is_some_and(is_waiting) {
            // The stream goes on after a silence, which another one may follow. A signal about the
            // past one must not start an attempt any more.
            *move_signal = Some(self.context.register_move_signal(*attempt));
        }
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let first = self.context.scheduler().note_events(now(), *attempt, count);
        let Some((elapsed, predicted)) = first else {
            return;
        };
        let metrics = &self.context.metrics;
        let ratio = elapsed.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        metrics.prediction.observe(ratio);
    }

    /// Records that the exchange with the server broke off. `cause` is that of the log.
    pub fn record_break(&mut self, cause: &'static str) {
        self.crash_watch.record_break(&self.context, cause);
    }

    /// Records that the server has answered in full, which shows that the request doesn't crash it.
    pub fn record_answer(&mut self) {
        self.crash_watch.record_sound(&self.context);
    }

    /// Records a complete response, as a sample of the answer time of a plain server.
    pub fn record_success(&mut self) {
        if let SlotKind::Plain {
            started,
            outcome,
            share_class,
            ..
        } = &mut self.kind
        {
            *outcome = PlainOutcome::Answered(now().saturating_sub(*started));
            self.context.count_plain_served(*share_class);
            self.crash_watch.record_sound(&self.context);
        }
    }

    /// Records a failure in `history`, so that the next attempt avoids the server or group. With
    /// `suspicious`, the group is also marked suspect for all requests. A plain server that asked
    /// for a pause, or whose failure domain is drained, does not count as failed.
    pub fn record_failure(&mut self, history: &mut AttemptHistory, suspicious: bool) {
        let is_paused = self.context.is_paused(&self.target);
        match &mut self.kind {
            SlotKind::Plain {
                key,
                outcome,
                share_class,
                ..
            } => {
                history.tried.push(*key);
                if is_paused {
                    self.context.note_plain_lack(*share_class);
                } else if !self.context.is_drained_server(&self.target.server) {
                    *outcome = PlainOutcome::Failed;
                }
            }
            SlotKind::Group {
                attempt,
                group,
                epoch,
                ..
            } => {
                history.avoid = Some((group.clone(), *epoch));
                self.context.scheduler().note_failure(now(), *attempt);
                if suspicious {
                    self.context.scheduler().suspect(now(), group, *epoch);
                    self.context.report_suspect(group, *epoch);
                }
            }
        }
    }
}

impl Drop for AttemptSlot {
    fn drop(&mut self) {
        match &self.kind {
            SlotKind::Group { attempt, .. } => self.context.end_attempt(*attempt),
            SlotKind::Plain { key, outcome, .. } => match outcome {
                PlainOutcome::Answered(elapsed) => {
                    self.context
                        .plain_balancer()
                        .ended(now(), *key, Some(*elapsed));
                }
                PlainOutcome::Failed => self.context.plain_balancer().ended(now(), *key, None),
                PlainOutcome::Abandoned => self.context.plain_balancer().abandoned(*key),
            },
        }
    }
}

/// Logs why a request was refused, with the capacity of the groups at that time.
fn log_refusal(
    context: &NodeContext,
    request_id: &str,
    request: &PlacementRequest,
    cause: RefusalCause,
    capacity: &CapacitySnapshot,
) {
    info!(context.logger, #REQUEST_TAG, "found no replica group for a request";
        "request" => request_id,
        "model" => &request.model, "prompt_tokens" => request.prompt_tokens,
        "admitted_tokens" => capacity.admitted_tokens, "cause" => cause.label(),
        "resumed" => request.placement_class == PlacementClass::Resumed, "groups" => capacity.groups,
        "paused_groups" => capacity.paused, "cold_groups" => capacity.cold,
        "drained_groups" => capacity.drained,
        "running" => capacity.running, "places" => capacity.places,
        "fastest_idle_ms" => capacity.fastest_idle.map(millis),
        "fastest_now_ms" => capacity.fastest_now.map(millis),
        "time_left_ms" => millis(capacity.time_left),
        "peer_figures_age_ms" => millis(capacity.peer_age));
}

/// Whole milliseconds of a time, for log lines.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
