use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};

/// Label of the metrics that are split by model.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ModelLabel {
    /// Names of the service and its model; the name of a plain service alone.
    pub model: String,
}

/// Metrics of the shares of the accounts.
#[derive(Debug, Clone, Default)]
pub struct ShareMetrics {
    /// Requests rejected because their account has used its share.
    pub rejections: Family<ModelLabel, Counter>,
    /// 1 while the model is short of capacity, so that the plan applies; otherwise 0.
    pub shortage: Family<ModelLabel, Gauge>,
}

impl ShareMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "account_share_rejections",
            "Requests rejected by the shares of the accounts",
            metrics.rejections.clone(),
        );
        registry.register(
            "account_share_shortage",
            "1 while the shares of the accounts apply",
            metrics.shortage.clone(),
        );
        metrics
    }
}
