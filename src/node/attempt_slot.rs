//! Places at backend servers: taken before a request is sent, given back when
//! it has ended, also when its caller has left.

use {
    super::{
        NodeContext, NodeMetrics, RoutedCall, node_clock::now, node_log::REQUEST_TAG,
        problem_reply::ProblemReply,
    },
    crate::core::placement::{
        AttemptKey, Lateness, Placement, PlacementAsk, PlacementVerdict, PlainKey, RefusalCause,
        RoomFigures, TicketKey,
    },
    slog::info,
    smallvec::SmallVec,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// When a caller may return that found no server of a plain service.
const NO_SERVER_RETRY: Duration = Duration::from_millis(300);

/// Longest wait of a broken stream; its caller leaves after a pause of two seconds.
const RESUME_WAIT: Duration = Duration::from_millis(1_500);

/// Expected tokens of an answer when the caller does not say.
const DEFAULT_ANSWER_TOKENS: u32 = 180;

/// What a slot is at.
#[derive(Debug)]
enum SlotKind {
    /// A replica group.
    Group {
        attempt: AttemptKey,
        group: String,
        epoch: u64,
        move_signal: Option<oneshot::Receiver<()>>,
    },
    /// A plain server.
    Plain {
        key: PlainKey,
        started: Duration,
        outcome: PlainOutcome,
    },
}

/// How a request at a plain server has ended.
#[derive(Debug)]
enum PlainOutcome {
    /// Its caller left, which says nothing about the server.
    Abandoned,
    /// The server failed.
    Failed,
    /// The answer was good after this time.
    Answered(Duration),
}

/// A place for one attempt.
#[derive(Debug)]
pub struct AttemptSlot {
    context: Arc<NodeContext>,
    kind: SlotKind,
    /// The server.
    pub target: ServerTarget,
}

/// A server and where it is.
#[derive(Debug, Clone)]
pub struct ServerTarget {
    /// Identifier.
    pub server: String,
    /// Address.
    pub address: SocketAddr,
}

/// Why a slot is wanted once more.
#[derive(Debug, Default)]
pub struct AttemptHistory {
    /// Plain servers that were tried.
    pub tried: SmallVec<[PlainKey; 2]>,
    /// Group and epoch that failed.
    pub avoid: Option<(String, u64)>,
    /// Tokens of the answer that have been delivered.
    pub delivered_tokens: u32,
    /// True when a broken stream goes on.
    pub resumed: bool,
}

/// Withdraws a request that waits when its caller leaves.
struct WaitGuard<'a> {
    context: &'a NodeContext,
    ticket: TicketKey,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.context.stop_waiting(self.ticket);
    }
}

impl AttemptSlot {
    /// Takes a place for an attempt, waiting for one if that is worth it.
    ///
    /// # Errors
    /// The answer for the caller.
    pub async fn acquire(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        history: &AttemptHistory,
    ) -> Result<Self, ProblemReply> {
        let service = call.table.service(&call.service);
        let profile = service.and_then(|service| service.engine.as_ref());
        match (profile, &call.caller.model) {
            (Some(_), Some(model)) => Self::acquire_group(context, call, model, history).await,
            _ => Self::acquire_plain(context, call, history),
        }
    }

    fn acquire_plain(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        history: &AttemptHistory,
    ) -> Result<Self, ProblemReply> {
        let domain = &context.settings.failure_domain;
        let started = now();
        let mut balancer = context.plain_balancer();
        let Some((key, server, address)) =
            balancer.pick(started, &call.service, domain, &history.tried)
        else {
            return Err(ProblemReply::not_run("no_server", NO_SERVER_RETRY));
        };
        drop(balancer);
        Ok(Self {
            context: Arc::clone(context),
            kind: SlotKind::Plain {
                key,
                started,
                outcome: PlainOutcome::Abandoned,
            },
            target: ServerTarget { server, address },
        })
    }

