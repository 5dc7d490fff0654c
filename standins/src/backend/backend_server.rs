use {
    super::{
        BackendFault, Gate, GatedStream, ServerSettings, ServerState, weight_loader::WeightLoader,
    },
    crate::web::{Reply, serve_connection},
    hyper::{Request, body::Incoming},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::{Semaphore, watch},
        time::Instant,
    },
    toucanring::wire::{
        InstanceReport, LoadReport, LoadedShard, MemberOrder, OrderBody, OrderRefusal, ShardJoin,
    },
};

/// Pending connections of a listener.
const BACKLOG: u32 = 1024;

/// One backend server with its own port.
#[derive(Debug)]
pub struct BackendServer {
    /// Settings from the start.
    pub settings: ServerSettings,
    /// Address that it serves while it is up.
    pub address: SocketAddr,
    /// Places in the running batch.
    pub batch: Arc<Semaphore>,
    /// Held while a prompt is prefilled; one at a time.
    pub prefill: tokio::sync::Mutex<()>,
    /// Closed while the server is paused.
    pub pause: Arc<Gate>,
    state: Mutex<ServerState>,
    // Incarnation while up, `None` while down.
    up: watch::Sender<Option<u64>>,
    // Gate of the connections accepted since the last silence.
    silence: Mutex<Arc<Gate>>,
    // Bound but not listening: keeps the port while the server is down, so
    // that callers see refused connections and no one else takes the port.
    _reservation: TcpSocket,
}

