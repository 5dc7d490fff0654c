use {
    super::ShareMetrics,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, histogram::Histogram},
        registry::Registry,
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
    /// Metrics of the shares of the accounts.
    pub shares: ShareMetrics,
    /// Lag of the event loop in microseconds; nothing sets or reads it at present.
    pub loop_lag_us: AtomicU64,
}

impl Default for NodeMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("toucanring");
        let requests = Family::default();
        let retries = Family::default();
        let orders = Family::default();
        let store_failures = Family::default();
        let datagrams_dropped = Family::default();
        let rows_ignored = Family::default();
        let server_notices = Family::default();
        let crash_evidence = Family::default();
        let connections = Counter::default();
        let first_event = Histogram::new(LATENCY_BUCKETS);
        let answer = Histogram::new(LATENCY_BUCKETS);
        let waited = Histogram::new(LATENCY_BUCKETS);
        let prediction = Histogram::new(RATIO_BUCKETS);
        let configuration_delay = Histogram::new(LATENCY_BUCKETS);
        let pulls = Family::default();
        registry.register("requests", "Requests by outcome", requests.clone());
        registry.register("retries", "Requests sent once more", retries.clone());
        registry.register("orders", "Orders to engines", orders.clone());
        registry.register(
            "store_failures",
            "Failed calls to the store",
            store_failures.clone(),
        );
        registry.register(
            "crash_evidence",
            "Evidence of requests that crash servers",
            crash_evidence.clone(),
        );
        registry.register(
            "datagrams_dropped",
            "Peer datagrams dropped",
            datagrams_dropped.clone(),
        );
        registry.register(
            "rows_ignored",
            "Rows and messages that cannot be used",
            rows_ignored.clone(),
        );
        registry.register(
            "server_notices",
            "What backend servers said about themselves",
            server_notices.clone(),
        );
        registry.register("connections", "Connections opened", connections.clone());
        registry.register(
            "first_event_seconds",
            "Time to the first event",
            first_event.clone(),
        );
        registry.register("answer_seconds", "Time to the answer", answer.clone());
        registry.register("waited_seconds", "Wait for a place", waited.clone());
        registry.register(
            "prediction_ratio",
            "Seen over predicted time to the first event",
            prediction.clone(),
        );
        registry.register(
            "configuration_delay_seconds",
            "Time from the first news of a configuration to its application",
            configuration_delay.clone(),
        );
        registry.register("pulls", "Ends of pulls between nodes", pulls.clone());
        let shares = ShareMetrics::register(&mut registry);
        Self {
            registry,
            requests,
            retries,
            orders,
            store_failures,
            crash_evidence,
            connections,
            datagrams_dropped,
            rows_ignored,
            server_notices,
            first_event,
            answer,
            prediction,
            waited,
            configuration_delay,
            pulls,
            shares,
            loop_lag_us: AtomicU64::new(0),
        }
    }
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
