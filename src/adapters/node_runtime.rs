use {
    super::{
        AdapterError, PlatformClient, Result,
        peer_link::{LinkInputs, PeerLink},
        peer_tcp::serve_calls,
        process_log::start_log,
        process_metrics::start_metrics,
        store_watcher::{WatcherAccess, watch_configuration, watch_instances},
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

/// Local updates that may wait for the exchange.
const UPDATE_QUEUE: usize = 256;
/// Calls of peers that may wait for the exchange.
const CALL_QUEUE: usize = 16;
/// Answers of the platform that may wait for the exchange.
const CHANGE_QUEUE: usize = 4;
/// Bound of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Attempts to find a port that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 32;

/// What every process of the system has: logs, metrics, platform access and
/// the exchange with its peers. The exchange ends when the last clone of
/// `updates` is dropped.
#[derive(Debug, Clone)]
pub struct NodeRuntime {
    /// Root logger.
    pub logger: Logger,
    /// Origin of monotonic time in events.
    pub started: Instant,
    /// Random number chosen at the start.
    pub boot: u64,
    /// Address of the peer port, also when the settings give port 0.
    pub peer_address: SocketAddr,
    /// `StatsD` client.
    pub metrics: Arc<StatsdClient>,
    /// Platform client.
    pub platform: PlatformClient,
    /// Newest snapshot of configuration, groups and peers.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// Queue of updates for the peers; bounded.
    pub updates: mpsc::Sender<LocalUpdate>,
}

impl NodeRuntime {
    /// Opens the peer port and starts the exchange and the configuration watcher.
    ///
    /// # Errors
    /// [`AdapterError::Connect`] when the peer port cannot be opened,
    /// [`AdapterError::Protocol`] when the exchange key is not 32 bytes.
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
        let (updates, update_queue) = mpsc::channel(UPDATE_QUEUE);
        let (call_sender, calls) = mpsc::channel(CALL_QUEUE);
        let (change_sender, changes) = mpsc::channel(CHANGE_QUEUE);
        let (answers, answer_queue, pull_slots) = PeerLink::answer_queue();
        let codec = PeerCodec::new(*key.as_bytes());
        let access = WatcherAccess {
            platform: settings.platform,
            failure_domain: settings.failure_domain.clone(),
            logger: logger.clone(),
            view: view.clone(),
        };
        tokio::spawn(serve_calls(listener, codec.clone(), call_sender));
        tokio::spawn(watch_configuration(access.clone(), change_sender.clone()));
        tokio::spawn(watch_instances(access, change_sender));
        let link = PeerLink {
            logger: logger.clone(),
            started,
            socket,
            codec,
            exchange,
            metrics: metrics.clone(),
            publisher,
            answers,
            pull_slots,
            sent_bytes: 0,
            next_gauges: Duration::ZERO,
        };
        tokio::spawn(link.run(LinkInputs {
            updates: update_queue,
            calls,
            changes,
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
    for _ in 0..BIND_ATTEMPTS {
        let listener = TcpListener::bind(address).await;
        let listener = listener.change_context(AdapterError::Connect);
        let listener = listener.attach_with(|| format!("peer port {address}, TCP"))?;
        let bound = listener.local_addr();
        let bound = bound.change_context(AdapterError::Connect)?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((socket, listener, bound)),
            Err(error) => failure = Report::new(error).change_context(AdapterError::Connect),
        }
        // A port from the settings is taken for good.
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
