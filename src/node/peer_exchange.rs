//! Exchange between nodes: beacons and changed rows over UDP. Pulls over TCP are in `peer_pulls`.

use {
    super::{
        NodeContext, NodeError, NodeMetrics, PullServer, Result, caller_listener::open_listener,
        node_clock::now,
    },
    crate::core::{
        drain::DrainMark,
        fairness::ShareReport,
        peers::{
            DeltaPart, FleetDelta, MissedRows, NodeBeacon, NodeDatagram, reaches_unheard,
            round_robin,
        },
        view::{DropReason, MAX_DATAGRAM_BYTES, PeerCodec, SealKind},
    },
    error_stack::ResultExt,
    rand::seq::IndexedRandom,
    slog::info,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::UdpSocket, time::timeout},
};

/// Time between two rounds of beacons.
const BEACON_INTERVAL: Duration = Duration::from_millis(80);

/// Most group loads in a beacon; more would not fit a datagram.
const MAX_LOADS: usize = 55;

/// Most suspect groups in a beacon.
const MAX_SUSPECTS: usize = 4;

/// Most leaving servers in a beacon. More of them are named in turn, so that all are within a
/// second even when a failure domain is emptied.
const MAX_LEAVING_SERVERS: usize = 8;

/// Most bytes of the identifiers of leaving servers in a beacon; those of the platform have 12.
const MAX_LEAVING_BYTES: usize = 256;

/// Bytes of a leaving server in a beacon beside its identifier.
const LEAVING_OVERHEAD_BYTES: usize = 8;

/// Bytes of a cold server in a beacon beside its identifier.
const COLD_OVERHEAD_BYTES: usize = 16;

/// Usual size of a load in a beacon. Leaving and cold servers, and marks of drains, take the room
/// of loads.
const LOAD_BYTES: usize = 14;

/// Addresses of other nodes in a beacon, drawn at random from those heard lately.
const MAX_KNOWN_PEERS: usize = 4;

/// Room that the report about the accounts of a model may take in a beacon. It takes the room of
/// loads.
const SHARE_REPORT_BYTES: usize = 112;

/// Most nodes of the own failure domain that get one beacon. They share its groups, so their
/// figures must be fresh.
const MAX_LOCAL_PER_ROUND: usize = 40;

/// Most nodes of other failure domains that get one beacon; traffic between failure domains is
/// expensive.
const MAX_REMOTE_PER_ROUND: usize = 10;

/// Time between two deltas when nothing changes. The empty ones show that the sender still follows
/// the store.
const DELTA_INTERVAL: Duration = Duration::from_millis(400);

/// Sends and receives the datagrams of a node, pulls from peers and answers their pulls.
#[derive(Debug)]
pub struct PeerExchange {
    pub(super) context: Arc<NodeContext>,
    pub(super) socket: UdpSocket,
    pub(super) codec: PeerCodec,
    pub(super) server: PullServer,
    sequence: AtomicU64,
    /// Tracks whether rows were missed since the last pull of the whole list.
    pub(super) missed: MissedRows,
    /// True while a pull of the list of servers runs.
    pub(super) pulling_list: AtomicBool,
    /// Start of the last one, in milliseconds of the node clock.
    pub(super) list_pulled_at_ms: AtomicU64,
}

impl PeerExchange {
    /// Binds the sockets for peers and starts the tasks that use them.
    ///
    /// # Errors
    /// [`NodeError::Listen`] when the address cannot be bound, as UDP or as TCP.
    pub async fn start(context: &Arc<NodeContext>) -> Result<()> {
        let address = context.settings.peer_listen;
        let socket = UdpSocket::bind(address)
            .await
            .change_context(NodeError::Listen)
            .attach_with(|| address.to_string())?;
        let listener = open_listener(address).await?;
        // The key only keeps deployments apart, by the address of their store; the network keeps
        // strangers out.
        let key = blake3::hash(context.settings.store.to_string().as_bytes());
        let codec = PeerCodec::new(*key.as_bytes());
        let exchange = Arc::new(Self {
            context: Arc::clone(context),
            socket,
            server: PullServer::new(codec.clone(), context.settings.link_mbps()),
            codec,
            sequence: AtomicU64::new(0),
            missed: MissedRows::default(),
            pulling_list: AtomicBool::new(false),
            list_pulled_at_ms: AtomicU64::new(0),
        });
        tokio::spawn(Arc::clone(&exchange).send_beacons());
        tokio::spawn(Arc::clone(&exchange).send_deltas());
        tokio::spawn(Arc::clone(&exchange).send_crash_news());
        tokio::spawn(Arc::clone(&exchange).receive_beacons());
        tokio::spawn(Arc::clone(&exchange).follow_configuration());
        tokio::spawn(exchange.serve_pulls(listener));
        Ok(())
    }

