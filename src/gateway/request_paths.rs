use {
    super::{
        call_context::{CallContext, RequestGuard},
        caller_slots::CallerSlot,
        chat_call::ChatCall,
        plain_call::{PlainCall, PlainRequest},
        request_head::{RequestHead, read_body, request_id},
    },
    crate::{
        adapters::{CallerReply, full_reply, problem_reply},
        core::{
            dispatch::{Refusal, RefusalReason, is_normal_path},
            view::Configuration,
        },
    },
    hyper::{HeaderMap, Method, Request, StatusCode, body::Incoming, header},
    serde_json::json,
    std::{
        io,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Answers one HTTP request of a caller or a health probe.
///
/// # Errors
/// Fails only if the task of a chat call ends without a response. The server then closes the
/// connection without one.
pub(super) async fn handle_request(
    context: Arc<CallContext>,
    request: Request<Incoming>,
    slot: Arc<CallerSlot>,
) -> io::Result<CallerReply> {
    match request.uri().path() {
        "/healthz" => return Ok(full_reply(StatusCode::OK, "text/plain", "ok\n")),
        "/readyz" => return Ok(readiness(&context)),
        "/status" => return Ok(status(&context).await),
        _ => {}
    }
    let ticket = context.next_ticket();
    let request_id = request_id(&context, request.headers(), ticket);
    let has_idempotency_key = request.headers().contains_key("Idempotency-Key");
    match route_request(&context, request, &slot, (ticket, &request_id)).await {
        Ok(reply) => reply,
        // An earlier request with the same key may have run, so that `not_run` would be wrong. An
        // invalid request can't be the one that ran.
        Err(refusal) if has_idempotency_key && !refusal.reason.is_invalid_request() => {
            Ok(problem_reply(&refusal.before_claim(), &request_id))
        }
        Err(refusal) => Ok(problem_reply(&refusal, &request_id)),
    }
}

async fn route_request(
    context: &Arc<CallContext>,
    request: Request<Incoming>,
    slot: &Arc<CallerSlot>,
    (ticket, request_id): (u64, &str),
) -> Result<io::Result<CallerReply>, Refusal> {
    let Some(guard) = context.open_request() else {
        let refusal = Refusal::not_run(RefusalReason::QueueFull, "too many requests are open");
        return Err(refusal.after(Duration::from_secs(1)));
    };
    let Some(configuration) = context.configuration() else {
        let detail = "the configuration is not known yet";
        let refusal = Refusal::not_run(RefusalReason::NotReady, detail);
        return Err(refusal.after(Duration::from_secs(1)));
    };
    let head = RequestHead::read(context, &configuration.text, request.headers())?;
    let path = request.uri().path();
    if path == "/v1/chat/completions" {
        expect_method(&request, &Method::POST)?;
        return handle_chat(
            context,
            head,
            (request, slot),
            (ticket, request_id),
            guard,
            &configuration,
        )
        .await;
    }
    if path == "/v1/models" {
        expect_method(&request, &Method::GET)?;
        return Ok(Ok(list_models(&configuration)));
    }
    if path.starts_with("/services/") {
        return handle_plain(
            context,
            head,
            (request, slot),
            (ticket, request_id),
            guard,
            &configuration,
        )
        .await
        .map(Ok);
    }
    let detail = format!("path {path:?} does not exist");
    Err(Refusal::not_run(RefusalReason::NotFound, &detail))
}

async fn handle_chat(
    context: &Arc<CallContext>,
    head: RequestHead,
    (request, slot): (Request<Incoming>, &Arc<CallerSlot>),
    (ticket, request_id): (u64, &str),
    mut guard: RequestGuard,
    configuration: &Configuration,
) -> Result<io::Result<CallerReply>, Refusal> {
    let kept = read_body(context, &head.account, request.into_body()).await?;
    guard.busy = Some(slot.begin_request());
    guard.lease = Some(Arc::clone(&kept.lease));
    let call = ChatCall::parse(
        head,
        ticket,
        request_id.to_owned(),
        kept,
        &configuration.text,
    )?;
    let reply = call.answer(Arc::clone(context), guard).await;
    Ok(reply.ok_or_else(|| io::Error::other("the task of the call ended without a response")))
}

async fn handle_plain(
    context: &Arc<CallContext>,
    head: RequestHead,
    (request, slot): (Request<Incoming>, &Arc<CallerSlot>),
    (ticket, request_id): (u64, &str),
    mut guard: RequestGuard,
    configuration: &Configuration,
) -> Result<CallerReply, Refusal> {
    let uri = request.uri();
    if !is_normal_path(uri.path()) {
        let detail = "the path must have no empty or dot segments and no needless escapes";
        return Err(Refusal::not_run(RefusalReason::BadRequest, detail));
    }
    let path = uri
        .path_and_query()
        .map_or(uri.path(), |path| path.as_str());
    let service = path.split(['/', '?']).nth(2).unwrap_or_default().to_owned();
    let path = path.to_owned();
    let (parts, body) = request.into_parts();
    let kept = read_body(context, &head.account, body).await?;
    guard.busy = Some(slot.begin_request());
    guard.lease = Some(kept.lease);
    let plain_request = PlainRequest {
        service,
        method: parts.method,
        path,
        content_type: content_type(&parts.headers),
        body: kept.bytes,
    };
    let call = PlainCall::new(
        head,
        ticket,
        request_id.to_owned(),
        plain_request,
        &configuration.text,
    );
    Ok(call.answer(Arc::clone(context), guard).await)
}

fn expect_method(request: &Request<Incoming>, method: &Method) -> Result<(), Refusal> {
    if request.method() == method {
        return Ok(());
    }
    let detail = format!("{} takes {method} only", request.uri().path());
    Err(Refusal::not_run(RefusalReason::BadRequest, &detail))
}

fn content_type(headers: &HeaderMap) -> String {
    headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned()
}

fn list_models(configuration: &Configuration) -> CallerReply {
    let services = configuration.text.model_services.iter();
    let data: Vec<_> = services
        .map(|service| json!({"id": service.name, "object": "model", "owned_by": "toucanring"}))
        .collect();
    let body = json!({"object": "list", "data": data});
    full_reply(StatusCode::OK, "application/json", body.to_string())
}

fn readiness(context: &CallContext) -> CallerReply {
    if !context.ready.load(Ordering::Relaxed) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return full_reply(status, "text/plain", "the gateway stops\n");
    }
    if let Some(reason) = context.runtime.view.borrow().config_reason() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return full_reply(status, "text/plain", reason);
    }
    full_reply(StatusCode::OK, "text/plain", "ready\n")
}

async fn status(context: &CallContext) -> CallerReply {
    let dispatcher = context.status().await;
    let body = json!({"open_calls": context.open_requests(), "dispatcher": dispatcher});
    full_reply(StatusCode::OK, "application/json", body.to_string())
}
