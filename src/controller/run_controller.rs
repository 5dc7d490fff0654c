use {
    super::{
        action_runner::ActionRunner,
        controller_actor::{ControllerActor, ControllerArguments, ControllerMessage},
        health_server::HealthServer,
    },
    crate::{
        adapters::{AdapterError, JsonClient, LocalUpdate, MinuteWriter, ProcessRuntime, Result},
        cli::{print_addresses, stop_signal},
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

/// Time between two ticks of the group manager.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a controller until SIGTERM or SIGINT.
///
/// # Errors
/// [`AdapterError::Connect`] if an address cannot be bound, the metrics client cannot be created or
/// the actor does not start; [`AdapterError::Protocol`] if the exchange key is not 32 bytes.
pub async fn run_controller(settings: &ProcessSettings) -> Result<()> {
    let runtime = ProcessRuntime::start(settings, ProcessRole::Controller).await?;
    let listener = TcpListener::bind(settings.listen)
        .await
        .change_context(AdapterError::Connect)
        .attach_with(|| format!("address for health probes {}", settings.listen))?;
    let address = listener
        .local_addr()
        .change_context(AdapterError::Connect)?;
    let holder = format!("{}-{}", settings.name, runtime.boot);
    let manager = GroupManager::new(&settings.failure_domain, &holder, GroupOptions::default());
    let minutes = MinuteWriter::start(
        runtime.platform.clone(),
        &settings.name,
        runtime.boot,
        &runtime.logger,
    );
    let tick_pending = Arc::new(AtomicBool::new(false));
    let arguments = ControllerArguments {
        manager,
        runner: ActionRunner {
            runtime: runtime.clone(),
            client: JsonClient::new(&settings.failure_domain),
            failure_domain: settings.failure_domain.clone(),
        },
        minutes: minutes.clone(),
        tick_pending: tick_pending.clone(),
    };
    let (actor, ended) = Actor::spawn(None, ControllerActor, arguments)
        .await
        .change_context(AdapterError::Connect)?;
    let tasks = [
        tokio::spawn(send_ticks(actor.clone(), tick_pending)),
        tokio::spawn(forward_views(actor.clone(), runtime.clone())),
        tokio::spawn(
            HealthServer {
                runtime: runtime.clone(),
                actor: actor.clone(),
            }
            .serve(listener),
        ),
    ];
    slog::info!(runtime.logger, "started the controller";
        "listen" => %address, "peer_listen" => %runtime.peer_address,
        "failure_domain" => &settings.failure_domain);
    print_addresses(address, runtime.peer_address);
    stop_signal().await;
    slog::info!(runtime.logger, "stopping the controller");
    for task in tasks {
        task.abort();
    }
    actor.stop(None);
    // If the actor has panicked, the panic hook has printed the message already.
    let _ = ended.await;
    let lost = minutes.close().await;
    if lost > 0 {
        slog::warn!(runtime.logger, "stopped without storing all service-level minutes";
            "minutes" => lost);
    }
    Ok(())
}

/// Sends the actor a tick every [`TICK_INTERVAL`], unless one still waits in its mailbox.
async fn send_ticks(actor: ActorRef<ControllerMessage>, tick_pending: Arc<AtomicBool>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !tick_pending.swap(true, Ordering::AcqRel)
            && actor.cast(ControllerMessage::Tick).is_err()
        {
            return;
        }
    }
}

/// Forwards each new view to the actor. Reports the process as ready with the first view that has a
/// configuration.
async fn forward_views(actor: ActorRef<ControllerMessage>, runtime: ProcessRuntime) {
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
