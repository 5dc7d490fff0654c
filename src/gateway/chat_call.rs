use {
    super::{
        backend_attempt::{AttemptOutcome, BackendAttempt},
        call_context::{CallContext, DisconnectGuard, RequestGuard},
        call_order::CallOrder,
        caller_sink::{CallerSink, SinkResponse},
        chat_body::ChatBody,
        request_head::RequestHead,
    },
    crate::{
        adapters::{CallerReply, StreamBody, stream_reply},
        conf::OperatorText,
        core::{
            dispatch::{
                AttemptOrder, AttemptReport, AttemptTarget, DispatchEvent, Refusal, RefusalReason,
                RepeatRule, RequestIntake, RequestTarget,
            },
            retry::{AnswerTracker, digest_parts},
        },
        intake::KeptBody,
    },
    bytes::Bytes,
    std::sync::Arc,
    tokio::sync::{mpsc, oneshot},
};

/// Maximum tokens of the answer assumed when the caller sends no `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Bytes of the messages, as JSON, that are estimated as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes at the start of the messages that the prefix hash covers. The hash determines the
/// preferred group.
const PREFIX_BYTES: usize = 1_024;

/// A request for a chat completion.
#[derive(Debug)]
pub(super) struct ChatCall {
    pub(super) intake: RequestIntake,
    pub(super) request_id: String,
    streamed: bool,
    body: Bytes,
}

impl ChatCall {
    /// Checks the body of the request and derives what the dispatcher decides by.
    pub(super) fn parse(
        head: RequestHead,
        ticket: u64,
        request_id: String,
        body: KeptBody,
        text: &OperatorText,
    ) -> Result<Self, Refusal> {
        let request = ChatBody::read(&body.bytes)?;
        let model = request.model()?;
        if !text.model_services.iter().any(|known| known.name == model) {
            let detail = format!("model {model:?} does not exist");
            return Err(Refusal::not_run(RefusalReason::NotFound, &detail));
        }
        let messages = request.messages()?;
        let streamed = request.is_streamed()?;
        let answer_tokens = request.max_tokens()?.unwrap_or(DEFAULT_ANSWER_TOKENS);
        // The backend server always streams, so that each chunk can be checked.
        let upstream_text = request.streamed_text();
        let prompt_start = &messages.as_bytes()[..messages.len().min(PREFIX_BYTES)];
        let intake = RequestIntake {
            ticket,
            prompt_tokens: u32::try_from(messages.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            answer_tokens,
            prefix: digest_parts(&[model.as_bytes(), prompt_start]),
            fingerprint: digest_parts(&[head.account.as_bytes(), &upstream_text]),
            account: head.account,
            target: RequestTarget::Model(model),
            repeat: RepeatRule::Repeatable,
            kind: head.kind.name,
            weight: head.kind.weight,
            priority: head.kind.priority,
            deadline: head.deadline,
        };
        Ok(Self {
            intake,
            request_id,
            streamed,
            body: body.with_text(upstream_text).bytes,
        })
    }

    /// Runs the call in its own task, and returns once the response is complete or its stream
    /// starts. Returns `None` if the task ends before.
    pub(super) async fn answer(
        self,
        context: Arc<CallContext>,
        request_guard: RequestGuard,
    ) -> Option<CallerReply> {
        let (response_sender, response) = oneshot::channel();
        let (caller_presence, caller_left) = oneshot::channel::<()>();
        let sink = CallerSink::new(
            self.request_id.clone(),
            self.intake.service().to_owned(),
            self.streamed,
            response_sender,
        );
        tokio::spawn(async move {
            let mut disconnect_guard =
                DisconnectGuard::new(Arc::clone(&context), self.intake.ticket);
            tokio::select! {
                has_ended = self.run(&context, sink) => if has_ended { disconnect_guard.disarm() },
                _ = caller_left => {}
            }
            drop(request_guard);
        });
        match response.await.ok()? {
            SinkResponse::Buffered(reply) => Some(reply),
            SinkResponse::Stream(frames) => {
                Some(stream_reply(StreamBody::new(frames, caller_presence)))
            }
        }
    }

    /// Carries out the orders of the dispatcher. Returns false if the caller left.
    async fn run(&self, context: &CallContext, mut sink: CallerSink) -> bool {
        let mut orders: mpsc::Receiver<CallOrder> = context.submit(self.intake.clone());
        let mut tracker = AnswerTracker::default();
        let ticket = self.intake.ticket;
        while let Some(order) = orders.recv().await {
            let order = match order {
                CallOrder::Start(order) => order,
                CallOrder::Refuse(refusal) => {
                    sink.refuse(&refusal).await;
                    return true;
                }
                // Does not occur: only calls of plain services have recorded outcomes.
                CallOrder::Replay(_) => return true,
            };
            let attempt = BackendAttempt {
                context,
                incarnation: head_incarnation(context, &order),
                order: &order,
                body: &self.body,
            };
            match attempt.run(&mut tracker, &mut sink).await {
                AttemptOutcome::Complete => {
                    context.send_event(DispatchEvent::Completed(ticket, sink.tokens(), None));
                    sink.finish().await;
                    return true;
                }
                AttemptOutcome::Rejected(refusal) => {
                    context.send_event(DispatchEvent::Completed(ticket, 0, None));
                    sink.refuse(&refusal).await;
                    return true;
                }
                AttemptOutcome::CallerLeft => return false,
                AttemptOutcome::Failed(end) => {
                    context.send_event(DispatchEvent::AttemptEnded(AttemptReport {
                        ticket,
                        end,
                        delivered: tracker.delivered(),
                    }));
                }
            }
        }
        true
    }
}

/// Incarnation of the head (rank 0 member) according to the entry of the group.
fn head_incarnation(context: &CallContext, order: &AttemptOrder) -> Option<u64> {
    let AttemptTarget::Group(group, _) = &order.target else {
        return None;
    };
    let view = context.runtime.view.borrow();
    let head_member = view.groups.get(group)?.members.first()?;
    Some(head_member.incarnation)
}
