use {
    super::{
        NodeContext, NodeError, ReplyBody, Result, StopPhase, answer_request,
        bounded_stream::MAX_HEAD_BYTES,
    },
    error_stack::ResultExt,
    hyper::{
        Request, Response, Version, body::Incoming, header, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::SockRef,
    std::{
        convert::Infallible,
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Idle time after which a caller's connection is closed. It is far above the operator's limit,
/// since closing an idle connection can collide with a request on its way.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// File descriptors reserved for connections to backend servers and peers, and for files.
const RESERVED_DESCRIPTORS: u64 = 1_200;

/// Accepts and serves the connections of callers until the node stops.
#[derive(Debug)]
pub struct CallerListener {
    context: Arc<NodeContext>,
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl CallerListener {
    /// Binds the address for callers. The number of connections served at a time follows from the
    /// limit of open descriptors.
    ///
    /// # Errors
    /// [`NodeError::Listen`] when the address cannot be bound.
    pub async fn open(context: &Arc<NodeContext>) -> Result<Self> {
        let listener = open_listener(context.settings.listen).await?;
        let descriptors = context.settings.descriptor_limit();
        let permits = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let permits = usize::try_from(permits).unwrap_or(usize::MAX);
        Ok(Self {
            context: Arc::clone(context),
            listener,
            permits: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
        })
    }

    /// Accepts connections until the phase [`StopPhase::Closing`]. Connections over the limit are
    /// closed at once.
    pub async fn run(self) {
        let mut stop = self.context.stop.subscribe();
        loop {
            let stream = tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(error) => {
                        slog::warn!(self.context.logger, "failed to accept a connection";
                            "error" => %error);
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

/// Binds a TCP listener to an address.
///
/// # Errors
/// [`NodeError::Listen`] when the address cannot be bound.
pub(super) async fn open_listener(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .change_context(NodeError::Listen)
        .attach_with(|| address.to_string())
}

async fn wait_closing(stop: &mut watch::Receiver<StopPhase>) {
    // An error would mean that the sender is gone, but it lives as long as the node.
    let _ = stop.wait_for(|phase| *phase == StopPhase::Closing).await;
}

async fn serve_caller(context: Arc<NodeContext>, stream: TcpStream) {
    // Without the option the connection works, only slower.
    let _ = stream.set_nodelay(true);
    let mut stop = context.stop.subscribe();
    let shared = Arc::clone(&context);
    // From its first request to its end the connection keeps a stop waiting: an answer that is
    // built may not be written yet. The guard is dropped after the connection.
    let unwritten = OnceLock::new();
    let knows_chunks = AtomicBool::new(true);
    let service = service_fn(|request: Request<Incoming>| {
        unwritten.get_or_init(|| shared.open_request());
        knows_chunks.store(request.version() > Version::HTTP_10, Ordering::Relaxed);
        handle_request(Arc::clone(&shared), request)
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        // The operator's limit is checked against the limit of the parser.
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        served = &mut connection => Some(served),
        () = wait_closing(&mut stop) => None,
    };
    let served = if let Some(served) = served {
        served
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        (&mut connection).await
    };
    // Other errors mean that the caller broke the connection, which is an ordinary event.
    let is_cut_off = served.is_err_and(|error| error.is_user());
    if is_cut_off && !knows_chunks.load(Ordering::Relaxed) {
        reset_connection(&connection.into_parts().io.into_inner());
    }
}

/// Makes the connection end with a reset when it is dropped. The streamed answer to an `HTTP/1.0`
/// request ends with its connection, so that one closed in order would look complete.
fn reset_connection(stream: &TcpStream) {
    // An error means that the connection has ended already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn handle_request(
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
