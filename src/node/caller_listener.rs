use {
    super::{NodeContext, NodeError, ReplyBody, Result, StopPhase, answer_request},
    error_stack::ResultExt,
    hyper::{Request, Response, body::Incoming, header, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Largest head of a request in bytes; the operator's limit is checked against it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Least idle time of a caller's connection. It is far above the operator's
/// limit, since closing an idle connection can meet a request on its way.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Descriptors kept for connections to backend servers, peers and files.
const RESERVED_DESCRIPTORS: u64 = 1_200;

/// Serves callers until the node stops.
#[derive(Debug)]
pub struct CallerListener {
    context: Arc<NodeContext>,
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl CallerListener {
    /// Opens the address for callers.
    ///
    /// # Errors
    /// [`NodeError::Listen`]
    pub async fn open(context: &Arc<NodeContext>) -> Result<Self> {
        let listener = open_listener(context.settings.listen).await?;
        let descriptors = context.settings.most_descriptors();
        let permits = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let permits = usize::try_from(permits).unwrap_or(usize::MAX);
        Ok(Self {
            context: Arc::clone(context),
            listener,
            permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
        })
    }

    /// Accepts connections until the node closes.
    pub async fn run(self) {
        let mut stop = self.context.stop.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        slog::warn!(self.context.logger, "accept failed"; "error" => %error);
                        tokio::time::sleep(Duration::from_millis(20)).await;
                        continue;
                    }
                },
                () = wait_closing(&mut stop) => return,
            };
            let Ok(permit) = Arc::clone(&self.permits).try_acquire_owned() else {
                continue;
            };
            let context = Arc::clone(&self.context);
            tokio::spawn(async move {
                serve_caller(context, stream).await;
                drop(permit);
            });
        }
    }
}

/// Opens a listener.
///
/// # Errors
/// [`NodeError::Listen`]
pub(super) async fn open_listener(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError::Listen)
        .attach_with(|| address.to_string())
}

async fn wait_closing(stop: &mut watch::Receiver<StopPhase>) {
    // The sender lives as long as the node.
    let _ = stop.wait_for(|phase| *phase == StopPhase::Closing).await;
}

async fn serve_caller(context: Arc<NodeContext>, stream: TcpStream) {
    // A socket that refuses the option works without it.
    let _ = stream.set_nodelay(true);
    let mut stop = context.stop.subscribe();
    let shared = Arc::clone(&context);
    let service = service_fn(move |request| answer(Arc::clone(&shared), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(MIN_IDLE_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A caller that breaks its connection is an ordinary event.
        _ = connection.as_mut() => return,
        () = wait_closing(&mut stop) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer(
    context: Arc<NodeContext>,
    request: Request<Incoming>,
) -> std::result::Result<Response<ReplyBody>, Infallible> {
    let stop = context.stop.subscribe();
    let mut reply = answer_request(context, request).await;
    if *stop.borrow() != StopPhase::Running {
        let close = header::HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply)
}
