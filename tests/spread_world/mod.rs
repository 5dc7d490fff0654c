//! Nodes that pull a configuration from each other over links of limited bandwidth, in virtual time.

mod sim_link;

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    sim_link::{SimLink, join},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{io::DuplexStream, time::Instant},
    toucanring::{
        core::{
            store::StoreVersion,
            transfer::{BatchSize, Holder, HolderChoice, PieceStore, PullAnswer, PullPatience},
            view::PeerCodec,
        },
        node::{PieceOutcome, PiecePull, PullServer},
    },
};

/// Time between two beacons to a node of the same failure domain.
const LOCAL_BEACON_MS: u64 = 80;

/// Time between two beacons to a node of another failure domain.
const REMOTE_BEACON_MS: u64 = 480;

/// One beacon in this many is lost.
const BEACON_LOSS: u32 = 10;

/// Time between two looks for a node to pull from.
const CHOICE_INTERVAL: Duration = Duration::from_millis(30);

/// Size of the buffers of a connection in bytes.
const BUFFER_BYTES: usize = 64 * 1_024;

/// Failure domains, nodes and links of a world.
#[derive(Debug, Clone, Copy)]
pub struct WorldSize {
    pub domains: usize,
    pub nodes_per_domain: usize,
    /// The first nodes of a failure domain read the store, all at the same moment.
    pub readers: usize,
    /// Failure domains, the first ones, whose readers the store does not answer.
    pub cut_domains: usize,
    pub reader_link_mbps: u32,
    pub link_mbps: u32,
    /// Time that a node needs until it uses a configuration that it has received.
    pub apply_time: Duration,
}

struct SimNode {
    domain: usize,
    is_reader: bool,
    link: SimLink,
    server: PullServer,
    pieces: Mutex<PieceStore>,
    received: AtomicU64,
    /// Version in use, and since when.
    in_use: Mutex<(u64, Duration)>,
}

/// Nodes and the versions that they use.
pub struct SpreadWorld {
    size: WorldSize,
    started: Instant,
    codec: PeerCodec,
    nodes: Vec<SimNode>,
    random: Mutex<ChaCha8Rng>,
}

impl SpreadWorld {
    /// Starts nodes that use version 1 of a configuration.
    pub fn start(size: WorldSize, first: &[u8], seed: u64) -> Arc<Self> {
        let codec = PeerCodec::new([5; 32]);
        let mut nodes = Vec::new();
        for index in 0..size.domains * size.nodes_per_domain {
            let is_reader = index % size.nodes_per_domain < size.readers;
            let mut pieces = PieceStore::default();
            pieces.publish(1, first);
            let link_mbps = if is_reader {
                size.reader_link_mbps
            } else {
                size.link_mbps
            };
            nodes.push(SimNode {
                domain: index / size.nodes_per_domain,
                is_reader,
                link: SimLink::new(link_mbps),
                server: PullServer::new(codec.clone(), f64::from(link_mbps)),
                pieces: Mutex::new(pieces),
                received: AtomicU64::new(0),
                in_use: Mutex::new((1, Duration::ZERO)),
            });
        }
        let world = Arc::new(Self {
            size,
            started: Instant::now(),
            codec,
            nodes,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        });
        for index in 0..world.nodes.len() {
            tokio::spawn(Arc::clone(&world).follow(index));
        }
        world
    }

