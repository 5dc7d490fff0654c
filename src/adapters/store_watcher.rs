use {
    super::{config_store::fetch_newer, explain, peer_link::WatcherAccess},
    crate::{
        core::view::{Configuration, ExchangeEvent},
        wire::ReadinessState,
    },
    slog::warn,
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::MissedTickBehavior},
};

/// Time between two reads of the configuration row.
const CONFIG_PERIOD: Duration = Duration::from_secs(1);
/// Shortest time between two reads of the instance list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Control traffic of a process that the instance list may use, in bytes per second.
const LIST_BYTES_PER_S: u64 = 6_000;
/// Typical size of an instance in the list.
const INSTANCE_BYTES: u64 = 150;

/// What the platform answered.
#[derive(Debug)]
pub(super) enum StoreNews {
    /// A configuration above the version in force.
    Newer(Arc<Configuration>),
    /// Nothing was applied yet.
    Empty,
    /// The platform did not answer, or its answer is not usable.
    Failed(String),
    /// Instances that are leaving.
    Leaving(Vec<String>),
}

impl StoreNews {
    /// Turns the answer into an event of the exchange.
    pub fn into_event(self) -> ExchangeEvent {
        match self {
            Self::Newer(configuration) => ExchangeEvent::Stored(configuration),
            Self::Empty => ExchangeEvent::StoreEmpty,
            Self::Failed(error) => ExchangeEvent::StoreFailed(error),
            Self::Leaving(instances) => ExchangeEvent::Leaving(instances),
        }
    }
}

/// Reads the configuration row about every second until the receiver is gone.
pub(super) async fn watch_configuration(access: WatcherAccess, news: mpsc::Sender<StoreNews>) {
    let mut period = tokio::time::interval(CONFIG_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut failing = false;
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = news.closed() => return,
        }
        let known = access.view.borrow().config_version();
        let found = match fetch_newer(&access.platform, known).await {
            Ok(found) => found,
            Err(error) => {
                // Reports once for each outage, not once a second.
                if !failing {
                    let detail = explain(&error);
                    warn!(access.logger, "configuration cannot be read"; "error" => detail);
                }
                failing = true;
                let _ = news.send(StoreNews::Failed(explain(&error))).await;
                continue;
            }
        };
        failing = false;
        if let Some(configuration) = found {
            let _ = news.send(StoreNews::Newer(configuration)).await;
        } else if known == 0 {
            let _ = news.send(StoreNews::Empty).await;
        }
    }
}

/// Reads the instance list until the receiver is gone. A long list is read
/// less often: 750 instances make about 110 KB, far above the control budget.
pub(super) async fn watch_instances(access: WatcherAccess, news: mpsc::Sender<StoreNews>) {
    let mut pause = LIST_PERIOD;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = news.closed() => return,
        }
        // During an outage the last list stays in force.
        let Ok(instances) = access.platform.list_instances().await else {
            continue;
        };
        let bytes = INSTANCE_BYTES * u64::try_from(instances.len()).unwrap_or(u64::MAX);
        pause = LIST_PERIOD.max(Duration::from_millis(bytes * 1_000 / LIST_BYTES_PER_S));
        let mut leaving = Vec::new();
        for instance in instances {
            if instance.state == ReadinessState::Leaving {
                leaving.push(instance.name);
            }
        }
        leaving.sort();
        let _ = news.send(StoreNews::Leaving(leaving)).await;
    }
}
