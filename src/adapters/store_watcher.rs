use {
    super::{PlatformClient, config_store::fetch_newer, explain},
    crate::{
        core::view::{ClusterView, Configuration, ExchangeEvent},
        wire::LifecycleState,
    },
    slog::{Logger, warn},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        sync::{mpsc, watch},
        time::MissedTickBehavior,
    },
};

/// Time between two reads of the configuration row.
const CONFIG_READ_INTERVAL: Duration = Duration::from_secs(1);
/// Longest duration of a call for the configuration, unless the previous one failed.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest duration of such a call after one that failed, and of each call for the instance list.
const LONG_TIMEOUT: Duration = Duration::from_secs(4);
/// Minimum time between two reads of the instance list.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Part of a process's control traffic that reading a short instance list may use. It is enough to
/// read a list of 58 instances every 1.5 s.
const SHORT_LIST_BYTES_PER_S: u64 = 6_000;
/// A list with more instances is long.
const MAX_SHORT_LIST_INSTANCES: usize = 200;
/// The same for a long list. A list of 750 instances is read about every 4 min; leaving members
/// become known from their own reports instead.
const LONG_LIST_BYTES_PER_S: u64 = 500;
/// Typical size of an instance in the list, as JSON.
const INSTANCE_BYTES: u64 = 150;

/// Access to the process that the watchers need.
#[derive(Debug, Clone)]
pub(super) struct WatcherContext {
    pub platform: SocketAddr,
    pub failure_domain: String,
    pub logger: Logger,
    pub view: watch::Receiver<Arc<ClusterView>>,
}

impl WatcherContext {
    fn client(&self, timeout: Duration) -> PlatformClient {
        PlatformClient::new(self.platform, &self.failure_domain, timeout)
    }
}

/// Result of reading the configuration or the instance list from the platform.
#[derive(Debug)]
pub(super) enum WatchResult {
    /// The configuration has a higher version than the one in force.
    Newer(Arc<Configuration>),
    /// No configuration was applied yet.
    Empty,
    /// The platform did not answer, or its answer is not usable; says why.
    Failed(String),
    /// Names of all instances that are leaving, in order.
    Leaving(Vec<String>),
}

impl WatchResult {
    /// Converts the result into an event of the exchange.
    pub fn into_event(self) -> ExchangeEvent {
        match self {
            Self::Newer(configuration) => ExchangeEvent::Stored(configuration),
            Self::Empty => ExchangeEvent::StoreEmpty,
            Self::Failed(error) => ExchangeEvent::StoreFailed(error),
            Self::Leaving(instances) => ExchangeEvent::Leaving(instances),
        }
    }
}

/// Reads the configuration row about once a second until the receiver is dropped.
pub(super) async fn watch_configuration(
    context: WatcherContext,
    results: mpsc::Sender<WatchResult>,
) {
    let mut ticks = tokio::time::interval(CONFIG_READ_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // The two clients use separate connections. A connection that has become silent costs one short
    // call, and the next call has a longer timeout in case the platform is slow.
    let first_client = context.client(SHORT_TIMEOUT);
    let retry_client = context.client(LONG_TIMEOUT);
    let mut has_failed = false;
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = results.closed() => return,
        }
        let current_version = context.view.borrow().config_version();
        let platform = if has_failed {
            &retry_client
        } else {
            &first_client
        };
        let found = match fetch_newer(platform, current_version).await {
            Ok(found) => found,
            Err(error) => {
                // Logs each outage once, not each failed read.
                if !has_failed {
                    let detail = explain(&error);
                    warn!(context.logger, "failed to read the configuration from the platform";
                        "error" => detail);
                }
                has_failed = true;
                let _ = results.send(WatchResult::Failed(explain(&error))).await;
                continue;
            }
        };
        has_failed = false;
        if let Some(configuration) = found {
            let _ = results.send(WatchResult::Newer(configuration)).await;
        } else if current_version == 0 {
            let _ = results.send(WatchResult::Empty).await;
        }
    }
}

fn list_interval(instances: usize) -> Duration {
    let bytes = INSTANCE_BYTES * u64::try_from(instances).unwrap_or(u64::MAX);
    let is_short = instances <= MAX_SHORT_LIST_INSTANCES;
    let rate = if is_short {
        SHORT_LIST_BYTES_PER_S
    } else {
        LONG_LIST_BYTES_PER_S
    };
    MIN_LIST_INTERVAL.max(Duration::from_millis(bytes * 1_000 / rate))
}

/// Reads the instance list until the receiver is dropped. A long list is read less often: 750
/// instances make about 110 KB, far above the budget for control traffic.
pub(super) async fn watch_instances(context: WatcherContext, results: mpsc::Sender<WatchResult>) {
    let platform = context.client(LONG_TIMEOUT);
    let mut delay = MIN_LIST_INTERVAL;
    loop {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = results.closed() => return,
        }
        // During an outage the previous list remains in use.
        let Ok(instances) = platform.list_instances().await else {
            continue;
        };
        delay = list_interval(instances.len());
        let mut leaving = Vec::new();
        for instance in instances {
            if instance.state == LifecycleState::Leaving {
                leaving.push(instance.name);
            }
        }
        leaving.sort();
        let _ = results.send(WatchResult::Leaving(leaving)).await;
    }
}