    /// Gives a version to the readers that the store answers. Returns the time until all nodes use
    /// it, and the most bytes that a node received for it.
    pub async fn spread(self: &Arc<Self>, version: u64, content: &[u8]) -> (Duration, u64) {
        for node in &self.nodes {
            node.received.store(0, Ordering::Relaxed);
            if node.is_reader && node.domain >= self.size.cut_domains {
                node.pieces.lock().unwrap().publish(version, content);
                *node.in_use.lock().unwrap() = (version, self.now());
            }
        }
        let from = self.now();
        let lags = |node: &SimNode| node.in_use.lock().unwrap().0 < version;
        while self.nodes.iter().any(lags) {
            assert!(self.now() < from + Duration::from_mins(1), "never spread");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let received = self.nodes.iter().map(|node| &node.received);
        let most = received.map(|bytes| bytes.load(Ordering::Relaxed)).max();
        (self.now().saturating_sub(from), most.unwrap_or_default())
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The loop of a node, as in the program.
    async fn follow(self: Arc<Self>, own: usize) {
        let mut choice = HolderChoice::default();
        let mut batch = BatchSize::default();
        let mut news: Vec<Option<(u64, Duration)>> = vec![None; self.nodes.len()];
        let mut first_news = None;
        let node = &self.nodes[own];
        loop {
            let (version, _) = *node.in_use.lock().unwrap();
            let holders = self.holders(own, version, &mut news);
            if holders.is_empty() {
                first_news = None;
                tokio::time::sleep(CHOICE_INTERVAL).await;
                continue;
            }
            let now = self.now();
            let age = now.saturating_sub(*first_news.get_or_insert(now));
            let patience = match node.is_reader {
                true if node.domain < self.size.cut_domains => PullPatience::None,
                true => PullPatience::StoreFirst,
                false => PullPatience::LocalFirst,
            };
            let draw = self.random.lock().unwrap().random();
            let Some(address) = choice.choose(now, &holders, age, patience, draw) else {
                tokio::time::sleep(CHOICE_INTERVAL).await;
                continue;
            };
            let mut stream = self.connect(own, index_of(address));
            let mut pull = PiecePull {
                codec: &self.codec,
                pieces: &node.pieces,
                batch: &mut batch,
                received: &node.received,
            };
            match pull.run(&mut stream, version).await {
                Ok(PieceOutcome::Complete { version, .. }) => {
                    tokio::time::sleep(self.size.apply_time).await;
                    node.pieces.lock().unwrap().publish_fetched();
                    *node.in_use.lock().unwrap() = (version, self.now());
                }
                Ok(_) => choice.note_busy(self.now(), address),
                Err(_) => {
                    batch.reset();
                    choice.note_failure(self.now(), address);
                }
            }
        }
    }

    /// The nodes of which this one has heard by now that they use a newer version. `news` holds
    /// when the first beacon of a version arrives.
    fn holders(&self, own: usize, above: u64, news: &mut [Option<(u64, Duration)>]) -> Vec<Holder> {
        let mut holders = Vec::new();
        for (index, other) in self.nodes.iter().enumerate() {
            let (version, since) = *other.in_use.lock().unwrap();
            if index == own || version <= above {
                continue;
            }
            let is_local = other.domain == self.nodes[own].domain;
            let known = news[index].filter(|(known, _)| *known == version);
            let (_, heard_at) = *news[index]
                .insert(known.unwrap_or_else(|| (version, since + self.beacon_delay(is_local))));
            if heard_at > self.now() {
                continue;
            }
            holders.push(Holder {
                address: address_of(index),
                version,
                is_local,
                heard_at: self.now(),
            });
        }
        holders
    }

    fn beacon_delay(&self, is_local: bool) -> Duration {
        let mut random = self.random.lock().unwrap();
        // The first beacon to local nodes is sent at once.
        let (mut delay, interval) = if is_local {
            (0, LOCAL_BEACON_MS)
        } else {
            (random.random_range(0..REMOTE_BEACON_MS), REMOTE_BEACON_MS)
        };
        while random.random_ratio(1, BEACON_LOSS) {
            delay += interval;
        }
        Duration::from_millis(delay)
    }

    fn connect(self: &Arc<Self>, from: usize, to: usize) -> DuplexStream {
        let (client, client_side) = tokio::io::duplex(BUFFER_BYTES);
        let (mut server, server_side) = tokio::io::duplex(BUFFER_BYTES);
        let world = Arc::clone(self);
        tokio::spawn(async move {
            let links = (&world.nodes[from].link, &world.nodes[to].link);
            join(client_side, server_side, links).await;
        });
        let world = Arc::clone(self);
        tokio::spawn(async move {
            let node = &world.nodes[to];
            let list_servers = || PullAnswer::Servers {
                version: StoreVersion::default(),
                entries: Vec::new(),
            };
            // A connection ends with an error when the other node closes it.
            let _ = node
                .server
                .serve(&mut server, &node.pieces, list_servers, |_| {})
                .await;
        });
        client
    }
}

fn address_of(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).expect("few nodes");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}
