use {
    super::{
        call_context::{CallContext, OpenGuard},
        chat_call::ChatCall,
        plain_call::{PlainCall, PlainParts},
        request_head::{RequestHead, read_body, request_id},
    },
    crate::{
        adapters::{CallerReply, problem_reply, whole_reply},
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

/// Answers one request of a caller.
///
/// # Errors
/// Fails only when the call ends without any answer; the connection is then closed.
pub(super) async fn answer(
    context: Arc<CallContext>,
    request: Request<Incoming>,
) -> io::Result<CallerReply> {
    match request.uri().path() {
        "/healthz" => return Ok(whole_reply(StatusCode::OK, "text/plain", "ok\n")),
        "/readyz" => return Ok(readiness(&context)),
        "/status" => return Ok(status(&context).await),
        _ => {}
    }
    let ticket = context.ticket();
    let id = request_id(&context, request.headers(), ticket);
    let may_be_resend = request.headers().contains_key("Idempotency-Key");
    match serve(&context, request, ticket, &id).await {
        Ok(reply) => reply,
        // A wrong request is another one than any that ran before.
        Err(refusal) if may_be_resend && !refusal.reason.is_invalid_request() => {
            Ok(problem_reply(&refusal.before_claim(), &id))
        }
        Err(refusal) => Ok(problem_reply(&refusal, &id)),
    }
}

async fn serve(
    context: &Arc<CallContext>,
    request: Request<Incoming>,
    ticket: u64,
    id: &str,
) -> Result<io::Result<CallerReply>, Refusal> {
    let Some(guard) = context.enter() else {
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
        return chat(context, head, request, (ticket, id), guard, &configuration).await;
    }
    if path == "/v1/models" {
        expect_method(&request, &Method::GET)?;
        return Ok(Ok(models(&configuration)));
    }
    if path.starts_with("/services/") {
        return plain(context, head, request, (ticket, id), guard, &configuration)
            .await
            .map(Ok);
    }
    let detail = format!("path {path:?} does not exist");
    Err(Refusal::not_run(RefusalReason::NotFound, &detail))
}

async fn chat(
    context: &Arc<CallContext>,
    head: RequestHead,
    request: Request<Incoming>,
    (ticket, id): (u64, &str),
    guard: OpenGuard,
    configuration: &Configuration,
) -> Result<io::Result<CallerReply>, Refusal> {
    let body = read_body(request.into_body()).await?;
    let call = ChatCall::parse(head, ticket, id.to_owned(), &body, &configuration.text)?;
    let answer = call.answer(Arc::clone(context), guard).await;
    Ok(answer.ok_or_else(|| io::Error::other("the call ended without an answer")))
}

async fn plain(
    context: &Arc<CallContext>,
    head: RequestHead,
    request: Request<Incoming>,
    (ticket, id): (u64, &str),
    guard: OpenGuard,
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
    let parts = PlainParts {
        service,
        method: request.method().clone(),
        path: path.to_owned(),
        content_type: content_type(request.headers()),
        body: read_body(request.into_body()).await?,
    };
    let call = PlainCall::new(head, ticket, id.to_owned(), parts, &configuration.text);
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

fn models(configuration: &Configuration) -> CallerReply {
    let services = configuration.text.model_services.iter();
    let data: Vec<_> = services
        .map(|service| json!({"id": service.name, "object": "model", "owned_by": "toucanring"}))
        .collect();
    let body = json!({"object": "list", "data": data});
    whole_reply(StatusCode::OK, "application/json", body.to_string())
}

fn readiness(context: &CallContext) -> CallerReply {
    if !context.ready.load(Ordering::Relaxed) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return whole_reply(status, "text/plain", "the gateway stops\n");
    }
    if let Some(reason) = context.runtime.view.borrow().config_reason() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return whole_reply(status, "text/plain", reason);
    }
    whole_reply(StatusCode::OK, "text/plain", "ready\n")
}

async fn status(context: &CallContext) -> CallerReply {
    let dispatcher = context.status().await;
    let body = json!({"open_calls": context.open(), "dispatcher": dispatcher});
    whole_reply(StatusCode::OK, "application/json", body.to_string())
}
