//! Shares of the accounts at the sockets: admission to plain services, reports in beacons, log
//! lines and metrics. Admission to replica groups is in the scheduler.

use {
    super::{
        NodeContext, ProblemReply, RoutedCall, attempt_slot::millis, node_clock::now,
        node_log::REQUEST_TAG, share_metrics::ModelLabel,
    },
    crate::core::{
        fairness::{
            AccountShares, AccountTag, CountSource, ModelTag, ReportScope, ShareClass, ShareReport,
            ShortageChange, ShortageState, report_turn,
        },
        peers::NodeBeacon,
        placement::{PLAIN_REQUEST_WORK_MS, RefusalCause},
    },
    rand::RngExt,
    slog::info,
    std::time::Duration,
};

impl RoutedCall {
    /// Account of the caller, as it is counted.
    #[must_use]
    pub fn account_tag(&self) -> AccountTag {
        AccountTag::of(self.account())
    }

    /// Model, or plain service, that runs the request, as it is counted.
    fn model_tag(&self) -> ModelTag {
        ModelTag::of(&self.service, self.engine_model())
    }

    /// Name of the model, when engines run the request.
    fn engine_model(&self) -> Option<&str> {
        let model = self.caller.model.as_deref();
        model.filter(|_| self.needs_engine())
    }
}

impl NodeContext {
    /// Calls `step` with the shares of the accounts; none when the settings don't ask for them.
    fn with_shares<T>(&self, step: impl FnOnce(&mut AccountShares) -> T) -> Option<T> {
        self.scheduler().shares.as_mut().map(step)
    }

    /// Counts a request to a plain service, unless it is a further attempt, and returns the class
    /// under which its end is counted; none without account shares.
    ///
    /// # Errors
    /// The error response for the caller, when its account has used its share.
    pub(super) fn admit_plain(
        &self,
        call: &RoutedCall,
        is_first: bool,
    ) -> Result<Option<ShareClass>, ProblemReply> {
        if !self.settings.account_shares() {
            return Ok(None);
        }
        let class = ShareClass::new(call.model_tag(), call.priority(), call.account_tag());
        if !is_first {
            return Ok(Some(class));
        }
        let draw: f64 = rand::rng().random();
        let retry_after = self.with_shares(|shares| {
            shares.note_name(class.model, &call.service, None);
            shares.count_offered(now(), class, PLAIN_REQUEST_WORK_MS);
            shares.reject(now(), class, draw)
        });
        let Some(Some(retry_after)) = retry_after else {
            return Ok(Some(class));
        };
        self.record_share_rejection(call, retry_after);
        Err(ProblemReply::not_run(
            RefusalCause::AccountShare.label(),
            retry_after,
        ))
    }

    /// Counts a request that a plain server has answered.
    pub(super) fn count_plain_served(&self, class: Option<ShareClass>) {
        if let Some(class) = class {
            self.with_shares(|shares| shares.count_served(now(), class, PLAIN_REQUEST_WORK_MS));
        }
    }

    /// Records that a plain service had no room for a request.
    pub(super) fn note_plain_lack(&self, class: Option<ShareClass>) {
        if let Some(class) = class {
            self.with_shares(|shares| shares.note_lack(now(), class.model));
        }
    }

    /// Counts and logs a request that was rejected because its account has used its share.
    pub(super) fn record_share_rejection(&self, call: &RoutedCall, retry_after: Duration) {
        let class = ShareClass::new(call.model_tag(), call.priority(), call.account_tag());
        let plan = self.with_shares(|shares| {
            let plan = shares.acceptance(now(), class);
            (shares.name_of(class.model), plan)
        });
        let Some((model, plan)) = plan else {
            return;
        };
        info!(self.logger, #REQUEST_TAG, "rejected a request whose account has used its share";
            "request" => &call.caller.request_id, "account" => call.account(),
            "model" => &model, "priority" => class.priority,
            "acceptance" => plan.map(|(acceptance, _)| acceptance),
            "plan_age_ms" => plan.map(|(_, age)| millis(age)),
            "retry_after_ms" => millis(retry_after));
        let rejections = &self.metrics.shares.rejections;
        rejections.get_or_create(&ModelLabel { model }).inc();
    }

    /// Logs a shortage that began or ended, and sets its metric.
    pub(super) fn report_shortage(&self, change: &ShortageChange) {
        let figures = &change.figures;
        let began = change.state == ShortageState::Began;
        let outcome = if began { "began" } else { "ended" };
        info!(self.logger, "a shortage of capacity began or ended";
            "model" => &change.model, "outcome" => outcome,
            "lasted_ms" => millis(change.lasted),
            "offered_ms" => figures.offered_ms.round(), "served_ms" => figures.served_ms.round(),
            "accounts" => figures.accounts, "limited_accounts" => figures.limited,
            "limited_priority" => figures.priority,
            "fair_level_ms" => figures.level_ms.map(f64::round),
            "rejected" => figures.rejected, "lack_age_ms" => millis(figures.lack_age),
            "peer_figures_age_ms" => millis(figures.counts_age));
        let label = ModelLabel {
            model: change.model.clone(),
        };
        let gauge = self.metrics.shares.shortage.get_or_create(&label).clone();
        gauge.set(i64::from(began));
    }

    /// Reports for the beacon with this number: that for nodes of the own failure domain, and that
    /// for the others; none in most beacons and without a shortage.
    pub(super) fn share_reports(&self, sequence: u64) -> Option<[ShareReport; 2]> {
        let turn = report_turn(self.boot, sequence)?;
        let scheduler = self.scheduler();
        let shares = scheduler.shares.as_ref()?;
        let own = shares.report(now(), ReportScope::Node, turn)?;
        let domain = shares.report(now(), ReportScope::FailureDomain, turn)?;
        Some([own, domain])
    }

    /// Takes over the report in a beacon, if it has one.
    pub(super) fn take_share_report(&self, at: Duration, beacon: &NodeBeacon) {
        let Some(report) = &beacon.shares else {
            return;
        };
        let domain = (&beacon.failure_domain, &self.settings.failure_domain);
        let source = CountSource::of(report.scope, beacon.boot, domain.0, domain.1);
        if let Some(source) = source {
            self.with_shares(|shares| shares.take(at, source, report));
        }
    }
}
