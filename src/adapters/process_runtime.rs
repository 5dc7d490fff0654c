use {
    super::{
        AdapterError, PlatformClient, Result,
        peer_link::{LinkInputs, PeerLink},
        peer_tcp::serve_calls,
        process_log::start_log,
        process_metrics::start_metrics,
        store_watcher::{WatcherContext, watch_configuration, watch_instances},
    },
    crate::{
        conf::ProcessSettings,
        core::view::{ClusterView, ExchangeSettings, LocalUpdate, PeerCodec, PeerExchange},
        wire::ProcessRole,
    },
    cadence::StatsdClient,
    error_stack::{Report, ResultExt},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::{mpsc, watch},
    },
};

/// Maximum local updates that wait for the exchange.
const MAX_QUEUED_UPDATES: usize = 256;
/// Maximum calls of peers that wait for the exchange.
const MAX_QUEUED_CALLS: usize = 16;
/// Maximum results of the watchers that wait for the exchange.
const MAX_QUEUED_RESULTS: usize = 4;
/// Longest duration of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum attempts to find a port that is free for both UDP and TCP, if the settings give port 0.
const MAX_BIND_ATTEMPTS: usize = 32;

/// Services that every process uses: logs, metrics, platform access and the exchange with its
/// peers. The exchange ends when the last clone of `updates` is dropped.
#[derive(Debug, Clone)]
pub struct ProcessRuntime {
    /// Writes to standard error and adds the process name to each record.
    pub logger: Logger,
    /// Instant at which the monotonic time of events is zero.
    pub started: Instant,
    /// Random number that tells this start of the process from others under the same name.
    pub boot: u64,
    /// Address at which peers connect; holds the chosen port if the settings give port 0.
    pub peer_address: SocketAddr,
    /// Adds the process name to each metric; discards all metrics if the settings give no address.
    pub metrics: Arc<StatsdClient>,
    /// Calls the platform with a timeout of 2 s per call.
    pub platform: PlatformClient,
    /// Newest snapshot of the configuration, groups and peers; empty at first.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// Bounded queue of what this process tells its peers.
    pub updates: mpsc::Sender<LocalUpdate>,
}

impl ProcessRuntime {
    /// Opens the peer port and starts the exchange and the watchers of the configuration and the
    /// instance list.
    ///
    /// # Errors
    /// [`AdapterError::Connect`] if the peer port or the metrics socket cannot be opened,
    /// [`AdapterError::Protocol`] if the exchange key is not 32 bytes in hexadecimal.
    pub async fn start(settings: &ProcessSettings, role: ProcessRole) -> Result<Self> {
        let logger = start_log(&settings.name);
        let metrics = Arc::new(start_metrics(&settings.name, settings.metrics)?);
        let platform = PlatformClient::new(
            settings.platform,
            &settings.failure_domain,
            PLATFORM_TIMEOUT,
        );
        let key = blake3::Hash::from_hex(&settings.exchange_key)
            .change_context(AdapterError::Protocol)
            .attach("exchange_key must be 64 hexadecimal digits")?;
        let (socket, listener, peer_address) = bind_peer_port(settings.peer_listen).await?;
        let exchange = PeerExchange::new(ExchangeSettings {
            process: settings.name.clone(),
            role,
            failure_domain: settings.failure_domain.clone(),
            boot: rand::random(),
            started_ms: epoch_ms(),
            address: peer_address,
            seeds: settings.peers.clone(),
            key: *key.as_bytes(),
            seed: rand::random(),
        });
        let started = Instant::now();
        let boot = exchange.boot();
        let (publisher, view) = watch::channel(Arc::new(ClusterView::default()));
        let (updates, update_queue) = mpsc::channel(MAX_QUEUED_UPDATES);
        let (call_sender, calls) = mpsc::channel(MAX_QUEUED_CALLS);
        let (result_sender, watch_results) = mpsc::channel(MAX_QUEUED_RESULTS);
        let (answers, answer_queue, pull_permits) = PeerLink::answer_queue();
        let codec = PeerCodec::new(*key.as_bytes());
        let context = WatcherContext {
            platform: settings.platform,
            failure_domain: settings.failure_domain.clone(),
            logger: logger.clone(),
            view: view.clone(),
        };
        tokio::spawn(serve_calls(listener, codec.clone(), call_sender));
        tokio::spawn(watch_configuration(context.clone(), result_sender.clone()));
        tokio::spawn(watch_instances(context, result_sender));
        let link = PeerLink {
            logger: logger.clone(),
            started,
            socket,
            codec,
            exchange,
            metrics: metrics.clone(),
            publisher,
            answers,
            pull_permits,
            sent_bytes: 0,
            next_gauges: Duration::ZERO,
        };
        tokio::spawn(link.run(LinkInputs {
            updates: update_queue,
            calls,
            watch_results,
            answers: answer_queue,
        }));
        Ok(Self {
            logger,
            started,
            boot,
            peer_address,
            metrics,
            platform,
            view,
            updates,
        })
    }
}

/// Opens the same port number for UDP and TCP.
async fn bind_peer_port(address: SocketAddr) -> Result<(UdpSocket, TcpListener, SocketAddr)> {
    let mut failure = Report::new(AdapterError::Connect);
    for _ in 0..MAX_BIND_ATTEMPTS {
        let listener = TcpListener::bind(address).await;
        let listener = listener.change_context(AdapterError::Connect);
        let listener = listener.attach_with(|| format!("peer port {address}, TCP"))?;
        let bound = listener.local_addr();
        let bound = bound.change_context(AdapterError::Connect)?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener, bound)),
            Err(error) => failure = Report::new(error).change_context(AdapterError::Connect),
        }
        // A port that the settings give is in use; another attempt would not help.
        if address.port() != 0 {
            break;
        }
    }
    Err(failure.attach(format!("peer port {address}, UDP")))
}

fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