    async fn acquire_group(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        model: &str,
        history: &AttemptHistory,
    ) -> Result<Self, ProblemReply> {
        let max_tokens = call.caller.answer_tokens;
        let expected_tokens = if max_tokens == 0 {
            DEFAULT_ANSWER_TOKENS
        } else {
            max_tokens
        };
        let lateness = if history.resumed {
            Lateness::Resumed
        } else {
            Lateness::InTime
        };
        let request = PlacementAsk {
            wait_until: now() + RESUME_WAIT,
            route: call.route().name.clone(),
            service: call.service.clone(),
            model: model.to_owned(),
            prompt_tokens: call.caller.prompt_tokens + history.delivered_tokens,
            answer_tokens: call
                .caller
                .length_hint
                .unwrap_or(expected_tokens)
                .min(expected_tokens),
            priority: call.priority(),
            objective: call.route().objective,
            in_time_until: call.in_time_until(),
            give_up_at: call.give_up_at,
            lateness,
            avoid: history.avoid.clone(),
        };
        let decision = context.scheduler().arrive(now(), &request);
        let decision = match decision {
            PlacementVerdict::Wait(ticket) => Self::wait(context, call, ticket).await,
            other => other,
        };
        match decision {
            PlacementVerdict::Place(placement) => Ok(Self::from_placement(
                context,
                &call.caller.request_id,
                placement,
            )),
            PlacementVerdict::Refuse { cause, retry_after } => {
                let capacity = context.scheduler().room_for(now(), &request);
                log_refusal(context, &call.caller.request_id, &request, cause, &capacity);
                Err(ProblemReply::not_run(cause.label(), retry_after))
            }
            PlacementVerdict::Wait(_) => Err(ProblemReply::not_run(
                RefusalCause::TooLate.label(),
                NO_SERVER_RETRY,
            )),
        }
    }

    async fn wait(
        context: &Arc<NodeContext>,
        call: &RoutedCall,
        ticket: TicketKey,
    ) -> PlacementVerdict {
        let receiver = context.register_waiter(ticket);
        let guard = WaitGuard { context, ticket };
        let started = now();
        let decision = tokio::time::timeout(call.time_left(), receiver).await;
        drop(guard);
        NodeMetrics::observe(&context.metrics.waited, now().saturating_sub(started));
        match decision {
            Ok(Ok(decision)) => decision,
            _ => PlacementVerdict::Refuse {
                cause: RefusalCause::TooLate,
                retry_after: NO_SERVER_RETRY,
            },
        }
    }

    fn from_placement(context: &Arc<NodeContext>, request_id: &str, placement: Placement) -> Self {
        info!(context.logger, #REQUEST_TAG, "placed"; "request" => request_id,
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
            target: ServerTarget {
                server: placement.head,
                address: placement.address,
            },
        }
    }

    /// Takes the signal that the attempt must move; it never comes for plain servers.
    pub async fn move_requested(&mut self) {
        if let SlotKind::Group { move_signal, .. } = &mut self.kind
            && let Some(signal) = move_signal.as_mut()
        {
            let told = signal.await.is_ok();
            *move_signal = None;
            if told {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Notes events of the stream that came at once.
    pub fn note_events(&self, count: usize) {
        let SlotKind::Group { attempt, .. } = &self.kind else {
            return;
        };
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let first = self.context.scheduler().note_events(now(), *attempt, count);
        let Some((elapsed, predicted)) = first else {
            return;
        };
        let metrics = &self.context.metrics;
        let ratio = elapsed.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        metrics.prediction.observe(ratio);
    }

    /// Notes that the answer was good.
    pub fn succeeded(&mut self) {
        if let SlotKind::Plain {
            started, outcome, ..
        } = &mut self.kind
        {
            *outcome = PlainOutcome::Answered(now().saturating_sub(*started));
        }
    }

    /// Notes that the server failed; `suspicious` when its group cannot be trusted.
    pub fn failed(&mut self, history: &mut AttemptHistory, suspicious: bool) {
        match &mut self.kind {
            SlotKind::Plain { key, outcome, .. } => {
                history.tried.push(*key);
                *outcome = PlainOutcome::Failed;
            }
            SlotKind::Group { group, epoch, .. } => {
                history.avoid = Some((group.clone(), *epoch));
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

/// Writes down why a request found no room.
fn log_refusal(
    context: &NodeContext,
    request_id: &str,
    request: &PlacementAsk,
    cause: RefusalCause,
    capacity: &RoomFigures,
) {
    info!(context.logger, #REQUEST_TAG, "no room"; "request" => request_id,
        "model" => &request.model, "prompt_tokens" => request.prompt_tokens,
        "admitted_tokens" => capacity.admitted_tokens, "cause" => cause.label(),
        "resumed" => request.lateness == Lateness::Resumed, "groups" => capacity.groups,
        "running" => capacity.running, "places" => capacity.places,
        "fastest_idle_ms" => capacity.fastest_idle.map(millis),
        "fastest_now_ms" => capacity.fastest_now.map(millis),
        "time_left_ms" => millis(capacity.time_left),
        "peer_figures_age_ms" => millis(capacity.peer_age));
}

/// Milliseconds for logs.
pub(super) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
