//! Log lines and metrics about the paces of groups that have just opened or recovered.

use {
    super::{NodeContext, attempt_slot::millis, node_metrics::OutcomeLabel},
    crate::core::{
        pace::{PaceChange, PacePhase},
        placement::PaceTick,
    },
    slog::info,
};

impl NodeContext {
    /// Reports the changes of the paces in one tick.
    pub(super) fn report_paces(&self, tick: PaceTick) {
        for share in tick.permitted_shares {
            self.metrics.permitted_share.observe(share);
        }
        if tick.changes.is_empty() {
            return;
        }
        for change in &tick.changes {
            self.log_pace_change(change);
        }
        let scheduler = self.scheduler();
        for phase in PacePhase::ALL {
            let label = OutcomeLabel {
                outcome: phase.label(),
            };
            let groups = i64::try_from(scheduler.groups_in_phase(phase)).unwrap_or(i64::MAX);
            self.metrics.pace_groups.get_or_create(&label).set(groups);
        }
    }

    fn log_pace_change(&self, change: &PaceChange) {
        let load = &change.load;
        info!(self.logger, "the pace of a replica group changed its phase";
            "group" => &change.group, "epoch" => change.epoch, "phase" => change.phase.label(),
            "permitted" => change.permitted, "running" => load.running,
            "waiting" => load.waiting, "demand_per_s" => load.demand_per_s,
            "predicted_ms" => millis(load.first_event), "nodes" => load.gateways,
            "returns" => change.returns, "pace_age_ms" => millis(change.age),
            "peer_figures_age_ms" => millis(load.report_age));
    }
}
