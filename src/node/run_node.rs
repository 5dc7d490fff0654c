use {
    super::{
        CallerListener, ControlActor, ControlStart, NodeContext, NodeError, PeerExchange, Result,
        StopPhase, WireCodec, keep_actor, log_panics, node_clock::now, open_status, start_node_log,
        start_sync,
    },
    crate::conf::{NodeSettings, read_node_settings},
    error_stack::ResultExt,
    ractor::Actor,
    slog::{info, warn},
    std::{path::Path, sync::Arc, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        task::JoinHandle,
    },
};

/// Time between two ticks of the scheduler, which check for stalled groups and for requests that
/// wait.
const SCHEDULER_TICK_INTERVAL: Duration = Duration::from_millis(30);

/// Time after SIGTERM for which connections are still accepted: the balancer needs two checks, one
/// a second, to notice.
const LEAVING_PERIOD: Duration = Duration::from_millis(2_300);

/// Time until a control actor that has ended is started again. Another contender needs about twice as
/// long to take its leases over.
const CONTROL_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Time between two checks for open requests during a stop.
const STOP_POLL: Duration = Duration::from_millis(25);

/// Runs a node until SIGTERM or SIGINT; returns after the graceful stop. `path` is the settings
/// file, which is read again on SIGHUP.
///
/// # Errors
/// [`NodeError`] when an address cannot be bound, an actor cannot be started or a signal handler
/// cannot be installed.
pub async fn run_node(settings: NodeSettings, path: &Path, codec: WireCodec) -> Result<()> {
    let (logger, sink) = start_node_log(&settings.name);
    log_panics(&settings.name, &sink);
    tokio::spawn(sink.clone().run());
    let boot: u64 = rand::random();
    let context = NodeContext::new(settings, codec, logger, sink.clone(), boot);
    let settings = &context.settings;
    info!(context.logger, "starting the node"; "boot" => format!("{boot:x}"),
        "failure_domain" => &settings.failure_domain, "listen" => %settings.listen,
        "store" => %settings.store, "memory_mb" => settings.memory_mb,
        "cpu_share" => settings.cpu_share);
    open_status(&context).await?;
    start_sync(&context);
    PeerExchange::start(&context).await?;
    let control = start_control(Arc::clone(&context), 0).await?;
    tokio::spawn(keep_control(Arc::clone(&context), control));
    tokio::spawn(tick_scheduler(Arc::clone(&context)));
    let listener = CallerListener::open(&context).await?;
    tokio::spawn(listener.run());
    wait_for_stop(&context, path).await?;
    stop(&context).await;
    sink.flush_now();
    Ok(())
}

async fn start_control(context: Arc<NodeContext>, number: u32) -> Result<JoinHandle<()>> {
    let start = ControlStart { context, number };
    let (_, handle) = Actor::spawn(None, ControlActor, start)
        .await
        .change_context(NodeError::Actor)?;
    Ok(handle)
}

async fn keep_control(context: Arc<NodeContext>, first: JoinHandle<()>) {
    let logger = context.logger.clone();
    let start = |number| start_control(Arc::clone(&context), number);
    keep_actor(logger, "control", CONTROL_RESTART_DELAY, first, start).await;
}

/// Scheduler ticks between two removals of expired server entries and idle connections.
const EXPIRY_TICKS: u32 = 16;

/// Scheduler ticks between two updates of the nodes that share the permits for cold servers.
const COLD_UPDATE_TICKS: u32 = 3;

/// Shortest wait for a permit, since a timer may end a little early.
const MIN_PERMIT_WAIT: Duration = Duration::from_millis(1);

async fn tick_scheduler(context: Arc<NodeContext>) {
    let mut ticks: u32 = 0;
    let mut next_tick = now() + SCHEDULER_TICK_INTERVAL;
    loop {
        let permit = context.scheduler().next_permit(now());
        let wake = permit.map_or(next_tick, |permit| permit.min(next_tick));
        let wait = wake.saturating_sub(now()).max(MIN_PERMIT_WAIT);
        tokio::time::sleep(wait).await;
        if now() < next_tick {
            context.place_waiting();
            continue;
        }
        next_tick = now() + SCHEDULER_TICK_INTERVAL;
        context.check_suspension();
        context.tick_scheduler();
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(COLD_UPDATE_TICKS) {
            context.update_cold_nodes();
        }
        if ticks.is_multiple_of(EXPIRY_TICKS) {
            context.expire_fleet();
            context.pool.expire();
            context.check_connections();
        }
    }
}

/// Waits for SIGTERM or SIGINT; on SIGHUP it checks the settings file and goes on waiting.
async fn wait_for_stop(context: &NodeContext, path: &Path) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).change_context(NodeError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(NodeError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).change_context(NodeError::Signal)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(context, path),
        }
    }
}

/// Reads the settings file again and logs whether it is valid and has changed; a change takes
/// effect with the next start.
fn reload(context: &NodeContext, path: &Path) {
    match read_node_settings(path) {
        Ok(settings) if settings == context.settings => {
            info!(context.logger, "checked the settings file after SIGHUP";
                "outcome" => "settings unchanged");
        }
        Ok(_) => {
            let outcome = "settings differ; in force after the next start";
            info!(context.logger, "checked the settings file after SIGHUP"; "outcome" => outcome);
        }
        Err(faults) => {
            warn!(context.logger, "checked the settings file after SIGHUP";
                "outcome" => "settings are wrong",
                "faults" => %faults);
        }
    }
}

/// Stops without cutting off a request: the failing readiness check sends callers elsewhere first,
/// then idle connections are closed, then the end of the running requests is awaited.
async fn stop(context: &NodeContext) {
    let deadline = context.begin_stop();
    info!(context.logger, "stopping the node: reporting not ready before closing connections";
        "open" => context.open_requests());
    let limit = deadline.process_until;
    tokio::time::sleep(LEAVING_PERIOD.min(limit.saturating_sub(now()))).await;
    context.stop.send_replace(StopPhase::Closing);
    while context.open_requests() > 0 && now() < limit {
        tokio::time::sleep(STOP_POLL).await;
    }
    info!(context.logger, "stopped serving requests; ending the process";
        "open" => context.open_requests());
}
