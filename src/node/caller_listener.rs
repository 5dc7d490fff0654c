use {
    super::{
        ConnectionGuard, NodeContext, NodeError, NodeMetrics, ReplyBody, Result, StopPhase,
        answer_request, caller_stream::CallerStream,
    },
    error_stack::ResultExt,
    hyper::{
        Request, Response, Version,
        body::{Body, Incoming},
        header,
        server::conn::http1,
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
        sync::watch,
    },
};

/// Idle time after which a caller's connection is closed. It is far above the operator's limit,
/// since closing an idle connection can collide with a request on its way.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Accepts and serves the connections of callers until the node stops.
#[derive(Debug)]
pub struct CallerListener {
    context: Arc<NodeContext>,
    listener: TcpListener,
}

impl CallerListener {
    /// Binds the address for callers. The number of connections served at a time follows from the
    /// limits of open descriptors and of memory.
    ///
    /// # Errors
    /// [`NodeError::Listen`] when the address cannot be bound.
    pub async fn open(context: &Arc<NodeContext>) -> Result<Self> {
        let listener = open_listener(context.settings.listen).await?;
        Ok(Self {
            context: Arc::clone(context),
            listener,
        })
    }

    /// Accepts connections until the phase [`StopPhase::Closing`]. At the limit the connection that
    /// has been idle for the longest time is closed; without one the new one is.
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
            let Some(guard) = self.context.connections.admit() else {
                NodeMetrics::count(&self.context.metrics.memory.closed, "no_room");
                continue;
            };
            tokio::spawn(serve_caller(Arc::clone(&self.context), stream, guard));
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

async fn serve_caller(context: Arc<NodeContext>, stream: TcpStream, guard: Arc<ConnectionGuard>) {
    let buffer_bytes = context.caller_buffer_bytes();
    let stream_guard = Arc::clone(&guard);
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
        handle_request(Arc::clone(&shared), request, Arc::clone(&guard))
    });
    let stream = CallerStream::new(stream, stream_guard, buffer_bytes);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        // A head that is larger than the operator permits is rejected with 431.
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let served = tokio::select! {
        biased;
        // A connection that is closed for others begins no further request.
        () = guard.closer.notified() => {
            let caller = connection.into_parts().io.into_inner();
            // Frees what the caller has not read at once.
            if caller.is_blocked() {
                reset_connection(caller.stream());
            }
            return;
        }
        served = &mut connection => Some(served),
        () = wait_closing(&mut stop) => None,
    };
    let served = if let Some(served) = served {
        served
    } else {
        Pin::new(&mut connection).graceful_shutdown();
        tokio::select! {
            biased;
            () = guard.closer.notified() => return,
            served = &mut connection => served,
        }
    };
    // Other errors mean that the caller broke the connection, which is an ordinary event.
    let is_cut_off = served.is_err_and(|error| error.is_user());
    if is_cut_off && !knows_chunks.load(Ordering::Relaxed) {
        reset_connection(connection.into_parts().io.into_inner().stream());
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
    guard: Arc<ConnectionGuard>,
) -> std::result::Result<Response<ReplyBody>, Infallible> {
    let stop = context.stop.subscribe();
    let mut reply = answer_request(context, request, &guard).await;
    if let ReplyBody::Whole(body) = reply.body() {
        let length = body.size_hint().exact().unwrap_or_default();
        guard.begin_reply(usize::try_from(length).unwrap_or(usize::MAX));
    }
    if *stop.borrow() != StopPhase::Running {
        let close = header::HeaderValue::from_static("close");
        reply.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(reply)
}
