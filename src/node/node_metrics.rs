use {
    super::{MemoryMetrics, ShareMetrics},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::{Metric, Registry},
    },
    std::{sync::atomic::AtomicU64, time::Duration},
};

/// Label of the counters that are split by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Outcome, cause or reason, depending on the counter; one of a fixed set of texts.
    pub outcome: &'static str,
}

/// Upper bounds, in seconds, of the buckets of latency histograms.
const LATENCY_BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 5.0,
];

/// Upper bounds of the buckets of the ratio of measured to predicted times.
const RATIO_BUCKETS: [f64; 9] = [0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2.0, 4.0];

/// Upper bounds of the buckets of the permitted requests of a group, as a share of its slots.
const PACE_BUCKETS: [f64; 8] = [0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.75, 0.9];

/// Counters and histograms of a node, in Prometheus format.
#[derive(Debug)]
pub struct NodeMetrics {
    registry: Registry,
    /// Finished requests, by the outcome in their log line.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Retries by cause; those that the retry budget refused count as `budget_used_up`.
    pub retries: Family<OutcomeLabel, Counter>,
    /// Orders to engines, by the engine's answer or the failure.
    pub orders: Family<OutcomeLabel, Counter>,
    /// Failed reads of store tables, by kind of failure.
    pub store_failures: Family<OutcomeLabel, Counter>,
    /// Rows of the store and messages of other programs that cannot be used, by kind.
    pub rows_ignored: Family<OutcomeLabel, Counter>,
    /// Connections that requests of callers opened, or tried to open, to backend servers.
    pub connections: Counter,
    /// Connections that broke before a first event, by cause; blocks and their ends; requests that
    /// were stopped, by stage; parts of prompts that were ignored.
    pub crash_evidence: Family<OutcomeLabel, Counter>,
    /// Datagrams and pull requests of peers that were dropped, by reason, and changes of servers
    /// that are too large to be sent in one.
    pub datagrams_dropped: Family<OutcomeLabel, Counter>,
    /// What backend servers said about themselves in answers, by kind and source.
    pub server_notices: Family<OutcomeLabel, Counter>,
    /// Failure domains that are drained.
    pub drained_domains: Gauge,
    /// Memory that callers take.
    pub memory: MemoryMetrics,
    /// Seconds from the arrival of a request to the first event of its stream.
    pub first_event: Histogram,
    /// Seconds from the arrival of a request to its complete response, for buffered responses.
    pub answer: Histogram,
    /// Measured divided by predicted time to the first event, at replica groups.
    pub prediction: Histogram,
    /// Seconds that requests waited in the queue of the scheduler.
    pub waited: Histogram,
    /// Seconds from the first news of a configuration in a beacon to its application.
    pub configuration_delay: Histogram,
    /// Ends of pulls from other nodes and of the answers to their pulls, by outcome.
    pub pulls: Family<OutcomeLabel, Counter>,
    /// Backend servers that are cold at present and tolerate a limited rate.
    pub cold_servers: Gauge,
    /// Permits of this node for cold servers, used or lost.
    pub cold_permits: Family<OutcomeLabel, Counter>,
    /// Open replica groups by the phase of their pace; set only where the pace is enabled.
    pub pace_groups: Family<OutcomeLabel, Gauge>,
    /// Permitted running requests of a bounded group relative to its slots, at each change.
    pub permitted_share: Histogram,
    /// Metrics of the shares of the accounts.
    pub shares: ShareMetrics,
    /// Lag of the event loop in microseconds; nothing sets or reads it at present.
    pub loop_lag_us: AtomicU64,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("toucanring");
        let add = &mut registry;
        Self {
            memory: MemoryMetrics::register(add),
            shares: ShareMetrics::register(add),
            requests: counters(add, "requests", "Requests by outcome"),
            retries: counters(add, "retries", "Requests sent once more"),
            orders: counters(add, "orders", "Orders to engines"),
            store_failures: counters(add, "store_failures", "Failed calls to the store"),
            crash_evidence: counters(
                add,
                "crash_evidence",
                "Evidence of requests that crash servers",
            ),
            connections: register(add, "connections", "Connections opened", Counter::default()),
            datagrams_dropped: counters(add, "datagrams_dropped", "Peer datagrams dropped"),
            rows_ignored: counters(add, "rows_ignored", "Rows and messages that cannot be used"),
            server_notices: counters(
                add,
                "server_notices",
                "What backend servers said about themselves",
            ),
            drained_domains: register(
                add,
                "drained_failure_domains",
                "Failure domains that are drained",
                Gauge::default(),
            ),
            first_event: times(add, "first_event_seconds", "Time to the first event"),
            answer: times(add, "answer_seconds", "Time to the answer"),
            prediction: register(
                add,
                "prediction_ratio",
                "Seen over predicted time to the first event",
                Histogram::new(RATIO_BUCKETS),
            ),
            waited: times(add, "waited_seconds", "Wait for a place"),
            configuration_delay: times(
                add,
                "configuration_delay_seconds",
                "Time from the first news of a configuration to its application",
            ),
            pulls: counters(add, "pulls", "Ends of pulls between nodes"),
            cold_servers: register(
                add,
                "cold_servers",
                "Backend servers that are cold",
                Gauge::default(),
            ),
            cold_permits: counters(add, "cold_permits", "Permits for cold servers"),
            pace_groups: register(
                add,
                "pace_groups",
                "Replica groups by the phase of their pace",
                Family::default(),
            ),
            permitted_share: register(
                add,
                "pace_permitted_share",
                "Permitted running requests of a bounded group relative to its slots",
                Histogram::new(PACE_BUCKETS),
            ),
            loop_lag_us: AtomicU64::new(0),
            registry,
        }
    }
}

/// Adds counters that are split by outcome.
fn counters(
    registry: &mut Registry,
    name: &'static str,
    help: &'static str,
) -> Family<OutcomeLabel, Counter> {
    register(registry, name, help, Family::default())
}

/// Adds a histogram of times in seconds.
fn times(registry: &mut Registry, name: &'static str, help: &'static str) -> Histogram {
    register(registry, name, help, Histogram::new(LATENCY_BUCKETS))
}

/// Adds a metric to the registry and returns the handle by which it is changed.
fn register<M: Metric + Clone>(
    registry: &mut Registry,
    name: &'static str,
    help: &'static str,
    metric: M,
) -> M {
    registry.register(name, help, metric.clone());
    metric
}

impl NodeMetrics {
    /// Adds one to the counter with the given outcome.
    pub fn count(family: &Family<OutcomeLabel, Counter>, outcome: &'static str) {
        family.get_or_create(&OutcomeLabel { outcome }).inc();
    }

    /// Adds `amount` to the counter with the given outcome, which is not created for 0.
    pub fn count_many(family: &Family<OutcomeLabel, Counter>, outcome: &'static str, amount: u64) {
        if amount > 0 {
            family
                .get_or_create(&OutcomeLabel { outcome })
                .inc_by(amount);
        }
    }

    /// Adds a time to a histogram of seconds.
    pub fn observe(histogram: &Histogram, time: Duration) {
        histogram.observe(time.as_secs_f64());
    }

    /// All metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics cannot be written: {error}\n"),
        }
    }
}
