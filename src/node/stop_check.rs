//! Requests that a stopping node can no longer finish.

use {
    super::{
        AttemptHistory, NodeContext, RoutedCall, StopPhase, attempt_slot::millis, node_clock::now,
        node_context::lock, node_log::REQUEST_TAG, problem_reply::ProblemReply,
    },
    crate::core::stop::{
        AnswerSample, AttemptOutlook, StopDeadline, StopVerdict, engine_answer_time,
        resumed_answer_time,
    },
    slog::info,
    std::time::Duration,
};

/// Cause of the responses that a stopping node makes itself, in problem bodies and the log.
pub(super) const STOPPING: &str = "stopping";

/// Response to a request that a stopping node does not serve; the caller may go to another node at
/// once.
pub(super) const STOPPING_NOT_RUN: ProblemReply = ProblemReply::not_run(STOPPING, Duration::ZERO);

/// Most routes whose answer times are kept.
const MAX_TIMED_ROUTES: usize = 4_096;

impl NodeContext {
    /// Begins a graceful stop, which lasts for the grace of the settings.
    pub fn begin_stop(&self) -> StopDeadline {
        let deadline = StopDeadline::after(now(), self.settings.stop_grace());
        let deadline = *self.stop_deadline.get_or_init(|| deadline);
        self.stop.send_replace(StopPhase::Leaving);
        deadline
    }

    /// Waits for the stop; never returns while the node runs.
    async fn wait_for_stop(&self) -> StopDeadline {
        let mut stop = self.stop.subscribe();
        // An error would mean that the sender is gone, but it lives as long as the node.
        let _ = stop.wait_for(|phase| *phase != StopPhase::Running).await;
        match self.stop_deadline.get() {
            Some(deadline) => *deadline,
            None => std::future::pending().await,
        }
    }

    /// Waits until a stop leaves no time for a request that was not sent yet, whatever its length.
    pub async fn wait_for_last_start(&self) {
        let deadline = self.wait_for_stop().await;
        tokio::time::sleep(deadline.last_start().saturating_sub(now())).await;
    }

    /// Waits until responses have to be complete because of a stop.
    pub async fn wait_for_answers_end(&self) {
        let deadline = self.wait_for_stop().await;
        tokio::time::sleep(deadline.answers_until.saturating_sub(now())).await;
    }

    /// Waits until a stop leaves no time for an attempt that waits for a slot.
    pub async fn wait_for_stop_refusal(
        &self,
        call: &RoutedCall,
        history: &AttemptHistory,
    ) -> ProblemReply {
        let deadline = self.wait_for_stop().await;
        let outlook = self.outlook(call, history);
        let latest = deadline.latest_start(&outlook);
        tokio::time::sleep(latest.saturating_sub(now())).await;
        self.log_stop_refusal(call, deadline, &outlook, "queue");
        STOPPING_NOT_RUN
    }

    /// Checks that an attempt that is sent now ends before the process does. `stage` is that of the
    /// log line.
    ///
    /// # Errors
    /// The response to a request that no server has run.
    pub fn check_stop(
        &self,
        call: &RoutedCall,
        history: &AttemptHistory,
        stage: &'static str,
    ) -> Result<(), ProblemReply> {
        let Some(deadline) = self.stop_deadline.get() else {
            return Ok(());
        };
        let outlook = self.outlook(call, history);
        match deadline.decide(now(), &outlook) {
            StopVerdict::Serve => Ok(()),
            StopVerdict::Refuse => {
                self.log_stop_refusal(call, *deadline, &outlook, stage);
                Err(STOPPING_NOT_RUN)
            }
        }
    }

    /// Adds a complete answer to the answer times of a route.
    pub fn note_answer_time(&self, route: &str, sample: AnswerSample) {
        let mut times = lock(&self.answer_times);
        if let Some(times) = times.get_mut(route) {
            times.note(now(), sample);
        } else if times.len() < MAX_TIMED_ROUTES {
            times
                .entry(route.to_owned())
                .or_default()
                .note(now(), sample);
        }
    }

    fn outlook(&self, call: &RoutedCall, history: &AttemptHistory) -> AttemptOutlook {
        let tokens = call.timed_tokens();
        let route = call.route();
        let known = lock(&self.answer_times)
            .get(&route.name)
            .and_then(|times| times.expect(now(), tokens));
        let whole = known.unwrap_or_else(|| unseen_answer_time(call, tokens));
        let expected = if history.resumed {
            let passed = now().saturating_sub(call.arrived);
            resumed_answer_time(whole, passed, route.objective)
        } else {
            whole
        };
        AttemptOutlook {
            expected,
            longest: call.time_left(),
        }
    }

    fn log_stop_refusal(
        &self,
        call: &RoutedCall,
        deadline: StopDeadline,
        outlook: &AttemptOutlook,
        stage: &'static str,
    ) {
        info!(self.logger, #REQUEST_TAG, "refused an attempt that would outlast the process";
            "request" => &call.caller.request_id, "stage" => stage,
            "stop_left_ms" => millis(deadline.answers_until.saturating_sub(now())),
            "expected_ms" => millis(outlook.expected),
            "caller_left_ms" => millis(outlook.longest),
            "answer_tokens" => call.timed_tokens());
    }
}

/// Expected time of an answer of a route that has answered nothing yet: its objective, and for an
/// engine the time of the tokens.
fn unseen_answer_time(call: &RoutedCall, tokens: u32) -> Duration {
    let service = call.table.service(&call.service);
    let profile = service.and_then(|service| service.engine.as_ref());
    let model = call.caller.model.as_deref().unwrap_or_default();
    let answer = profile.and_then(|profile| {
        let model = profile.model(model)?;
        Some(engine_answer_time(profile, model, tokens))
    });
    call.route().objective + answer.unwrap_or_default()
}
