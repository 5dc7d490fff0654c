use {
    super::{PlatformClient, config_store::fetch_newer, explain},
    crate::{
        core::view::{ClusterView, Configuration, ExchangeEvent},
        wire::ReadinessState,
    },
    slog::{Logger, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::MissedTickBehavior,
    },
};

/// Time between two reads of the configuration row.
const CONFIG_PERIOD: Duration = Duration::from_secs(1);
/// Bound of a call while the platform answers.
const QUICK_TIMEOUT: Duration = Duration::from_secs(1);
/// Bound of a call after one has failed.
const PATIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Shortest time between two reads of the instance list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Control traffic of a process that a short instance list may use, in bytes
/// per second: 58 instances are read every 1.5 s.
const LIST_BYTES_PER_S: u64 = 6_000;
/// Instances of a short list.
const SHORT_LIST: usize = 200;
/// The same for a long list. With 750 instances it is read every 4 min, and
/// leaving members are learned from their own reports instead.
const LONG_LIST_BYTES_PER_S: u64 = 500;
/// Typical size of an instance in the list.
const INSTANCE_BYTES: u64 = 150;

/// What the watchers need of the process.
#[derive(Debug, Clone)]
pub(super) struct WatcherAccess {
    pub platform: SocketAddr,
    pub failure_domain: String,
    pub logger: Logger,
    pub view: watch::Receiver<Arc<ClusterView>>,
}

impl WatcherAccess {
    fn client(&self, timeout: Duration) -> PlatformClient {
        PlatformClient::new(self.platform, &self.failure_domain, timeout)
    }
}

/// What the platform answered.
#[derive(Debug)]
pub(super) enum StoreChange {
    /// A configuration above the version in force.
    Newer(Arc<Configuration>),
    /// Nothing was applied yet.
    Empty,
    /// The platform did not answer, or its answer is not usable.
    Failed(String),
    /// Instances that are leaving.
    Leaving(Vec<String>),
}

impl StoreChange {
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
pub(super) async fn watch_configuration(access: WatcherAccess, changes: mpsc::Sender<StoreChange>) {
    let mut period = tokio::time::interval(CONFIG_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Own connections: one that has gone silent costs a single short call, and
    // an attempt with a longer limit follows in case the platform is slow.
    let quick = access.client(QUICK_TIMEOUT);
    let patient = access.client(PATIENT_TIMEOUT);
    let mut failing = false;
    loop {
        tokio::select! {
            _ = period.tick() => {}
            () = changes.closed() => return,
        }
        let known = access.view.borrow().config_version();
        let platform = if failing { &patient } else { &quick };
        let found = match fetch_newer(platform, known).await {
            Ok(found) => found,
            Err(error) => {
                // Reports once for each outage, not once a second.
                if !failing {
                    let detail = explain(&error);
                    warn!(access.logger, "configuration cannot be read"; "error" => detail);
                }
                failing = true;
                let _ = changes.send(StoreChange::Failed(explain(&error))).await;
                continue;
            }
        };
        failing = false;
        if let Some(configuration) = found {
            let _ = changes.send(StoreChange::Newer(configuration)).await;
        } else if known == 0 {
            let _ = changes.send(StoreChange::Empty).await;
        }
    }
}

fn list_period(instances: usize) -> Duration {
    let bytes = INSTANCE_BYTES * u64::try_from(instances).unwrap_or(u64::MAX);
    let short = instances <= SHORT_LIST;
    let rate = if short {
        LIST_BYTES_PER_S
    } else {
        LONG_LIST_BYTES_PER_S
    };
    LIST_PERIOD.max(Duration::from_millis(bytes * 1_000 / rate))
}

/// Reads the instance list until the receiver is gone. A long list is read
/// less often: 750 instances make about 110 KB, far above the control budget.
pub(super) async fn watch_instances(access: WatcherAccess, changes: mpsc::Sender<StoreChange>) {
    let platform = access.client(PATIENT_TIMEOUT);
    let mut pause = LIST_PERIOD;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = changes.closed() => return,
        }
        // During an outage the last list stays in force.
        let Ok(instances) = platform.list_instances().await else {
            continue;
        };
        pause = list_period(instances.len());
        let mut leaving = Vec::new();
        for instance in instances {
            if instance.state == ReadinessState::Leaving {
                leaving.push(instance.name);
            }
        }
        leaving.sort();
        let _ = changes.send(StoreChange::Leaving(leaving)).await;
    }
}
