use {
    super::{PlatformClient, config_watcher::fetch_newer},
    crate::{
        core::view::{
            ClusterView, Configuration, LocalUpdate, MAX_DATAGRAM_BYTES, PeerCodec, PeerDatagram,
        },
        wire::{PeerHeartbeat, PeerMessage, UsageEntry},
    },
    slog::{Logger, info, warn},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::UdpSocket,
        sync::{mpsc, watch},
    },
};

/// Time between two rounds of the exchange.
const ROUND_PERIOD: Duration = Duration::from_millis(500);
/// Time between two reads of the configuration row.
const CONFIG_PERIOD: Duration = Duration::from_secs(1);

/// Keeps the view of a process up to date and exchanges it with the peers.
pub(super) struct PeerLink {
    pub logger: Logger,
    pub started: Instant,
    pub socket: UdpSocket,
    pub codec: PeerCodec,
    pub platform: PlatformClient,
    pub heartbeat: PeerHeartbeat,
    pub peers: Vec<SocketAddr>,
    pub sequence: u64,
    pub usage: Vec<UsageEntry>,
    pub view: ClusterView,
    pub publisher: watch::Sender<Arc<ClusterView>>,
}

impl PeerLink {
    /// Runs until every sender of local updates is gone.
    pub async fn run(mut self, mut updates: mpsc::Receiver<LocalUpdate>) {
        let (sender, mut configurations) = mpsc::channel::<Arc<Configuration>>(1);
        let watcher = tokio::spawn(watch_configuration(
            self.platform.clone(),
            self.logger.clone(),
            sender,
        ));
        let mut round = tokio::time::interval(ROUND_PERIOD);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                update = updates.recv() => {
                    let Some(update) = update else { break };
                    self.apply(update);
                    self.exchange();
                }
                Some(configuration) = configurations.recv() => {
                    let version = configuration.version;
                    if self.view.merge_configuration(configuration) {
                        info!(self.logger, "configuration adopted"; "version" => version);
                        self.heartbeat.config_version = version;
                        self.exchange();
                    }
                }
                _ = round.tick() => self.exchange(),
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((length, _)) = received {
                        self.receive(&buffer[..length]);
                    }
                }
            }
            self.publisher.send_replace(Arc::new(self.view.clone()));
        }
        watcher.abort();
    }

    fn apply(&mut self, update: LocalUpdate) {
        let now = self.started.elapsed();
        match update {
            LocalUpdate::Groups(entries) => {
                for entry in entries {
                    self.view.merge_group(entry);
                }
            }
            LocalUpdate::Controller(beat) => {
                self.view.merge_controller(beat, now);
            }
            LocalUpdate::Usage(entries) => self.usage = entries,
            LocalUpdate::Suspects(entries) => {
                for entry in entries {
                    self.view.merge_suspect(entry);
                }
            }
            LocalUpdate::Ready(ready) => self.heartbeat.ready = ready,
        }
    }

    fn receive(&mut self, bytes: &[u8]) {
        let now = self.started.elapsed();
        let Ok(datagram) = self.codec.open(bytes, MAX_DATAGRAM_BYTES) else {
            return;
        };
        for message in datagram.messages {
            match message {
                PeerMessage::Heartbeat(beat) if beat.process == self.heartbeat.process => {}
                PeerMessage::Heartbeat(beat) => {
                    self.view.merge_heartbeat(beat, now);
                }
                PeerMessage::Controller(beat) => {
                    self.view.merge_controller(beat, now);
                }
                PeerMessage::Groups(entries) => {
                    for entry in entries {
                        self.view.merge_group(entry);
                    }
                }
                PeerMessage::Usage { process, entries } => {
                    for entry in entries {
                        self.view.merge_usage(&process, entry, now);
                    }
                }
                PeerMessage::Suspects(entries) => {
                    for entry in entries {
                        self.view.merge_suspect(entry);
                    }
                }
                PeerMessage::ConfigOffer(_) | PeerMessage::PullGroups(_) => {}
            }
        }
    }

    /// Sends everything to every peer, one message a datagram.
    fn exchange(&mut self) {
        self.heartbeat.sequence += 1;
        let mut messages = vec![PeerMessage::Heartbeat(self.heartbeat.clone())];
        for sighting in self.view.controllers.values() {
            messages.push(PeerMessage::Controller(sighting.beat.clone()));
        }
        for entry in self.view.groups.values() {
            messages.push(PeerMessage::Groups(vec![entry.clone()]));
        }
        for entry in &self.usage {
            messages.push(PeerMessage::Usage {
                process: self.heartbeat.process.clone(),
                entries: vec![entry.clone()],
            });
        }
        for entry in self.view.suspects.values() {
            messages.push(PeerMessage::Suspects(vec![entry.clone()]));
        }
        let mut targets: BTreeSet<SocketAddr> = self.peers.iter().copied().collect();
        for sighting in self.view.peers.values() {
            targets.insert(sighting.heartbeat.address);
        }
        targets.remove(&self.heartbeat.address);
        for message in messages {
            self.sequence += 1;
            let bytes = self.codec.seal(&PeerDatagram {
                boot: self.heartbeat.boot,
                sequence: self.sequence,
                messages: vec![message],
            });
            if bytes.len() > MAX_DATAGRAM_BYTES {
                warn!(self.logger, "entry exceeds a datagram"; "bytes" => bytes.len());
                continue;
            }
            for target in &targets {
                // A lost datagram is repeated in the next round.
                let _ = self.socket.try_send_to(&bytes, *target);
            }
        }
    }
}

async fn watch_configuration(
    platform: PlatformClient,
    logger: Logger,
    sender: mpsc::Sender<Arc<Configuration>>,
) {
    let mut period = tokio::time::interval(CONFIG_PERIOD);
    let mut known = 0;
    loop {
        period.tick().await;
        match fetch_newer(&platform, known).await {
            Ok(Some(configuration)) => {
                known = configuration.version;
                if sender.send(configuration).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(error) => warn!(logger, "configuration not read"; "error" => format!("{error:?}")),
        }
    }
}
