use {
    super::{
        CallerListener, ControlActor, NodeContext, NodeError, PeerExchange, Result, StopPhase,
        WireCodec, node_clock::now, open_status, start_node_log, start_sync,
    },
    crate::conf::{NodeSettings, read_node_settings},
    error_stack::ResultExt,
    ractor::Actor,
    slog::{info, warn},
    std::{path::Path, sync::Arc, time::Duration},
    tokio::signal::unix::{SignalKind, signal},
};

/// Time between two looks of the board at stalls and requests that wait.
const SCHEDULER_TICK_INTERVAL: Duration = Duration::from_millis(30);

/// Time after SIGTERM for which connections are still accepted: the balancer
/// needs two checks, one a second, to notice.
const LEAVING_PERIOD: Duration = Duration::from_millis(2_300);

/// Part of the grace time kept for the end of the process.
const STOP_RESERVE: Duration = Duration::from_millis(400);

/// Time between two looks at what is still open during a stop.
const STOP_POLL: Duration = Duration::from_millis(25);

/// Runs a node until it is told to stop.
///
/// # Errors
/// [`NodeError`] when it cannot start.
pub async fn run_node(settings: NodeSettings, path: &Path, codec: WireCodec) -> Result<()> {
    let (logger, sink) = start_node_log(&settings.name);
    tokio::spawn(sink.clone().run());
    let boot: u64 = rand::random();
    let context = NodeContext::new(settings, codec, logger, sink.clone(), boot);
    let settings = &context.settings;
    info!(context.logger, "node starts"; "boot" => format!("{boot:x}"),
        "failure_domain" => &settings.failure_domain, "listen" => %settings.listen,
        "store" => %settings.store, "memory_mb" => settings.memory_mb,
        "cpu_share" => settings.cpu_share);
    open_status(&context).await?;
    start_sync(&context);
    PeerExchange::start(&context).await?;
    Actor::spawn(None, ControlActor, Arc::clone(&context))
        .await
        .change_context(NodeError::Actor)?;
    tokio::spawn(tick_scheduler(Arc::clone(&context)));
    let front = CallerListener::open(&context).await?;
    tokio::spawn(front.run());
    wait_for_stop(&context, path).await?;
    stop(&context).await;
    sink.flush_now();
    Ok(())
}

/// Ticks between two looks at entries and connections that have become too old.
const EXPIRY_TICKS: u32 = 16;

async fn tick_scheduler(context: Arc<NodeContext>) {
    let mut ticks: u32 = 0;
    loop {
        tokio::time::sleep(SCHEDULER_TICK_INTERVAL).await;
        context.tick_scheduler();
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(EXPIRY_TICKS) {
            context.expire_fleet();
            context.pool.expire();
        }
    }
}

/// Waits for SIGTERM; SIGHUP and changed settings are looked at meanwhile.
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

/// Reads the settings again; what differs takes effect with the next start.
fn reload(context: &NodeContext, path: &Path) {
    match read_node_settings(path) {
        Ok(settings) if settings == context.settings => {
            info!(context.logger, "reload"; "outcome" => "settings unchanged");
        }
        Ok(_) => {
            let outcome = "settings differ; in force after the next start";
            info!(context.logger, "reload"; "outcome" => outcome);
        }
        Err(faults) => {
            warn!(context.logger, "reload"; "outcome" => "settings are wrong",
                "faults" => %faults);
        }
    }
}

/// Ends without cutting a request off: callers are sent elsewhere first, then
/// idle connections are closed, then running requests are waited for.
async fn stop(context: &NodeContext) {
    let started = now();
    let limit = context.settings.stop_grace().saturating_sub(STOP_RESERVE);
    context.stop.send_replace(StopPhase::Leaving);
    info!(context.logger, "node leaves"; "open" => context.open_requests());
    tokio::time::sleep(LEAVING_PERIOD.min(limit)).await;
    context.stop.send_replace(StopPhase::Closing);
    while context.open_requests() > 0 && now().saturating_sub(started) < limit {
        tokio::time::sleep(STOP_POLL).await;
    }
    // Answers that are complete may still be on their way out.
    tokio::time::sleep(STOP_POLL * 4).await;
    info!(context.logger, "node stopped"; "open" => context.open_requests());
}
