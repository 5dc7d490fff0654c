//! Pulls of the configuration and of the list of backend servers from other nodes, and the answers
//! to theirs.

use {
    super::{
        NodeContext, NodeMetrics, PeerExchange, RoutesOrigin,
        attempt_slot::millis,
        node_clock::now,
        piece_pull::{PieceOutcome, PiecePull},
        pull_frames::{self, FrameLimit, read_message, write_message},
    },
    crate::core::{
        transfer::{BatchSize, HolderChoice, PullAnswer, PullPatience, PullRequest},
        view::SealKind,
    },
    slog::{info, warn},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::timeout,
    },
};

/// Longest time until a connection to another node is open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two looks for a node to pull from while there is none.
const CHOICE_INTERVAL: Duration = Duration::from_millis(30);

/// Longest time without a check of whether another node has a newer configuration. News of one end
/// it early.
const NEWS_TIMEOUT: Duration = Duration::from_secs(1);

/// Shortest time between the starts of two pulls of the list of servers, in milliseconds.
const MIN_LIST_INTERVAL_MS: u64 = 250;

/// Most connections on which pulls are answered.
const MAX_CONNECTIONS: usize = 128;

/// Time after a failure to accept a connection, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What a pull fetches, for its log lines.
#[derive(Debug, Clone, Copy)]
enum PullContent {
    Configuration,
    Servers,
}

impl PullContent {
    const fn label(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Servers => "servers",
        }
    }
}

impl PeerExchange {
    /// Pulls each newer configuration that another node has. One pull runs at a time; what it
    /// received is kept when it fails, and the next one asks for the rest.
    pub(super) async fn follow_configuration(self: Arc<Self>) {
        let mut choice = HolderChoice::default();
        let mut batch = BatchSize::default();
        loop {
            let context = &self.context;
            if context.news_age().is_none() {
                // After the timeout, news that came between the check and the wait are found.
                let _ = timeout(NEWS_TIMEOUT, context.version_heard.notified()).await;
                continue;
            }
            let Some(address) = self.choose_holder(&mut choice) else {
                tokio::time::sleep(CHOICE_INTERVAL).await;
                continue;
            };
            let received = AtomicU64::new(0);
            let started = now();
            let ended = self
                .pull_configuration(address, &mut batch, &received)
                .await;
            let received = received.into_inner();
            match ended {
                Ok(PieceOutcome::Complete { version, content }) => {
                    self.report_pulled(address, started, received, version);
                    context.apply_routes(&content, RoutesOrigin::Peer);
                    if context.routes_version() < version {
                        context.give_up_version(version);
                        choice.note_failure(now(), address);
                    }
                }
                Ok(PieceOutcome::NothingNewer) => choice.note_busy(now(), address),
                Ok(PieceOutcome::Busy) => {
                    NodeMetrics::count(&context.metrics.pulls, "peer_busy");
                    choice.note_busy(now(), address);
                }
                Err(error) => {
                    batch.reset();
                    choice.note_failure(now(), address);
                    let kind = PullContent::Configuration;
                    self.report_failure(kind, address, started, received, &error);
                }
            }
        }
    }

    fn choose_holder(&self, choice: &mut HolderChoice) -> Option<SocketAddr> {
        let context = &self.context;
        let at = now();
        let patience = if context.is_store_failing() {
            PullPatience::None
        } else if context.follows_store() {
            PullPatience::StoreFirst
        } else {
            PullPatience::LocalFirst
        };
        let age = context.news_age()?;
        let own = context.unusable_version().max(context.routes_version());
        let domain = &context.settings.failure_domain;
        let holders = context.peers().holders_above(own, domain, at);
        if holders.is_empty() {
            context.forget_version_news();
        }
        choice.choose(at, &holders, age, patience, rand::random())
    }

    async fn pull_configuration(
        &self,
        address: SocketAddr,
        batch: &mut BatchSize,
        received: &AtomicU64,
    ) -> pull_frames::Result<PieceOutcome> {
        let mut stream = connect(address).await?;
        let mut pull = PiecePull {
            codec: &self.codec,
            pieces: &self.context.pieces,
            batch,
            received,
        };
        pull.run(&mut stream, self.context.routes_version()).await
    }

    fn report_pulled(&self, address: SocketAddr, started: Duration, received: u64, version: u64) {
        NodeMetrics::count(&self.context.metrics.pulls, "pulled");
        info!(self.context.logger, "pulled a configuration from a peer";
            "peer" => %address, "version" => version, "bytes" => received,
            "after_ms" => millis(now().saturating_sub(started)));
    }

