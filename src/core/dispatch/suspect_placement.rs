use {
    super::{
        DispatchAction, RequestDispatcher,
        open_request::{GroupAttempt, OpenRequest, RequestStage},
        request_dispatcher::engine_crash_refusal,
    },
    crate::wire::{GroupCrash, SuspectEntry},
    std::time::Duration,
};

/// Delay between the detection of a second crash and the refusal, so that the peers know the
/// suspect before its caller can send it again.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);

/// Maximum wait for each earlier suspect assigned to the same group; most answers are complete by
/// then.
const SUSPECT_TURN_TIMEOUT: Duration = Duration::from_secs(4);

impl RequestDispatcher {
    /// Starts a suspect isolated from the other suspects of the same crash; returns whether it no
    /// longer waits.
    ///
    /// The suspects are spread over the groups, one at a time on each group, in an order that every
    /// gateway computes from the exchanged suspect entries. A group is not emptied for a suspect:
    /// other gateways keep it busy for longer than the deadlines allow, and requests that run
    /// beside a second crash are retried anyway.
    pub(super) fn place_isolated(
        &mut self,
        now: Duration,
        ticket: u64,
        out: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(request) = self.open.get(&ticket) else {
            return true;
        };
        let earlier_settled = self.suspects.earlier_settled(request.intake.fingerprint);
        let Some(crash) = self.suspects.first_crash(request.intake.fingerprint) else {
            return false;
        };
        let groups = self
            .group_router
            .isolation_targets(request.intake.service(), &crash.group);
        if groups.is_empty() {
            return false;
        }
        let group_index = earlier_settled.len() % groups.len();
        let rounds = u32::try_from(earlier_settled.len() / groups.len()).unwrap_or(u32::MAX);
        let is_next = (group_index..earlier_settled.len())
            .step_by(groups.len())
            .all(|earlier| earlier_settled[earlier]);
        let stalled_for = request
            .stalled_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let avoided = self.group_router.is_avoided(now, groups[group_index]);
        if avoided || (!is_next && stalled_for < SUSPECT_TURN_TIMEOUT * rounds) {
            return false;
        }
        let Some(picked) = self.group_router.picked(groups[group_index], 0.0) else {
            return false;
        };
        self.start_on_group(now, ticket, &picked, true, out);
        true
    }

    /// Records a group crash for `request` and for every other open request that runs on that
    /// group.
    pub(super) fn record_crash(
        &mut self,
        request: &OpenRequest,
        attempt: &GroupAttempt,
        out: &mut Vec<DispatchAction>,
    ) {
        let mut changes: Vec<SuspectEntry> = Vec::new();
        let mut record = |dispatcher: &mut Self, fingerprint: u64, isolated: bool| {
            let crash = GroupCrash {
                group: attempt.id.clone(),
                epoch: attempt.epoch,
                alone: isolated,
            };
            changes.extend(dispatcher.suspects.record_crash(fingerprint, crash));
        };
        record(self, request.intake.fingerprint, attempt.isolated);
        let neighbors: Vec<(u64, bool)> = self
            .open
            .values()
            .filter_map(|other| match &other.stage {
                RequestStage::OnGroup(other_attempt)
                    if other_attempt.id == attempt.id && other_attempt.epoch == attempt.epoch =>
                {
                    Some((other.intake.fingerprint, other_attempt.isolated))
                }
                _ => None,
            })
            .collect();
        for (fingerprint, isolated) in neighbors {
            record(self, fingerprint, isolated);
        }
        if !changes.is_empty() {
            out.push(DispatchAction::PublishSuspects(changes));
        }
    }

    /// Schedules the refusal of a request that ran on two crashed groups, so that the peers hear of
    /// it first.
    pub(super) fn schedule_refusal(&mut self, now: Duration, ticket: u64) {
        self.pending_tickets.remove(&ticket);
        self.scheduled_refusals
            .push((now + PUBLISH_DELAY, ticket, engine_crash_refusal()));
    }

    /// Clears a suspect that ran isolated and completed.
    pub(super) fn clear_suspect(&mut self, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        let isolated = matches!(&request.stage, RequestStage::OnGroup(attempt) if attempt.isolated);
        if !isolated {
            return;
        }
        if let Some(entry) = self.suspects.clear(request.intake.fingerprint) {
            out.push(DispatchAction::PublishSuspects(vec![entry]));
        }
    }
}
