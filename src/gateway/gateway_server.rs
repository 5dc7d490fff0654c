use {
    super::{
        GatewayError, Result,
        call_context::CallContext,
        dispatch_actor::{DispatchActor, DispatchArguments},
        request_paths::answer,
    },
    crate::{
        adapters::{JsonClient, LocalUpdate, MinuteWriter, NodeRuntime},
        conf::ProcessSettings,
        core::dispatch::{DispatchEvent, RequestDispatcher},
        wire::ProcessRole,
    },
    error_stack::ResultExt,
    hyper::service::service_fn,
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::{conn::auto::Builder, graceful::GracefulShutdown},
    },
    ractor::Actor,
    slog::info,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
    },
};

/// Most connections of callers.
const MAX_CONNECTIONS: usize = 4_096;

/// Longest wait for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest head of a request in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Longest wait for running requests after the listener is closed.
const DRAIN_LIMIT: Duration = Duration::from_mins(10);

/// Wait between two looks at what still runs.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A gateway process.
#[derive(Debug)]
pub struct GatewayServer {
    context: Arc<CallContext>,
    listener: TcpListener,
    drain: Duration,
    minutes: MinuteWriter,
}

impl GatewayServer {
    /// Starts the runtime and opens the address for callers.
    ///
    /// # Errors
    /// See [`GatewayError`].
    pub async fn start(settings: &ProcessSettings) -> Result<Self> {
        let runtime = NodeRuntime::start(settings, ProcessRole::Gateway)
            .await
            .change_context(GatewayError::Runtime)?;
        let client = JsonClient::new(&settings.failure_domain);
        let dispatcher =
            RequestDispatcher::new(&settings.name, &settings.failure_domain, runtime.boot);
        let minutes = MinuteWriter::start(
            runtime.platform.clone(),
            &settings.name,
            runtime.boot,
            &runtime.logger,
        );
        let arguments = DispatchArguments {
            dispatcher,
            runtime: runtime.clone(),
            client: client.clone(),
            minutes: minutes.clone(),
        };
        let (dispatcher, _) = Actor::spawn(None, DispatchActor, arguments)
            .await
            .change_context(GatewayError::Actor)?;
        let listener = TcpListener::bind(settings.listen)
            .await
            .change_context(GatewayError::Listen)
            .attach_with(|| settings.listen.to_string())?;
        Ok(Self {
            context: Arc::new(CallContext::new(runtime, dispatcher, client)),
            listener,
            drain: Duration::from_millis(settings.drain_ms),
            minutes,
        })
    }

    /// Address for callers.
    ///
    /// # Errors
    /// [`GatewayError::Listen`] when the socket has no address.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener
            .local_addr()
            .change_context(GatewayError::Listen)
    }

    /// Address of the peer port.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.context.runtime.peer_address
    }

    /// Serves until `stop` is ready, then drains and returns.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let context = Arc::clone(&self.context);
        let updates = context.runtime.updates.clone();
        tokio::spawn(announce_ready(context.runtime.clone()));
        let stopped = async {
            stop.await;
            context.ready.store(false, Ordering::Relaxed);
            let _ = updates.send(LocalUpdate::Ready(false)).await;
            info!(context.runtime.logger, "gateway drains");
            tokio::time::sleep(self.drain).await;
        };
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let Ok(place) = Arc::clone(&places).try_acquire_owned() else { continue };
                    self.serve(stream, place, &graceful);
                }
                () = &mut stopped => break,
            }
        }
        drop(self.listener);
        self.context.tell(DispatchEvent::Stop);
        let _ = tokio::time::timeout(DRAIN_LIMIT, async {
            graceful.shutdown().await;
            finish_calls(&self.context).await;
        })
        .await;
        let unstored = self.minutes.close().await;
        info!(self.context.runtime.logger, "gateway stopped"; "unstored_minutes" => unstored);
    }

    fn serve(
        &self,
        stream: TcpStream,
        place: tokio::sync::OwnedSemaphorePermit,
        graceful: &GracefulShutdown,
    ) {
        let _ = stream.set_nodelay(true);
        let context = Arc::clone(&self.context);
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX))
            .keep_alive_interval(Some(HEAD_TIMEOUT))
            .keep_alive_timeout(HEAD_TIMEOUT);
        let service = service_fn(move |request| answer(Arc::clone(&context), request));
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks its connection is an ordinary event.
            let _ = connection.await;
            drop(place);
        });
    }
}

/// Tells the peers that the gateway is ready once it knows the configuration.
async fn announce_ready(mut runtime: NodeRuntime) {
    let known = runtime.view.wait_for(|view| view.configuration.is_some());
    if known.await.is_ok() {
        let _ = runtime.updates.send(LocalUpdate::Ready(true)).await;
    }
}

/// Waits for calls that go on without their caller and for unsettled claims.
async fn finish_calls(context: &CallContext) {
    loop {
        let status = context.status().await;
        if context.open() == 0 && status.open == 0 && status.unsettled_claims == 0 {
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}