impl BackendServer {
    /// Takes the port and creates the server, up and in no group.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn bind(settings: ServerSettings) -> io::Result<Self> {
        let reservation = reuse_socket(settings.listen)?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = started.map_or(1, |time| time.as_secs());
        Ok(Self {
            address: reservation.local_addr()?,
            batch: Arc::new(Semaphore::new(settings.engine.max_running as usize)),
            prefill: tokio::sync::Mutex::new(()),
            pause: Arc::default(),
            state: Mutex::new(ServerState {
                incarnation,
                slow_factor: 1.0,
                crash_marker: settings.engine.crash_marker.clone(),
                ..ServerState::default()
            }),
            up: watch::Sender::new(Some(incarnation)),
            silence: Mutex::default(),
            _reservation: reservation,
            settings,
        })
    }

    /// Locks the state; never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Incarnation while the server is up.
    #[must_use]
    pub fn up(&self) -> Option<u64> {
        *self.up.borrow()
    }

    /// Returns when the server is down or has another incarnation.
    pub async fn until_down(&self, incarnation: u64) {
        let mut up = self.up.subscribe();
        let _ = up.wait_for(|up| *up != Some(incarnation)).await;
    }

    /// Listens while the server is up, for ever; each connection ends when the server goes down.
    pub async fn serve<F, R>(self: Arc<Self>, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = io::Result<Reply>> + Send + 'static,
    {
        loop {
            let Some(incarnation) = self.up() else {
                let _ = self.up.subscribe().wait_for(Option::is_some).await;
                continue;
            };
            let Ok(listener) = self.listen() else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            tokio::select! {
                () = self.accept(&listener, incarnation, &handler) => {}
                () = self.until_down(incarnation) => {}
            }
        }
    }

    fn listen(&self) -> io::Result<TcpListener> {
        reuse_socket(self.address)?.listen(BACKLOG)
    }

    async fn accept<F, R>(self: &Arc<Self>, listener: &TcpListener, incarnation: u64, handler: &F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = io::Result<Reply>> + Send + 'static,
    {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let silence = Arc::clone(&self.silence.lock().unwrap_or_else(PoisonError::into_inner));
            let stream = GatedStream::new(stream, [silence, Arc::clone(&self.pause)]);
            let (server, handler) = (Arc::clone(self), handler.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = serve_connection(stream, handler) => {}
                    () = server.until_down(incarnation) => {}
                }
            });
        }
    }

    /// Applies a fault.
    pub fn apply(&self, fault: BackendFault) {
        let mut state = self.lock();
        match fault {
            BackendFault::Die => {
                self.up.send_replace(None);
            }
            BackendFault::Return => {
                state.restart();
                self.up.send_replace(Some(state.incarnation));
            }
            BackendFault::ReturnUnchanged => {
                self.up.send_replace(Some(state.incarnation));
            }
            BackendFault::Pause => self.pause.close(),
            BackendFault::Resume => self.pause.open(),
            BackendFault::Straggle(factor) => state.slow_factor = factor.max(0.01),
            BackendFault::Silence => {
                let mut silence = self.silence.lock().unwrap_or_else(PoisonError::into_inner);
                silence.close();
                *silence = Arc::default();
            }
            BackendFault::DelayAnswers(delay_ms) => state.delay_answers_ms = delay_ms,
            BackendFault::DelayOrders(delay_ms) => state.delay_orders_ms = delay_ms,
            BackendFault::LateChunks(count) => state.late_chunks = count,
            BackendFault::OutOfOrder(count) => state.out_of_order = count,
            BackendFault::LoseAnswers(count) => state.lose_answers = count,
            BackendFault::CrashMarker(marker) => state.crash_marker = marker,
            BackendFault::Leaving(leaving) => {
                state.leaving_since = leaving.then(Instant::now);
            }
        }
    }

    /// Takes the engine down at once and restarts it after its restart time.
    pub fn crash(self: &Arc<Self>) {
        self.lock().crashes += 1;
        self.apply(BackendFault::Die);
        let server = Arc::clone(self);
        tokio::spawn(async move {
            let restart = Duration::from_millis(server.settings.engine.restart_ms);
            tokio::time::sleep(restart).await;
            server.apply(BackendFault::Return);
        });
    }

    /// Carries out an order that started `waited` after its arrival.
    ///
    /// # Errors
    /// Returns the reason for which the order was refused; nothing has changed then.
    pub fn obey(
        self: &Arc<Self>,
        order: MemberOrder,
        waited: Duration,
        loader: &Arc<WeightLoader>,
    ) -> Result<InstanceReport, OrderRefusal> {
        if waited > Duration::from_millis(order.time_left_ms) {
            return Err(OrderRefusal::DeadlinePassed);
        }
        let mut state = self.lock();
        if self.settings.checks_fencing {
            if order.fencing < state.fencing {
                return Err(OrderRefusal::StaleFencing);
            }
            state.fencing = order.fencing;
        }
        match order.order {
            OrderBody::Fence => {}
            OrderBody::Leave(group) => leave(&mut state, &group),
            OrderBody::Join(join) => {
                if let Some(generation) = begin_join(&mut state, join) {
                    let (server, loader) = (Arc::clone(self), Arc::clone(loader));
                    tokio::spawn(async move { loader.load(&server, generation).await });
                }
            }
        }
        drop(state);
        Ok(self.report())
    }

    /// Builds the report; its load may be as old as the report lag.
    #[must_use]
    pub fn report(&self) -> InstanceReport {
        let engine = &self.settings.engine;
        let now = Instant::now();
        let lag = Duration::from_millis(engine.report_lag_ms);
        let mut state = self.lock();
        let fresh = matches!(&state.published, Some((at, _)) if now.duration_since(*at) < lag);
        if !fresh {
            let load = LoadReport {
                running: state.running,
                waiting: state.waiting,
                max_running: engine.max_running,
                queued_tokens: state.queued_tokens,
                prefill_tokens_per_s: engine.prefill_tokens_per_s / state.slow_factor,
                step_ms: engine.step_ms * state.slow_factor,
            };
            state.published = Some((now, load));
        }
        let load = state.published.as_ref().map(|(_, load)| load.clone());
        InstanceReport {
            instance: self.settings.instance.clone(),
            incarnation: state.incarnation,
            state: state.instance_state(),
            membership: state.membership.clone(),
            shard: state.shard.clone().filter(|_| state.bytes_left == 0),
            bytes_left: state.bytes_left,
            leaving: state.leaving_since.is_some(),
            fencing: state.fencing,
            crashes: state.crashes,
            load: load.unwrap_or_default(),
        }
    }
}

fn reuse_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn leave(state: &mut ServerState, group: &toucanring::wire::GroupId) {
    let inside = state.membership.as_ref().is_some_and(|m| m.group == *group);
    if !inside {
        return;
    }
    state.membership = None;
    state.members.clear();
    if state.bytes_left > 0 {
        state.shard = None;
        state.bytes_left = 0;
        state.load_generation += 1;
    }
}

/// Takes the place in the group; returns the load generation when a load has to start.
fn begin_join(state: &mut ServerState, join: ShardJoin) -> Option<u64> {
    let shard = LoadedShard {
        model: join.model,
        rank: join.membership.rank,
        span: join.span,
    };
    state.membership = Some(join.membership);
    state.members = join.members;
    // A complete shard is kept, and a running load of the same shard goes on.
    if state.shard.as_ref() == Some(&shard) {
        return None;
    }
    state.shard = Some(shard);
    state.bytes_left = join.shard_bytes;
    state.load_generation += 1;
    Some(state.load_generation)
}