    fn report_failure(
        &self,
        kind: PullContent,
        address: SocketAddr,
        started: Duration,
        received: u64,
        error: &io::Error,
    ) {
        let timed_out = error.kind() == io::ErrorKind::TimedOut;
        let outcome = if timed_out {
            "pull_timed_out"
        } else {
            "pull_failed"
        };
        NodeMetrics::count(&self.context.metrics.pulls, outcome);
        warn!(self.context.logger, "failed to pull from a peer";
            "content" => kind.label(), "peer" => %address, "error" => %error,
            "bytes" => received, "after_ms" => millis(now().saturating_sub(started)));
    }

    /// Pulls the list of servers from a peer; returns false when a pull runs or has just begun.
    pub(super) fn start_list_pull(self: &Arc<Self>, address: SocketAddr) -> bool {
        let at = u64::try_from(now().as_millis()).unwrap_or(u64::MAX);
        let last = self.list_pulled_at_ms.load(Ordering::Relaxed);
        if at < last + MIN_LIST_INTERVAL_MS || self.pulling_list.swap(true, Ordering::Relaxed) {
            return false;
        }
        self.list_pulled_at_ms.store(at, Ordering::Relaxed);
        let exchange = Arc::clone(self);
        tokio::spawn(async move {
            let received = AtomicU64::new(0);
            let started = now();
            if let Err(error) = exchange.pull_list(address, &received).await {
                let kind = PullContent::Servers;
                exchange.report_failure(kind, address, started, received.into_inner(), &error);
            }
            exchange.pulling_list.store(false, Ordering::Relaxed);
        });
        true
    }

    async fn pull_list(&self, address: SocketAddr, received: &AtomicU64) -> io::Result<()> {
        let mut missed = self.missed.start_pull();
        missed.want_list();
        let mut stream = connect(address).await?;
        let (codec, request) = (&self.codec, PullRequest::Servers);
        write_message(&mut stream, codec, SealKind::Call, &request).await?;
        let limit = FrameLimit::of_content(received);
        let answer = read_message(&mut stream, codec, SealKind::Answer, limit).await?;
        let (version, entries) = match answer {
            PullAnswer::Servers { version, entries } => (version, entries),
            PullAnswer::Busy => {
                // The list counts as missed again when the guard is dropped.
                NodeMetrics::count(&self.context.metrics.pulls, "peer_busy");
                return Ok(());
            }
            _ => {
                let text = "the answer is not a list of servers";
                return Err(io::Error::new(io::ErrorKind::InvalidData, text));
            }
        };
        NodeMetrics::count(&self.context.metrics.pulls, "pulled_servers");
        info!(self.context.logger, "pulled the list of servers from a peer"; "peer" => %address,
            "version" => %version, "servers" => entries.len(),
            "bytes" => received.load(Ordering::Relaxed));
        self.context.replace_fleet_from_peer(version, entries);
        missed.settle();
        Ok(())
    }

    pub(super) async fn serve_pulls(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok((mut stream, peer)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                NodeMetrics::count(&self.context.metrics.pulls, "answer_refused");
                info!(self.context.logger, "turned a pull of a peer away";
                    "peer" => %peer, "open" => MAX_CONNECTIONS);
                continue;
            };
            let exchange = Arc::clone(&self);
            tokio::spawn(async move {
                exchange.serve_connection(&mut stream, peer).await;
                drop(permit);
            });
        }
    }

    async fn serve_connection(&self, stream: &mut TcpStream, peer: SocketAddr) {
        let context = &self.context;
        let list_servers = || list_servers(context);
        let note_busy = |missing: u64| {
            NodeMetrics::count(&context.metrics.pulls, "answer_busy");
            info!(context.logger, "told a peer to pull from another node";
                "peer" => %peer, "missing_bytes" => missing);
        };
        let ended = self
            .server
            .serve(stream, &context.pieces, list_servers, note_busy)
            .await;
        let Err(error) = ended else {
            return;
        };
        // A peer closes the connection when it has what it asked for.
        if error.kind() == io::ErrorKind::UnexpectedEof {
            return;
        }
        NodeMetrics::count(&context.metrics.pulls, "answer_cut");
        info!(context.logger, "cut off the answer to a pull of a peer";
            "peer" => %peer, "error" => %error);
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await?
}

fn list_servers(context: &NodeContext) -> PullAnswer {
    let fleet = context.fleet();
    let known = fleet.known();
    PullAnswer::Servers {
        version: fleet.version(),
        entries: known
            .map(|known| (known.version, context.restated(&known.entry)))
            .collect(),
    }
}
