use {
    super::{
        BackendFault, GatedStream, ServerSettings, ServerState, TaskGate,
        weight_loader::WeightLoader,
    },
    crate::web::{HttpReply, serve_connection},
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

/// Connections that may wait to be accepted by one server.
const MAX_PENDING_CONNECTIONS: u32 = 1024;

/// A backend server on its own port.
#[derive(Debug)]
pub struct BackendServer {
    /// Settings that the server was created with; faults change only the state.
    pub settings: ServerSettings,
    /// Address that the server listens on while it is up; the port is never 0.
    pub address: SocketAddr,
    /// Free slots of the engine's batch.
    pub batch_slots: Arc<Semaphore>,
    /// Held while a prompt is prefilled, since the engine prefills one prompt at a time.
    pub prefill_lock: tokio::sync::Mutex<()>,
    /// Closed while the server is paused.
    pub pause_gate: Arc<TaskGate>,
    state: Mutex<ServerState>,
    // Incarnation while the server is up, `None` while it is down.
    live_incarnation: watch::Sender<Option<u64>>,
    // Gate of the connections accepted since the last `silence` fault, which closes the gate for
    // good and puts a new one here for later connections.
    connection_gate: Mutex<Arc<TaskGate>>,
    // Bound but not listening: keeps the port while the server is down, so that connections are
    // refused and no other process takes the port.
    _reservation: TcpSocket,
}

impl BackendServer {
    /// Reserves the port and creates the server, up and in no group.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn bind(settings: ServerSettings) -> io::Result<Self> {
        let reservation = bind_reusable(settings.listen)?;
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let incarnation = started.map_or(1, |time| time.as_secs());
        Ok(Self {
            address: reservation.local_addr()?,
            batch_slots: Arc::new(Semaphore::new(settings.engine.max_running as usize)),
            prefill_lock: tokio::sync::Mutex::new(()),
            pause_gate: Arc::default(),
            state: Mutex::new(ServerState {
                incarnation,
                slow_factor: 1.0,
                crash_marker: settings.engine.crash_marker.clone(),
                ..ServerState::default()
            }),
            live_incarnation: watch::Sender::new(Some(incarnation)),
            connection_gate: Mutex::default(),
            _reservation: reservation,
            settings,
        })
    }

    /// Locks the state; the guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Incarnation of the server; `None` while it is down.
    #[must_use]
    pub fn live_incarnation(&self) -> Option<u64> {
        *self.live_incarnation.borrow()
    }

    /// Waits until the server is down or has another incarnation.
    pub async fn wait_until_down(&self, incarnation: u64) {
        let mut receiver = self.live_incarnation.subscribe();
        let _ = receiver.wait_for(|live| *live != Some(incarnation)).await;
    }

    /// Listens whenever the server is up, and ends all connections when it goes down; never
    /// returns.
    pub async fn serve<F, R>(self: Arc<Self>, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = io::Result<HttpReply>> + Send + 'static,
    {
        loop {
            let Some(incarnation) = self.live_incarnation() else {
                let _ = self
                    .live_incarnation
                    .subscribe()
                    .wait_for(Option::is_some)
                    .await;
                continue;
            };
            let Ok(listener) = self.listen() else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            tokio::select! {
                () = self.accept(&listener, incarnation, &handler) => {}
                () = self.wait_until_down(incarnation) => {}
            }
        }
    }

    fn listen(&self) -> io::Result<TcpListener> {
        bind_reusable(self.address)?.listen(MAX_PENDING_CONNECTIONS)
    }

    async fn accept<F, R>(self: &Arc<Self>, listener: &TcpListener, incarnation: u64, handler: &F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
        R: Future<Output = io::Result<HttpReply>> + Send + 'static,
    {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let connection_gate = Arc::clone(
                &self
                    .connection_gate
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner),
            );
            let stream = GatedStream::new(stream, [connection_gate, Arc::clone(&self.pause_gate)]);
            let (server, handler) = (Arc::clone(self), handler.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = serve_connection(stream, handler) => {}
                    () = server.wait_until_down(incarnation) => {}
                }
            });
        }
    }

    /// Injects a fault or ends one.
    pub fn apply(&self, fault: BackendFault) {
        let mut state = self.lock();
        match fault {
            BackendFault::Die => {
                self.live_incarnation.send_replace(None);
            }
            BackendFault::Return => {
                state.restart();
                self.live_incarnation.send_replace(Some(state.incarnation));
            }
            BackendFault::ReturnUnchanged => {
                self.live_incarnation.send_replace(Some(state.incarnation));
            }
            BackendFault::Pause => self.pause_gate.close(),
            BackendFault::Resume => self.pause_gate.open(),
            BackendFault::Straggle(factor) => state.slow_factor = factor.max(0.01),
            BackendFault::Silence => {
                let mut gate = self
                    .connection_gate
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                gate.close();
                *gate = Arc::default();
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

    /// Takes the server down at once and restarts it after `restart_ms`.
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

    /// Executes an order; `waited` is the time since its arrival.
    ///
    /// # Errors
    /// Returns the reason of the refusal; nothing has changed then.
    pub fn execute_order(
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
            OrderBody::Leave(group) => leave_group(&mut state, &group),
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

    /// Builds the report of the instance; its load figures may be as old as `report_lag_ms`.
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

fn bind_reusable(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn leave_group(state: &mut ServerState, group: &toucanring::wire::GroupId) {
    let is_member = state
        .membership
        .as_ref()
        .is_some_and(|membership| membership.group == *group);
    if !is_member {
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

/// Makes the server a member; returns the load generation when a load has to start.
fn begin_join(state: &mut ServerState, join: ShardJoin) -> Option<u64> {
    let shard = LoadedShard {
        model: join.model,
        rank: join.membership.rank,
        span: join.span,
    };
    state.membership = Some(join.membership);
    state.members = join.members;
    // A complete shard is kept, and a load of the same shard continues.
    if state.shard.as_ref() == Some(&shard) {
        return None;
    }
    state.shard = Some(shard);
    state.bytes_left = join.shard_bytes;
    state.load_generation += 1;
    Some(state.load_generation)
}
