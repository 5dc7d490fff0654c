use {
    super::{AdapterError, PlatformClient, Result, peer_link::PeerLink, process_log::start_log},
    crate::{
        conf::ProcessSettings,
        core::view::{ClusterView, LocalUpdate, PeerCodec},
        wire::{PeerHeartbeat, ProcessRole},
    },
    error_stack::{Report, ResultExt},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::UdpSocket,
        sync::{mpsc, watch},
    },
};

/// Local updates that may wait for the exchange.
const UPDATE_QUEUE: usize = 256;
/// Bound of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// What every process of the system has: logs, platform access and the
/// exchange with its peers. The exchange ends when the last clone is dropped.
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
        let platform = PlatformClient::new(
            settings.platform,
            &settings.failure_domain,
            PLATFORM_TIMEOUT,
        );
        let key = blake3::Hash::from_hex(&settings.exchange_key)
            .change_context(AdapterError::Protocol)
            .attach("exchange_key must be 64 hexadecimal digits")?;
        let socket = UdpSocket::bind(settings.peer_listen)
            .await
            .change_context(AdapterError::Connect)
            .attach_with(|| format!("peer port {}", settings.peer_listen))?;
        let peer_address = socket
            .local_addr()
            .map_err(|error| Report::new(error).change_context(AdapterError::Connect))?;
        let heartbeat = PeerHeartbeat {
            process: settings.name.clone(),
            role,
            failure_domain: settings.failure_domain.clone(),
            boot: rand::random(),
            started_ms: epoch_ms(),
            sequence: 0,
            address: peer_address,
            config_version: 0,
            ready: false,
        };
        let started = Instant::now();
        let boot = heartbeat.boot;
        let (publisher, view) = watch::channel(Arc::new(ClusterView::default()));
        let (updates, queue) = mpsc::channel(UPDATE_QUEUE);
        let link = PeerLink {
            logger: logger.clone(),
            started,
            socket,
            codec: PeerCodec::new(*key.as_bytes()),
            platform: platform.clone(),
            heartbeat,
            peers: settings.peers.clone(),
            sequence: 0,
            usage: Vec::new(),
            view: ClusterView::default(),
            publisher,
        };
        tokio::spawn(link.run(queue));
        Ok(Self {
            logger,
            started,
            boot,
            peer_address,
            platform,
            view,
            updates,
        })
    }
}

fn epoch_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
