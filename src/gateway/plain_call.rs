use {
    super::{
        call_context::{CallContext, LeaveGuard, OpenGuard},
        call_order::CallOrder,
        request_head::{RequestHead, digest_parts},
    },
    crate::{
        adapters::{CallerReply, SendFailure, problem_reply, refused_execution, whole_reply},
        conf::OperatorText,
        core::{
            claims::RecordedOutcome,
            dispatch::{
                AttemptEnd, AttemptOrder, AttemptReport, DispatchEvent, RepeatRule, RequestIntake,
                RequestTarget, repeat_rule,
            },
        },
        wire::Execution,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode, header},
    std::sync::Arc,
    tokio::time::timeout_at,
};

/// Largest answer of a plain service in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Largest answer that is recorded for a resend, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A call of a plain service.
#[derive(Debug)]
pub(super) struct PlainCall {
    pub(super) intake: RequestIntake,
    pub(super) request_id: String,
    method: Method,
    path: String,
    content_type: String,
    key: Option<String>,
    body: Bytes,
}

/// What the caller sent.
#[derive(Debug)]
pub(super) struct PlainParts {
    pub(super) service: String,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) content_type: String,
    pub(super) body: Bytes,
}

impl PlainCall {
    pub(super) fn new(
        head: RequestHead,
        ticket: u64,
        request_id: String,
        parts: PlainParts,
        text: &OperatorText,
    ) -> Self {
        let services = &text.plain_services;
        let service = services.iter().find(|known| known.name == parts.service);
        // The dispatcher refuses a call of an unknown service.
        let repeat = service.map_or(RepeatRule::Repeatable, |service| {
            let key = head.idempotency_key.as_deref();
            repeat_rule(service, parts.method.as_str(), &parts.path, key)
        });
        let fingerprint = digest_parts(&[
            head.account.as_bytes(),
            parts.method.as_str().as_bytes(),
            parts.path.as_bytes(),
            &parts.body,
        ]);
        let intake = RequestIntake {
            ticket,
            account: head.account,
            target: RequestTarget::Plain(parts.service),
            repeat,
            kind: head.kind.name,
            weight: head.kind.weight,
            priority: head.kind.priority,
            prompt_tokens: 0,
            answer_tokens: 0,
            prefix: 0,
            fingerprint,
            deadline: head.deadline,
        };
        Self {
            intake,
            request_id,
            method: parts.method,
            path: parts.path,
            content_type: parts.content_type,
            key: head.idempotency_key,
            body: parts.body,
        }
    }

    /// Runs the call. A call that may run only once goes on when its caller
    /// leaves, so that its outcome is recorded for a resend.
    pub(super) async fn answer(self, context: Arc<CallContext>, guard: OpenGuard) -> CallerReply {
        if self.intake.repeat == RepeatRule::Repeatable {
            return self.run(&context, guard).await;
        }
        let request_id = self.request_id.clone();
        let task = tokio::spawn(async move { self.run(&context, guard).await });
        task.await.unwrap_or_else(|_| {
            let refusal = crate::core::dispatch::Refusal::new(
                crate::core::dispatch::RefusalReason::Interrupted,
                Execution::Unknown,
                "the gateway failed",
            );
            problem_reply(&refusal, &request_id)
        })
    }

    async fn run(self, context: &Arc<CallContext>, guard: OpenGuard) -> CallerReply {
        let ticket = self.intake.ticket;
        let mut leave = LeaveGuard::new(Arc::clone(context), ticket);
        let mut orders = context.submit(self.intake.clone());
        let reply = loop {
            match orders.recv().await {
                Some(CallOrder::Start(order)) => match self.attempt(context, &order).await {
                    Ok(outcome) => {
                        let recorded = outcome.recorded(&self.intake.repeat);
                        context.tell(DispatchEvent::Completed(ticket, 0, recorded));
                        break whole_reply(outcome.status, &outcome.content_type, outcome.body);
                    }
                    Err(end) => context.tell(DispatchEvent::AttemptEnded(AttemptReport {
                        ticket,
                        end,
                        delivered: 0,
                    })),
                },
                Some(CallOrder::Refuse(refusal)) => {
                    break problem_reply(&refusal, &self.request_id);
                }
                Some(CallOrder::Replay(outcome)) => break replay(outcome),
                None => {
                    let refusal = crate::core::dispatch::Refusal::new(
                        crate::core::dispatch::RefusalReason::Stopping,
                        Execution::Unknown,
                        "the gateway stopped",
                    );
                    break problem_reply(&refusal, &self.request_id);
                }
            }
        };
        leave.disarm();
        drop(guard);
        reply
    }

    async fn attempt(
        &self,
        context: &CallContext,
        order: &AttemptOrder,
    ) -> Result<PlainOutcome, AttemptEnd> {
        let deadline = context.instant(order.deadline);
        let exchange = async {
            let call = context.pool.send(order.address, self.request(order));
            let answer = match call.await {
                Ok(answer) => answer,
                Err(SendFailure::NotSent(_)) => return Err(AttemptEnd::ConnectFailed),
                Err(SendFailure::Broken(_)) => return Err(AttemptEnd::ConnectionLost),
            };
            let status = answer.status();
            let content_type = answer
                .headers()
                .get(header::CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect();
            let body = body.await.map_err(|_| AttemptEnd::ConnectionLost)?;
            let body = body.to_bytes();
            if status == StatusCode::SERVICE_UNAVAILABLE
                && refused_execution(&body) == Execution::NotRun
            {
                return Err(AttemptEnd::NotStarted);
            }
            Ok(PlainOutcome {
                status,
                content_type,
                body,
            })
        };
        let outcome = timeout_at(deadline, exchange).await;
        outcome.unwrap_or(Err(AttemptEnd::DeadlinePassed))
    }

    fn request(&self, order: &AttemptOrder) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{}", order.address, self.path))
            .header(header::CONTENT_TYPE, &self.content_type)
            .header("Attempt-Id", &order.attempt);
        if let Some(key) = &self.key {
            builder = builder.header("Idempotency-Key", key);
        }
        // All parts are checked before; an empty request is refused by the server.
        builder
            .body(Full::new(self.body.clone()))
            .unwrap_or_default()
    }
}

/// Answer of a plain service.
#[derive(Debug)]
struct PlainOutcome {
    status: StatusCode,
    content_type: String,
    body: Bytes,
}

impl PlainOutcome {
    /// The outcome as it is recorded; `None` when it is not to be, or too large.
    fn recorded(&self, repeat: &RepeatRule) -> Option<RecordedOutcome> {
        if *repeat == RepeatRule::Repeatable || self.body.len() > MAX_RECORDED_BYTES {
            return None;
        }
        Some(RecordedOutcome {
            status: self.status.as_u16(),
            content_type: self.content_type.clone(),
            body: String::from_utf8(self.body.to_vec()).ok()?,
        })
    }
}

fn replay(outcome: RecordedOutcome) -> CallerReply {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    whole_reply(status, &outcome.content_type, outcome.body)
}
