use {
    super::{
        call_context::{CallContext, DisconnectGuard, RequestGuard},
        call_order::CallOrder,
        request_head::RequestHead,
    },
    crate::{
        adapters::{CallerReply, SendFailure, full_reply, problem_reply, refused_execution},
        conf::OperatorText,
        core::{
            claims::RecordedOutcome,
            dispatch::{
                AttemptEnd, AttemptOrder, AttemptReport, DispatchEvent, RepeatRule, RequestIntake,
                RequestTarget, repeat_rule,
            },
            retry::digest_parts,
        },
        wire::Execution,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode, header},
    std::sync::Arc,
    tokio::time::timeout_at,
};

/// Maximum size of the response body of a plain service; a larger one fails the attempt.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Maximum size of a response body that is recorded under an idempotency key.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// A call of a plain service.
#[derive(Debug)]
pub(super) struct PlainCall {
    pub(super) intake: RequestIntake,
    pub(super) request_id: String,
    method: Method,
    path: String,
    content_type: String,
    idempotency_key: Option<String>,
    body: Bytes,
}

/// Checked parts of a caller's request to a plain service.
#[derive(Debug)]
pub(super) struct PlainRequest {
    pub(super) service: String,
    pub(super) method: Method,
    /// Path from `/services/` on, with the query.
    pub(super) path: String,
    pub(super) content_type: String,
    pub(super) body: Bytes,
}

impl PlainCall {
    pub(super) fn new(
        head: RequestHead,
        ticket: u64,
        request_id: String,
        request: PlainRequest,
        text: &OperatorText,
    ) -> Self {
        let services = &text.plain_services;
        let service = services.iter().find(|known| known.name == request.service);
        // The rule does not matter for an unknown service: the dispatcher refuses the call.
        let repeat = service.map_or(RepeatRule::Repeatable, |service| {
            let idempotency_key = head.idempotency_key.as_deref();
            repeat_rule(
                service,
                request.method.as_str(),
                &request.path,
                idempotency_key,
            )
        });
        let fingerprint = digest_parts(&[
            head.account.as_bytes(),
            request.method.as_str().as_bytes(),
            request.path.as_bytes(),
            &request.body,
        ]);
        let intake = RequestIntake {
            ticket,
            account: head.account,
            target: RequestTarget::Plain(request.service),
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
            method: request.method,
            path: request.path,
            content_type: request.content_type,
            idempotency_key: head.idempotency_key,
            body: request.body,
        }
    }

    /// Runs the call. One that may run only once continues when its caller leaves, so that its
    /// outcome is recorded for a caller that sends it again.
    pub(super) async fn answer(
        self,
        context: Arc<CallContext>,
        request_guard: RequestGuard,
    ) -> CallerReply {
        if self.intake.repeat == RepeatRule::Repeatable {
            return self.run(&context, request_guard).await;
        }
        let request_id = self.request_id.clone();
        let task = tokio::spawn(async move { self.run(&context, request_guard).await });
        task.await.unwrap_or_else(|_| {
            let refusal = crate::core::dispatch::Refusal::new(
                crate::core::dispatch::RefusalReason::Interrupted,
                Execution::Unknown,
                "the gateway failed",
            );
            problem_reply(&refusal, &request_id)
        })
    }

    async fn run(self, context: &Arc<CallContext>, request_guard: RequestGuard) -> CallerReply {
        let ticket = self.intake.ticket;
        let mut disconnect_guard = DisconnectGuard::new(Arc::clone(context), ticket);
        let mut orders = context.submit(self.intake.clone());
        let reply = loop {
            match orders.recv().await {
                Some(CallOrder::Start(order)) => match self.run_attempt(context, &order).await {
                    Ok(response) => {
                        let recorded = response.recorded(&self.intake.repeat);
                        context.send_event(DispatchEvent::Completed(ticket, 0, recorded));
                        break full_reply(response.status, &response.content_type, response.body);
                    }
                    Err(end) => context.send_event(DispatchEvent::AttemptEnded(AttemptReport {
                        ticket,
                        end,
                        delivered: 0,
                    })),
                },
                Some(CallOrder::Refuse(refusal)) => {
                    break problem_reply(&refusal, &self.request_id);
                }
                Some(CallOrder::Replay(outcome)) => break recorded_reply(outcome),
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
        disconnect_guard.disarm();
        drop(request_guard);
        reply
    }

    async fn run_attempt(
        &self,
        context: &CallContext,
        order: &AttemptOrder,
    ) -> Result<PlainResponse, AttemptEnd> {
        let deadline = context.to_instant(order.deadline);
        let exchange = async {
            let call = context.pool.send(order.address, self.build_request(order));
            let response = match call.await {
                Ok(response) => response,
                Err(SendFailure::NotSent(_)) => return Err(AttemptEnd::ConnectFailed),
                Err(SendFailure::Broken(_)) => return Err(AttemptEnd::ConnectionLost),
            };
            let status = response.status();
            let content_type = response
                .headers()
                .get(header::CONTENT_TYPE)
                .and_then(|value| value.to_str().ok())
                .unwrap_or("application/octet-stream")
                .to_owned();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
            let body = body.await.map_err(|_| AttemptEnd::ConnectionLost)?;
            let body = body.to_bytes();
            if status == StatusCode::SERVICE_UNAVAILABLE
                && refused_execution(&body) == Execution::NotRun
            {
                return Err(AttemptEnd::NotStarted);
            }
            Ok(PlainResponse {
                status,
                content_type,
                body,
            })
        };
        let result = timeout_at(deadline, exchange).await;
        result.unwrap_or(Err(AttemptEnd::DeadlinePassed))
    }

    fn build_request(&self, order: &AttemptOrder) -> Request<Full<Bytes>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{}{}", order.address, self.path))
            .header(header::CONTENT_TYPE, &self.content_type)
            .header("Attempt-Id", &order.attempt);
        if let Some(idempotency_key) = &self.idempotency_key {
            builder = builder.header("Idempotency-Key", idempotency_key);
        }
        // The parts were checked before, so that building cannot fail. The empty request sent
        // otherwise would be refused by the server.
        builder
            .body(Full::new(self.body.clone()))
            .unwrap_or_default()
    }
}

/// Buffered response of a server of a plain service.
#[derive(Debug)]
struct PlainResponse {
    status: StatusCode,
    content_type: String,
    body: Bytes,
}

impl PlainResponse {
    /// Outcome to record. `None` if the call is repeatable, or if the body is too large or not
    /// UTF-8.
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

fn recorded_reply(outcome: RecordedOutcome) -> CallerReply {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    full_reply(status, &outcome.content_type, outcome.body)
}
