//! Handles a caller's request: reads it, chooses its route and service, and passes it to the flow
//! of its route kind.

use {
    super::{
        ConnectionGuard, NodeContext, NodeMetrics, ReplyBody, RoutedCall,
        node_clock::now,
        node_context::ActiveRoutes,
        node_log::REQUEST_TAG,
        problem_reply::ProblemReply,
        request_intake::head_bytes,
        request_record::RequestRecord,
        routed_call::{reply_deadline, strip_connection_headers},
        run_buffered, run_stream,
        stop_check::STOPPING_NOT_RUN,
    },
    crate::{
        core::{
            retry::SubjectList,
            routes::{RouteKind, RouteRefusal},
        },
        intake::NO_ROOM_RETRY,
    },
    hyper::{Request, Response, StatusCode, body::Incoming, header},
    rand::RngExt,
    slog::info,
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// Retry-after time of a request that meets a gateway without routes.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Handles a request that arrived at `connection` and returns the response for the caller; a
/// streamed body continues after the return.
pub async fn answer_request(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
    connection: &Arc<ConnectionGuard>,
) -> Response<ReplyBody> {
    let _open = context.open_request();
    let arrived = now();
    let (call, record) = match read_call(&context, request, connection, arrived).await {
        Ok(call) => {
            let ignored = u64::try_from(call.caller.ignored_parts).unwrap_or(u64::MAX);
            NodeMetrics::count_many(&context.metrics.crash_evidence, "ignored_part", ignored);
            let record = RequestRecord::new(&context, &call);
            (call, record)
        }
        Err(reply) => return reply,
    };
    context.serving.store(true, Ordering::Relaxed);
    // Before anything counts the request: it must not change the figures by which others are
    // admitted.
    if let Err(problem) = context.check_blocked(&call, "stopped_at_arrival") {
        let mut record = record;
        return record.refuse(problem);
    }
    context.count_new_request(&call.service);
    if matches!(call.route().kind, RouteKind::Stream { .. }) {
        return run_stream(&context, call, record).await;
    }
    let mut record = record;
    run_buffered(&context, &call, &mut record).await
}

async fn read_call(
    context: &Arc<NodeContext>,
    request: Request<Incoming>,
    connection: &Arc<ConnectionGuard>,
    arrived: Duration,
) -> Result<RoutedCall, Response<ReplyBody>> {
    let caller = (context.codec.read_caller)(request.headers());
    let refuse = |problem: ProblemReply, version: Option<u64>| {
        NodeMetrics::count(&context.metrics.requests, problem.cause);
        info!(context.logger, #REQUEST_TAG, "refused a request before sending it to a server";
            "request" => &caller.request_id,
            "status" => problem.status.as_u16(), "outcome" => problem.cause,
            "routes_version" => version, "path" => request.uri().path());
        problem.into_response(context, &caller.request_id)
    };
    if !connection.begin_request(head_bytes(&request)) {
        let problem = ProblemReply::not_run("no_head_room", NO_ROOM_RETRY);
        return Err(closing(refuse(problem, None)));
    }
    let Some(ActiveRoutes { table, .. }) = context.routes() else {
        return Err(refuse(
            ProblemReply::not_run("no_routes", NOT_READY_RETRY),
            None,
        ));
    };
    let version = Some(table.version());
    let host = request.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).unwrap_or_default();
    let choice = match table.choose(host, request.uri().path(), caller.key.as_deref()) {
        Ok(choice) => choice,
        Err(RouteRefusal::NoRoute) => {
            return Err(refuse(
                ProblemReply::invalid_request(StatusCode::NOT_FOUND, "no_route"),
                version,
            ));
        }
        Err(RouteRefusal::UnknownKey) => {
            let status = StatusCode::UNAUTHORIZED;
            return Err(refuse(
                ProblemReply::invalid_request(status, "unknown_key"),
                version,
            ));
        }
    };
    let account = choice.account.map(|key| table.account(key).name.as_str());
    let terms = context.body_terms(&table.rules().limits, account);
    let uri = request.uri().clone();
    let (mut parts, mut body) = request.into_parts();
    let kept = tokio::select! {
        biased;
        kept = context.intake.read(&mut body, terms) => {
            kept.map_err(|fault| context.reject_body(fault, body, terms))
        }
        () = context.wait_for_last_start() => Err(STOPPING_NOT_RUN),
    };
    let kept = kept.map_err(|problem| {
        NodeMetrics::count(&context.metrics.requests, problem.cause);
        info!(context.logger, #REQUEST_TAG, "refused a request before sending it to a server";
            "request" => &caller.request_id,
            "status" => problem.status.as_u16(), "outcome" => problem.cause);
        // The rest of the body is not read.
        closing(problem.into_response(context, &caller.request_id))
    })?;
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let draw: f64 = rand::rng().random();
    let service = table.pick_service(choice.route, draw).to_owned();
    let give_up_at = reply_deadline(arrived, &caller, table.route(choice.route));
    let call = RoutedCall {
        caller,
        choice,
        service,
        method: parts.method,
        uri,
        headers: parts.headers,
        body: kept.bytes,
        lease: kept.lease,
        busy: connection.run_request(),
        crash_subjects: SubjectList::new(),
        arrived,
        give_up_at,
        table,
    };
    Ok(call.with_crash_subjects())
}

/// Announces that the connection is closed after a response.
fn closing(mut reply: Response<ReplyBody>) -> Response<ReplyBody> {
    let close = header::HeaderValue::from_static("close");
    reply.headers_mut().insert(header::CONNECTION, close);
    reply
}
