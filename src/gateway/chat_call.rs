use {
    super::{
        backend_attempt::{AttemptOutcome, BackendAttempt},
        call_context::{CallContext, LeaveGuard, OpenGuard},
        call_order::CallOrder,
        caller_sink::{CallHead, CallerSink},
        request_head::{RequestHead, bad, digest_parts},
    },
    crate::{
        adapters::{CallerReply, StreamBody, stream_reply},
        conf::OperatorText,
        core::{
            dispatch::{
                AttemptOrder, AttemptReport, AttemptTarget, DispatchEvent, Refusal, RefusalReason,
                RepeatRule, RequestIntake, RequestTarget,
            },
            retry::AnswerTracker,
        },
    },
    bytes::Bytes,
    serde_json::Value,
    std::sync::Arc,
    tokio::sync::{mpsc, oneshot},
};

/// Answer tokens assumed when the caller gives no `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 256;

/// Bytes of prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of the prompt's beginning that decide its home.
const PREFIX_BYTES: usize = 1_024;

/// A chat completion as the caller asked for it.
#[derive(Debug)]
pub(super) struct ChatCall {
    pub(super) intake: RequestIntake,
    pub(super) request_id: String,
    streamed: bool,
    body: Bytes,
}

impl ChatCall {
    /// Checks the body of a chat completion.
    pub(super) fn parse(
        head: RequestHead,
        ticket: u64,
        request_id: String,
        body: &Bytes,
        text: &OperatorText,
    ) -> Result<Self, Refusal> {
        let mut value: Value = serde_json::from_slice(body)
            .map_err(|error| bad(&format!("the body is not JSON: {error}")))?;
        let Some(fields) = value.as_object_mut() else {
            return Err(bad("the body must be a JSON object"));
        };
        let model = match fields.get("model") {
            Some(Value::String(model)) => model.clone(),
            _ => return Err(bad("model must be a string")),
        };
        if !text.model_services.iter().any(|known| known.name == model) {
            let detail = format!("model {model:?} does not exist");
            return Err(Refusal::not_run(RefusalReason::NotFound, &detail));
        }
        let messages = match fields.get("messages") {
            Some(Value::Array(messages)) if !messages.is_empty() => {
                Value::from(messages.clone()).to_string()
            }
            _ => return Err(bad("messages must be a list with at least one entry")),
        };
        let streamed = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(streamed)) => *streamed,
            Some(_) => return Err(bad("stream must be true or false")),
        };
        let answer_tokens = match fields.get("max_tokens") {
            None | Some(Value::Null) => DEFAULT_ANSWER_TOKENS,
            Some(count) => count
                .as_u64()
                .and_then(|count| u32::try_from(count).ok())
                .filter(|count| *count > 0)
                .ok_or_else(|| bad("max_tokens must be a positive integer"))?,
        };
        // Backend answers are always streamed, so that each part can be checked.
        fields.insert("stream".to_owned(), Value::Bool(true));
        let upstream = Bytes::from(value.to_string());
        let start = &messages.as_bytes()[..messages.len().min(PREFIX_BYTES)];
        let intake = RequestIntake {
            ticket,
            prompt_tokens: u32::try_from(messages.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
            answer_tokens,
            prefix: digest_parts(&[model.as_bytes(), start]),
            fingerprint: digest_parts(&[head.account.as_bytes(), &upstream]),
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
            body: upstream,
        })
    }

    /// Runs the call in its own task; returns when the head of the answer is known.
    pub(super) async fn answer(
        self,
        context: Arc<CallContext>,
        guard: OpenGuard,
    ) -> Option<CallerReply> {
        let (head, answer) = oneshot::channel();
        let (presence, gone) = oneshot::channel::<()>();
        let sink = CallerSink::new(
            self.request_id.clone(),
            self.intake.service().to_owned(),
            self.streamed,
            head,
        );
        tokio::spawn(async move {
            let mut leave = LeaveGuard::new(Arc::clone(&context), self.intake.ticket);
            tokio::select! {
                ended = self.run(&context, sink) => if ended { leave.disarm() },
                _ = gone => {}
            }
            drop(guard);
        });
        match answer.await.ok()? {
            CallHead::Whole(reply) => Some(reply),
            CallHead::Stream(frames) => Some(stream_reply(StreamBody::new(frames, presence))),
        }
    }

    /// Follows the orders of the dispatcher; false when the caller left.
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
                // Outcomes are recorded for plain calls only.
                CallOrder::Replay(_) => return true,
            };
            let attempt = BackendAttempt {
                context,
                incarnation: lead_incarnation(context, &order),
                order: &order,
                body: &self.body,
            };
            match attempt.run(&mut tracker, &mut sink).await {
                AttemptOutcome::Complete => {
                    context.tell(DispatchEvent::Completed(ticket, sink.tokens(), None));
                    sink.finish().await;
                    return true;
                }
                AttemptOutcome::Rejected(refusal) => {
                    context.tell(DispatchEvent::Completed(ticket, 0, None));
                    sink.refuse(&refusal).await;
                    return true;
                }
                AttemptOutcome::CallerLeft => return false,
                AttemptOutcome::Failed(end) => {
                    context.tell(DispatchEvent::AttemptEnded(AttemptReport {
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

/// Incarnation of the lead that the group entry names.
fn lead_incarnation(context: &CallContext, order: &AttemptOrder) -> Option<u64> {
    let AttemptTarget::Group(group, _) = &order.target else {
        return None;
    };
    let view = context.runtime.view.borrow();
    let lead = view.groups.get(group)?.members.first()?;
    Some(lead.incarnation)
}
