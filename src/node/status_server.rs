//! HTTP servers for the readiness check and the metrics.

use {
    super::{NodeContext, ReplyBody, Result, caller_listener::open_listener},
    bytes::Bytes,
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{collections::VecDeque, convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::AbortHandle},
};

/// Time after which an idle connection of a checker is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most connections of each listener. The oldest is closed for another one, so that idle ones keep
/// no check away.
const MAX_CONNECTIONS: usize = 64;

/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1_024;

type StatusHandler = fn(&NodeContext, &str) -> (StatusCode, String);

/// Binds the addresses for the readiness check and the metrics, and starts to answer requests there
/// until the process ends.
///
/// # Errors
/// [`super::NodeError::Listen`] when an address cannot be bound.
pub async fn open_status(context: &Arc<NodeContext>) -> Result<()> {
    let settings = &context.settings;
    serve(context, settings.ready_listen, check_ready).await?;
    serve(context, settings.metrics_listen, render_metrics).await
}

async fn serve(
    context: &Arc<NodeContext>,
    address: SocketAddr,
    handler: StatusHandler,
) -> Result<()> {
    let listener = open_listener(address).await?;
    tokio::spawn(accept(Arc::clone(context), listener, handler));
    Ok(())
}

fn check_ready(context: &NodeContext, path: &str) -> (StatusCode, String) {
    if path != context.codec.ready_path {
        return (StatusCode::NOT_FOUND, String::new());
    }
    if context.is_ready() {
        return (StatusCode::OK, String::new());
    }
    (StatusCode::SERVICE_UNAVAILABLE, String::new())
}

fn render_metrics(context: &NodeContext, path: &str) -> (StatusCode, String) {
    if path != "/metrics" {
        return (StatusCode::NOT_FOUND, String::new());
    }
    let memory = &context.metrics.memory;
    let gauge = |bytes: usize| i64::try_from(bytes).unwrap_or(i64::MAX);
    let (connections, connection_bytes) = context.connections.counts();
    memory.connections.set(gauge(connections));
    memory.connection_bytes.set(gauge(connection_bytes));
    memory.request_bytes.set(gauge(context.intake.held_bytes()));
    memory
        .response_bytes
        .set(gauge(context.response_budget.held_bytes()));
    (StatusCode::OK, context.metrics.render())
}

async fn accept(context: Arc<NodeContext>, listener: TcpListener, handler: StatusHandler) {
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let context = Arc::clone(&context);
        let service = service_fn(move |request: Request<Incoming>| {
            let (status, text) = handler(&context, request.uri().path());
            let mut reply = Response::new(ReplyBody::whole(Bytes::from(text)));
            *reply.status_mut() = status;
            async move { Ok::<_, Infallible>(reply) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let task = tokio::spawn(async move {
            // An error needs no handling: a checker whose connection breaks asks again.
            let _ = connection.await;
        });
        open.retain(|one| !one.is_finished());
        if open.len() >= MAX_CONNECTIONS
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        open.push_back(task.abort_handle());
    }
}
