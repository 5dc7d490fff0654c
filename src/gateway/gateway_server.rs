use {
    super::{
        GatewayError, Result,
        call_context::{CallContext, DEFAULT_MEMORY_MB},
        caller_slots::{CallerSlot, CallerSlots},
        dispatch_actor::{DispatchActor, DispatchArguments},
        request_paths::handle_request,
    },
    crate::{
        adapters::{JsonClient, LocalUpdate, MinuteWriter, ProcessRuntime},
        conf::ProcessSettings,
        core::dispatch::{DispatchEvent, RequestDispatcher},
        wire::ProcessRole,
    },
    cadence::Gauged,
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
        sync::{Arc, Weak, atomic::Ordering},
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Time in which a caller must send the head of an HTTP/1 request. Also the interval of HTTP/2
/// pings and the longest wait for the answer to one.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of the read buffer for HTTP/1, and of the header list for HTTP/2; larger request heads are
/// refused.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Longest wait for open requests and unsettled claims after the listener is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_mins(10);

/// Time between two checks for open requests and unsettled claims.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two metrics of the memory for requests.
const MEMORY_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Flow-control window in bytes of an HTTP/2 connection, and of each of its streams: twice the read
/// buffer of HTTP/1.
const H2_WINDOW_BYTES: u32 = 64 * 1024;

/// HTTP server of a gateway process, with its dispatcher and the exchange with its peers.
#[derive(Debug)]
pub struct GatewayServer {
    context: Arc<CallContext>,
    listener: TcpListener,
    slots: Arc<CallerSlots>,
    drain: Duration,
    minutes: MinuteWriter,
}

impl GatewayServer {
    /// Starts the process runtime and the dispatcher, and binds the address for callers.
    ///
    /// # Errors
    /// See [`GatewayError`].
    pub async fn start(settings: &ProcessSettings) -> Result<Self> {
        let runtime = ProcessRuntime::start(settings, ProcessRole::Gateway)
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
        let memory_mb = settings.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let listener = TcpListener::bind(settings.listen)
            .await
            .change_context(GatewayError::Listen)
            .attach_with(|| settings.listen.to_string())?;
        Ok(Self {
            context: Arc::new(CallContext::new(runtime, dispatcher, client, memory_mb)),
            listener,
            slots: Arc::new(CallerSlots::new(memory_mb)),
            drain: Duration::from_millis(settings.drain_ms),
            minutes,
        })
    }

    /// Address at which callers connect; holds the chosen port if the settings give port 0.
    ///
    /// # Errors
    /// [`GatewayError::Listen`] when the socket has no address.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener
            .local_addr()
            .change_context(GatewayError::Listen)
    }

    /// Address at which peers connect; holds the chosen port if the settings give port 0.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.context.runtime.peer_address
    }

    /// Serves callers until `stop` completes, then drains and returns.
    ///
    /// For the drain time of the settings the gateway reports itself as not ready but still accepts
    /// connections. Then it closes the listener and waits up to 10 min for open requests.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let graceful = GracefulShutdown::new();
        let context = Arc::clone(&self.context);
        let updates = context.runtime.updates.clone();
        tokio::spawn(announce_ready(context.runtime.clone()));
        tokio::spawn(report_memory(Arc::downgrade(&context)));
        let drained = async {
            stop.await;
            context.ready.store(false, Ordering::Relaxed);
            let _ = updates.send(LocalUpdate::Ready(false)).await;
            info!(
                context.runtime.logger,
                "draining: reporting not ready, still accepting connections"
            );
            tokio::time::sleep(self.drain).await;
        };
        tokio::pin!(drained);
        loop {
            tokio::select! {
                accepted = self.listener.accept() => {
                    let Ok((stream, _)) = accepted else { continue };
                    let Some(slot) = self.slots.admit().await else { continue };
                    self.serve(stream, &slot, &graceful);
                }
                () = &mut drained => break,
            }
        }
        drop(self.listener);
        self.context.send_event(DispatchEvent::Stop);
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, async {
            graceful.shutdown().await;
            wait_for_calls(&self.context).await;
        })
        .await;
        let unstored = self.minutes.close().await;
        info!(self.context.runtime.logger, "stopped the gateway"; "unstored_minutes" => unstored);
    }

    fn serve(&self, stream: TcpStream, slot: &Arc<CallerSlot>, graceful: &GracefulShutdown) {
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
            .initial_stream_window_size(H2_WINDOW_BYTES)
            .initial_connection_window_size(H2_WINDOW_BYTES)
            .max_header_list_size(u32::try_from(MAX_HEAD_BYTES).unwrap_or(u32::MAX))
            .keep_alive_interval(Some(HEAD_TIMEOUT))
            .keep_alive_timeout(HEAD_TIMEOUT);
        let caller_slot = Arc::clone(slot);
        let service = service_fn(move |request| {
            caller_slot.touch();
            handle_request(Arc::clone(&context), request, Arc::clone(&caller_slot))
        });
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        let connection = graceful.watch(connection);
        let task = tokio::spawn(async move {
            // Callers often break connections; that is not worth a log line.
            let _ = connection.await;
        });
        slot.set_task(task);
    }
}

/// Tells the peers that the gateway is ready as soon as it has a configuration.
async fn announce_ready(mut runtime: ProcessRuntime) {
    let configured = runtime.view.wait_for(|view| view.configuration.is_some());
    if configured.await.is_ok() {
        let _ = runtime.updates.send(LocalUpdate::Ready(true)).await;
    }
}

/// Sends the bytes that are kept of requests as a metric, until the gateway has ended.
async fn report_memory(context: Weak<CallContext>) {
    loop {
        tokio::time::sleep(MEMORY_REPORT_INTERVAL).await;
        let Some(context) = context.upgrade() else {
            return;
        };
        let held = u64::try_from(context.intake.held_bytes()).unwrap_or(u64::MAX);
        let _ = context.runtime.metrics.gauge("requests.held_bytes", held);
    }
}

/// Waits for calls that continue after their connection is closed, and for unsettled claims.
async fn wait_for_calls(context: &CallContext) {
    loop {
        let status = context.status().await;
        if context.open_requests() == 0 && status.open == 0 && status.unsettled_claims == 0 {
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
