use {
    super::{
        action_runner::CallRunner,
        controller_actor::{ControllerActor, ControllerArguments, ControllerMessage},
        health_server::HealthServer,
    },
    crate::{
        adapters::{AdapterError, JsonClient, LocalUpdate, MinuteWriter, NodeRuntime, Result},
        cli::{announce, stop_signal},
        conf::ProcessSettings,
        core::groups::{GroupManager, GroupOptions},
        wire::ProcessRole,
    },
    error_stack::ResultExt,
    ractor::{Actor, ActorRef},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, time::MissedTickBehavior},
};

/// Time between two ticks of the group keeper.
const TICK_EVERY: Duration = Duration::from_millis(100);

/// Runs a controller until SIGTERM or SIGINT.
///
/// # Errors
/// [`AdapterError::Connect`] when a port cannot be opened or the actor does not start.
pub async fn run_controller(settings: &ProcessSettings) -> Result<()> {
    let runtime = NodeRuntime::start(settings, ProcessRole::Controller).await?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .change_context(AdapterError::Connect)
        .attach_with(|| format!("port for health probes {}", settings.listen))?;
    let address = listener
        .local_addr()
        .change_context(AdapterError::Connect)?;
    let holder = format!("{}-{}", settings.name, runtime.boot);
    let keeper = GroupManager::new(&settings.failure_domain, &holder, GroupOptions::default());
    let minutes = MinuteWriter::start(
        runtime.platform.clone(),
        &settings.name,
        runtime.boot,
        &runtime.logger,
    );
    let tick_waits = Arc::new(AtomicBool::new(false));
    let arguments = ControllerArguments {
        keeper,
        runner: CallRunner {
            runtime: runtime.clone(),
            client: JsonClient::new(&settings.failure_domain),
            failure_domain: settings.failure_domain.clone(),
        },
        minutes: minutes.clone(),
        tick_waits: tick_waits.clone(),
    };
    let (actor, ended) = Actor::spawn(None, ControllerActor, arguments)
        .await
        .change_context(AdapterError::Connect)?;
    let drivers = [
        tokio::spawn(drive_ticks(actor.clone(), tick_waits)),
        tokio::spawn(drive_views(actor.clone(), runtime.clone())),
        tokio::spawn(
            HealthServer {
                runtime: runtime.clone(),
                actor: actor.clone(),
            }
            .serve(listener),
        ),
    ];
    slog::info!(runtime.logger, "controller started";
        "listen" => %address, "peer_listen" => %runtime.peer_address,
        "failure_domain" => &settings.failure_domain);
    announce(address, runtime.peer_address);
    stop_signal().await;
    slog::info!(runtime.logger, "controller stops");
    for driver in drivers {
        driver.abort();
    }
    actor.stop(None);
    // A panic of the actor has been logged by its supervisor.
    let _ = ended.await;
    let lost = minutes.close().await;
    if lost > 0 {
        slog::warn!(runtime.logger, "service-level minutes were not stored"; "minutes" => lost);
    }
    Ok(())
}

async fn drive_ticks(actor: ActorRef<ControllerMessage>, waits: Arc<AtomicBool>) {
    let mut ticks = tokio::time::interval(TICK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !waits.swap(true, Ordering::AcqRel) && actor.cast(ControllerMessage::Tick).is_err() {
            return;
        }
    }
}

async fn drive_views(actor: ActorRef<ControllerMessage>, runtime: NodeRuntime) {
    let mut views = runtime.view.clone();
    let mut ready = false;
    loop {
        let view = views.borrow_and_update().clone();
        if view.configuration.is_some() && !ready {
            ready = true;
            let _ = runtime.updates.send(LocalUpdate::Ready(true)).await;
        }
        if actor.cast(ControllerMessage::View(view)).is_err() || views.changed().await.is_err() {
            return;
        }
    }
}
