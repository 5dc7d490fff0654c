use {
    super::OutcomeLabel,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

/// Metrics of the memory that callers take.
#[derive(Debug)]
pub struct MemoryMetrics {
    /// Request bodies that were not read to their end, by reason.
    pub bodies_dropped: Family<OutcomeLabel, Counter>,
    /// Connections of callers that were closed for lack of room, or since their callers read
    /// nothing, by reason.
    pub closed: Family<OutcomeLabel, Counter>,
    /// Open connections of callers; set when the metrics are read.
    pub connections: Gauge,
    /// Bytes of these connections beside bodies and responses; set when the metrics are read.
    pub connection_bytes: Gauge,
    /// Bytes that are kept of requests; set when the metrics are read.
    pub request_bytes: Gauge,
    /// Bytes of buffered responses; set when the metrics are read.
    pub response_bytes: Gauge,
}

impl MemoryMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &mut Registry) -> Self {
        let bodies_dropped = Family::default();
        let request_bytes = Gauge::default();
        let response_bytes = Gauge::default();
        let help = "Request bodies not read to their end";
        registry.register("bodies_dropped", help, bodies_dropped.clone());
        let closed = Family::default();
        let connections = Gauge::default();
        let connection_bytes = Gauge::default();
        let help = "Connections of callers closed for lack of room or unread responses";
        registry.register("callers_closed", help, closed.clone());
        let help = "Open connections of callers";
        registry.register("caller_connections", help, connections.clone());
        let help = "Bytes of the connections of callers";
        registry.register("caller_connection_bytes", help, connection_bytes.clone());
        let help = "Bytes kept of requests";
        registry.register("request_bytes", help, request_bytes.clone());
        let help = "Bytes of buffered responses";
        registry.register("response_bytes", help, response_bytes.clone());
        Self {
            bodies_dropped,
            closed,
            connections,
            connection_bytes,
            request_bytes,
            response_bytes,
        }
    }
}