    async fn send_beacons(self: Arc<Self>) {
        loop {
            self.send_beacon().await;
            // A newer configuration is announced at once.
            let applied = self.context.routes_changed.notified();
            let _ = timeout(BEACON_INTERVAL, applied).await;
        }
    }

    async fn send_beacon(&self) {
        let (beacon, remote_report) = self.beacon();
        let sequence = beacon.sequence;
        let remote_beacon = remote_report.map(|report| NodeBeacon {
            shares: Some(report),
            ..beacon.clone()
        });
        let bytes = self.seal(&NodeDatagram::Beacon(Box::new(beacon)));
        let remote_bytes =
            remote_beacon.map(|beacon| self.seal(&NodeDatagram::Beacon(Box::new(beacon))));
        let (local, remote) = {
            let mut book = self.context.peers();
            book.expire(now());
            self.context.set_gateway_count(book.gateways(now()));
            let local = book.heard_in(&self.context.settings.failure_domain, now());
            let mut remote = if reaches_unheard(sequence) {
                book.addresses()
            } else {
                book.heard(now())
            };
            // The local addresses are in order.
            remote.retain(|address| local.binary_search(address).is_err());
            (local, remote)
        };
        let local = round_robin(&local, sequence, MAX_LOCAL_PER_ROUND);
        let remote = round_robin(&remote, sequence, MAX_REMOTE_PER_ROUND);
        let own = self.context.wants_own_beacon(sequence);
        let own = own.then_some(self.context.settings.peer_listen);
        // No retry: the next beacon replaces one that was lost.
        for address in local.chain(own) {
            let _ = self.socket.send_to(&bytes, address).await;
        }
        for address in remote {
            let bytes = remote_bytes.as_ref().unwrap_or(&bytes);
            let _ = self.socket.send_to(bytes, address).await;
        }
    }

    pub(super) fn seal(&self, datagram: &NodeDatagram) -> Vec<u8> {
        self.codec.seal(SealKind::Datagram, datagram)
    }

    /// Sends the rows that the store has changed to the other nodes of the failure domain. Empty
    /// deltas show them that this node still follows the store.
    async fn send_deltas(self: Arc<Self>) {
        loop {
            // After the timeout an empty delta is sent, as a heartbeat.
            let _ = timeout(DELTA_INTERVAL, self.context.delta_due.notified()).await;
            let parts = self.context.take_delta_parts();
            if parts.is_empty() {
                continue;
            }
            let own = &self.context.settings.failure_domain;
            let addresses = self.context.peers().heard_in(own, now());
            for numbered in parts {
                let rows = match numbered.part {
                    DeltaPart::Rows(rows) => rows,
                    DeltaPart::TooLarge { id, bytes } => {
                        // The next delta shows the gap, upon which receivers pull the list.
                        self.report_too_large(&id, bytes);
                        continue;
                    }
                };
                let delta = FleetDelta {
                    boot: self.context.boot,
                    address: self.context.settings.peer_listen,
                    sequence: numbered.sequence,
                    complete_to: numbered.complete_to,
                    rows,
                };
                let bytes = self.seal(&NodeDatagram::Delta(delta));
                for address in &addresses {
                    // No retry: a receiver that misses a delta pulls the whole list.
                    let _ = self.socket.send_to(&bytes, address).await;
                }
            }
        }
    }

    fn report_too_large(&self, id: &str, bytes: usize) {
        NodeMetrics::count(&self.context.metrics.datagrams_dropped, "too_large");
        if self.context.is_log_due("too_large", id) {
            info!(self.context.logger,
                "left a change of a server out of the datagrams to peers, which pull it instead";
                "server" => id, "bytes" => bytes);
        }
    }

