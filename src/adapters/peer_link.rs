use {
    super::{
        peer_tcp::{PendingCall, call_peer},
        store_watcher::WatchResult,
    },
    crate::{
        core::view::{
            ClusterView, DropReason, EXCHANGE_TICK_INTERVAL, ExchangeAction, ExchangeEvent,
            LocalUpdate, MAX_DATAGRAM_BYTES, PeerCodec, PeerExchange,
        },
        wire::PeerRequest,
    },
    cadence::{Counted, Gauged, StatsdClient},
    slog::{Logger, debug, info},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::UdpSocket,
        sync::{Semaphore, mpsc, watch},
        time::MissedTickBehavior,
    },
};

/// Maximum concurrent calls to peers; further ones fail at once and are repeated later.
const MAX_PULLS: usize = 16;
/// Time between two updates of the gauge metrics.
const GAUGE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum answers of peers that wait for the exchange.
const MAX_QUEUED_ANSWERS: usize = 16;

/// Connects a [`PeerExchange`] with the peer port, the platform and the rest of the process.
pub(super) struct PeerLink {
    pub logger: Logger,
    pub started: Instant,
    pub socket: UdpSocket,
    pub codec: PeerCodec,
    pub exchange: PeerExchange,
    pub metrics: Arc<StatsdClient>,
    pub publisher: watch::Sender<Arc<ClusterView>>,
    pub answers: mpsc::Sender<ExchangeEvent>,
    pub pull_permits: Arc<Semaphore>,
    /// Bytes of datagrams since the last update of the metrics, lost ones included.
    pub sent_bytes: u64,
    pub next_gauges: Duration,
}

/// Inputs of a [`PeerLink`]; all queues are bounded.
pub(super) struct LinkInputs {
    pub updates: mpsc::Receiver<LocalUpdate>,
    pub calls: mpsc::Receiver<PendingCall>,
    pub watch_results: mpsc::Receiver<WatchResult>,
    pub answers: mpsc::Receiver<ExchangeEvent>,
}

impl PeerLink {
    /// Creates the queue for answers of peers, and the semaphore that bounds the calls to peers.
    pub fn answer_queue() -> (
        mpsc::Sender<ExchangeEvent>,
        mpsc::Receiver<ExchangeEvent>,
        Arc<Semaphore>,
    ) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_ANSWERS);
        (sender, receiver, Arc::new(Semaphore::new(MAX_PULLS)))
    }

    /// Runs until all senders of local updates are dropped.
    pub async fn run(mut self, mut inputs: LinkInputs) {
        let mut ticks = tokio::time::interval(EXCHANGE_TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        // The extra byte makes a datagram that is too long recognizable.
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        self.handle_event(ExchangeEvent::Start);
        loop {
            let event = tokio::select! {
                update = inputs.updates.recv() => match update {
                    Some(update) => ExchangeEvent::Local(update),
                    None => break,
                },
                Some((request, sender)) = inputs.calls.recv() => {
                    // Fails if the caller has given up.
                    let _ = sender.send(self.exchange.answer(self.started.elapsed(), &request));
                    continue;
                }
                Some(result) = inputs.watch_results.recv() => result.into_event(),
                Some(answer) = inputs.answers.recv() => answer,
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, from)) => ExchangeEvent::Datagram {
                        from,
                        bytes: buffer[..length].to_vec(),
                    },
                    // The peer's host refused an earlier datagram; the peer is down.
                    Err(_) => continue,
                },
                _ = ticks.tick() => ExchangeEvent::Tick,
            };
            self.handle_event(event);
        }
    }

    fn handle_event(&mut self, event: ExchangeEvent) {
        let mut actions = Vec::new();
        let now = self.started.elapsed();
        self.exchange.step(now, event, &mut actions);
        let mut publish = false;
        for action in actions {
            match action {
                ExchangeAction::Send { targets, bytes } => {
                    for target in targets {
                        // Errors are ignored: later rounds repeat the content of a lost datagram.
                        let _ = self.socket.try_send_to(&bytes, target);
                        self.sent_bytes += bytes.len() as u64;
                    }
                }
                ExchangeAction::Pull { from, request } => self.pull(from, request),
                ExchangeAction::Publish => publish = true,
                ExchangeAction::Adopted(version) => {
                    info!(self.logger, "adopted a newer configuration"; "version" => version);
                    let _ = self.metrics.count("configuration.adopted", 1);
                    let _ = self.metrics.gauge("configuration.version", version);
                }
            }
        }
        if now >= self.next_gauges {
            self.next_gauges = now + GAUGE_INTERVAL;
            self.send_gauges();
        }
        if publish {
            let view = Arc::new(self.exchange.view().clone());
            self.publisher.send_replace(view);
        }
    }

    /// Sends the gauge metrics. Failures to send one are ignored.
    fn send_gauges(&mut self) {
        let view = self.exchange.view();
        let ready = u64::from(self.exchange.heartbeat().ready);
        let _ = self.metrics.gauge("process.ready", ready);
        let version = view.config_version();
        let _ = self.metrics.gauge("configuration.version", version);
        let peers = view.peers.len() as u64;
        let _ = self.metrics.gauge("exchange.peers", peers);
        let groups = view.groups.len() as u64;
        let _ = self.metrics.gauge("exchange.groups", groups);
        let sent = std::mem::take(&mut self.sent_bytes);
        let _ = self.metrics.count("exchange.sent_bytes", sent);
        for reason in DropReason::ALL {
            let dropped = self.exchange.dropped(reason);
            let name = format!("exchange.dropped.{reason}");
            let _ = self.metrics.gauge(&name, dropped);
        }
    }

    fn pull(&self, from: SocketAddr, request: PeerRequest) {
        let answers = self.answers.clone();
        let permit = self.pull_permits.clone().try_acquire_owned();
        let codec = self.codec.clone();
        let logger = self.logger.clone();
        tokio::spawn(async move {
            let outcome = match &permit {
                Ok(_) => call_peer(&codec, from, request.clone()).await.ok(),
                Err(_) => None,
            };
            let event = if let Some(reply) = outcome {
                ExchangeEvent::Pulled { from, reply }
            } else {
                debug!(logger, "failed to pull from a peer"; "peer" => from.to_string());
                ExchangeEvent::PullFailed { from, request }
            };
            // Fails if the link has ended.
            let _ = answers.send(event).await;
        });
    }
}
