//! Budgets of the retries to each service.

use {
    super::{NodeContext, NodeMetrics, node_clock::now, node_context::lock},
    crate::core::placement::RetryWindow,
    std::sync::atomic::Ordering,
};

/// Label in the retry metric of retries that were not made because the budget was used up.
const BUDGET_USED_UP: &str = "budget_used_up";

impl NodeContext {
    fn with_retry_window<T>(&self, service: &str, step: impl FnOnce(&mut RetryWindow) -> T) -> T {
        let mut retry_windows = lock(&self.retry_windows);
        if !retry_windows.contains_key(service) {
            let (ratio, extra, length) = self.settings.retry_bounds();
            let window = RetryWindow::new(length, ratio, extra);
            retry_windows.insert(service.to_owned(), window);
        }
        let window = retry_windows.get_mut(service);
        step(window.expect("the window was inserted above"))
    }

    /// Counts a new request, which raises the retry budget of its service. Retries aren't counted
    /// here.
    pub fn count_new_request(&self, service: &str) {
        self.with_retry_window(service, |window| window.earn(now()));
    }

    /// True when the retry budget of a service is not used up; otherwise counts that in the retry
    /// metric. The retry is taken by [`Self::spend_retry`] once there is a server for it.
    #[must_use]
    pub fn has_retry(&self, service: &str) -> bool {
        let gateways = self.gateways.load(Ordering::Relaxed);
        let has_left = self.with_retry_window(service, |window| window.has_left(now(), gateways));
        if !has_left {
            NodeMetrics::count(&self.metrics.retries, BUDGET_USED_UP);
        }
        has_left
    }

    /// Takes a retry from the budget of a service; false when the budget is used up. Counts the
    /// result in the retry metric, under `cause` when granted.
    #[must_use]
    pub fn spend_retry(&self, service: &str, cause: &'static str) -> bool {
        let gateways = self.gateways.load(Ordering::Relaxed);
        let granted = self.with_retry_window(service, |window| window.spend(now(), gateways));
        let outcome = if granted { cause } else { BUDGET_USED_UP };
        NodeMetrics::count(&self.metrics.retries, outcome);
        granted
    }
}