    /// The next beacon, and the report about accounts that it has instead of its own for nodes of
    /// other failure domains.
    fn beacon(&self) -> (NodeBeacon, Option<ShareReport>) {
        let context = &self.context;
        let at = now();
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let mut loads = context.scheduler().own_loads();
        let leaving =
            context
                .fleet()
                .leaving_to_announce(sequence, MAX_LEAVING_SERVERS, MAX_LEAVING_BYTES);
        let leaving_bytes = leaving
            .iter()
            .map(|(server, _)| server.len() + LEAVING_OVERHEAD_BYTES);
        let cold = context.cold_to_announce();
        let cold_bytes = cold
            .iter()
            .map(|(server, ..)| server.len() + COLD_OVERHEAD_BYTES);
        let drains = context.drains_to_announce(sequence);
        let drain_bytes = drains.iter().flatten().map(DrainMark::beacon_bytes);
        let reports = context.share_reports(sequence);
        let report_bytes = reports.as_ref().map_or(0, |_| SHARE_REPORT_BYTES);
        let replaced = leaving_bytes
            .chain(cold_bytes)
            .chain(drain_bytes)
            .chain([report_bytes])
            .sum::<usize>()
            .div_ceil(LOAD_BYTES);
        let (shares, remote_report) =
            reports.map_or((None, None), |[own, domain]| (Some(own), Some(domain)));
        loads.truncate(MAX_LOADS.saturating_sub(replaced));
        let heard = context.peers().heard(at);
        let known = heard.sample(&mut rand::rng(), MAX_KNOWN_PEERS);
        let suspects = context.scheduler().suspects(at);
        let domain_nodes = context.cold.limiter().known_nodes();
        let beacon = NodeBeacon {
            boot: context.boot,
            sequence,
            name: context.settings.name.clone(),
            failure_domain: context.settings.failure_domain.clone(),
            address: context.settings.peer_listen,
            routes_version: context.routes_version(),
            fleet_version: context.fleet().newest_row(),
            stopping: !context.is_running(),
            domain_nodes: u16::try_from(domain_nodes).unwrap_or(u16::MAX),
            terms: context.held_terms(),
            serving: context.serving.load(Ordering::Relaxed),
            loads,
            suspects: suspects.into_iter().take(MAX_SUSPECTS).collect(),
            known: known.copied().collect(),
            leaving,
            cold,
            drains,
            shares,
        };
        (beacon, remote_report)
    }

    async fn receive_beacons(self: Arc<Self>) {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((count, _)) = self.socket.recv_from(&mut buffer).await else {
                // The socket reports an error when an earlier datagram found its peer unreachable.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let opened = self.codec.open::<NodeDatagram>(
                SealKind::Datagram,
                &buffer[..count],
                MAX_DATAGRAM_BYTES,
            );
            match opened {
                Ok(NodeDatagram::Beacon(beacon)) => self.apply_beacon(*beacon),
                Ok(NodeDatagram::Delta(delta)) => self.apply_delta(delta),
                Ok(NodeDatagram::Crashes(datagram)) => self
                    .context
                    .merge_crash_news(&datagram.news, &datagram.address.to_string()),
                Err(reason) => self.count_drop(reason),
            }
        }
    }

    fn count_drop(&self, reason: DropReason) {
        let label = match reason {
            DropReason::Length => "length",
            DropReason::Version => "version",
            DropReason::Forged => "forged",
            DropReason::Malformed => "malformed",
            DropReason::Replayed => "replayed",
        };
        NodeMetrics::count(&self.context.metrics.datagrams_dropped, label);
    }

    fn apply_beacon(self: &Arc<Self>, beacon: NodeBeacon) {
        let at = now();
        if beacon.address == self.context.settings.peer_listen {
            if beacon.boot == self.context.boot {
                self.context.note_own_beacon(beacon.sequence);
            }
            return;
        }
        if !self.context.peers().take(at, &beacon) {
            return;
        }
        self.context.take_share_report(at, &beacon);
        self.context.merge_peer_drains(beacon.drains, &beacon.name);
        self.context.observe_era(beacon.fleet_version.era);
        if beacon.serving {
            self.context.serving.store(true, Ordering::Relaxed);
        }
        self.context
            .note_version_news(beacon.routes_version, beacon.address);
        let misses_servers =
            self.context.is_store_failing() && !self.context.fleet().covers(beacon.fleet_version);
        {
            let mut scheduler = self.context.scheduler();
            scheduler.peers.take(at, beacon.boot, beacon.loads);
        }
        for (domain, term) in &beacon.terms {
            self.context.record_peer_term(domain, *term);
        }
        for (group, epoch) in beacon.suspects {
            self.context.report_peer_suspect(&group, epoch);
        }
        for (server, born_ms) in beacon.leaving {
            self.context
                .note_peer_leaving(&server, born_ms, &beacon.name);
        }
        for (server, born_ms, left_ms) in beacon.cold {
            self.context.note_peer_cold(&server, born_ms, left_ms);
        }
        if self.context.lags_behind(at, beacon.fleet_version) {
            if self.start_list_pull(beacon.address) {
                info!(self.context.logger,
                    "the list of servers stays behind that of a peer; pulling it";
                    "peer" => %beacon.address, "version" => %self.context.fleet().version(),
                    "peer_version" => %beacon.fleet_version);
            }
        } else if misses_servers {
            self.start_list_pull(beacon.address);
        }
    }

    fn apply_delta(self: &Arc<Self>, delta: FleetDelta) {
        let address = delta.address;
        if !self.context.apply_delta(delta) {
            self.missed.note();
        }
        if self.missed.is_pending() && !self.context.follows_store() {
            self.start_list_pull(address);
        }
    }
}
