use {
    super::{
        DispatchAction, RequestDispatcher,
        open_request::{GroupRun, OpenRequest, RequestStage},
        request_dispatcher::crashes_engines,
    },
    crate::wire::{GroupCrash, SuspectEntry},
    std::time::Duration,
};

/// Wait between the notice of a second crash and the refusal, so that the peers
/// know the suspect before its caller can send it again.
const PUBLISH_WAIT: Duration = Duration::from_millis(100);

/// Longest wait for each suspect that goes before on the same group; most
/// answers are complete by then.
const SUSPECT_TURN: Duration = Duration::from_secs(4);

impl RequestDispatcher {
    /// Runs a suspect apart from the other suspects of the same crash.
    ///
    /// These are spread over the groups in an order that every gateway knows
    /// from the exchange, one at a time on each group. Groups are not emptied
    /// for a suspect: other gateways keep a group busy for longer than the
    /// deadlines allow, and requests beside a second crash run again anyway.
    pub(super) fn place_apart(
        &mut self,
        now: Duration,
        ticket: u64,
        out: &mut Vec<DispatchAction>,
    ) -> bool {
        let Some(request) = self.open.get(&ticket) else {
            return true;
        };
        let before = self.suspects.settled_before(request.intake.fingerprint);
        let Some(crash) = self.suspects.first_crash(request.intake.fingerprint) else {
            return false;
        };
        let groups = self
            .router
            .isolation_targets(request.intake.service(), &crash.group);
        if groups.is_empty() {
            return false;
        }
        let index = before.len() % groups.len();
        let rounds = u32::try_from(before.len() / groups.len()).unwrap_or(u32::MAX);
        let free = (index..before.len())
            .step_by(groups.len())
            .all(|place| before[place]);
        let stalled = request
            .stalled_at
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let avoided = self.router.is_avoided(now, groups[index]);
        if avoided || (!free && stalled < SUSPECT_TURN * rounds) {
            return false;
        }
        let Some(picked) = self.router.picked(groups[index], 0.0) else {
            return false;
        };
        self.start_on_group(now, ticket, &picked, true, out);
        true
    }

    /// Puts every request that ran on the crashed group under suspicion.
    pub(super) fn note_crash(
        &mut self,
        request: &OpenRequest,
        run: &GroupRun,
        out: &mut Vec<DispatchAction>,
    ) {
        let mut changes: Vec<SuspectEntry> = Vec::new();
        let mut note = |dispatcher: &mut Self, fingerprint: u64, apart: bool| {
            let crash = GroupCrash {
                group: run.id.clone(),
                epoch: run.epoch,
                alone: apart,
            };
            changes.extend(dispatcher.suspects.note(fingerprint, crash));
        };
        note(self, request.intake.fingerprint, run.apart);
        let beside: Vec<(u64, bool)> = self
            .open
            .values()
            .filter_map(|other| match &other.stage {
                RequestStage::OnGroup(seen) if seen.id == run.id && seen.epoch == run.epoch => {
                    Some((other.intake.fingerprint, seen.apart))
                }
                _ => None,
            })
            .collect();
        for (fingerprint, apart) in beside {
            note(self, fingerprint, apart);
        }
        if !changes.is_empty() {
            out.push(DispatchAction::PublishSuspects(changes));
        }
    }

    /// Refuses a request that crashed two groups, once the peers know of it.
    pub(super) fn refuse_later(&mut self, now: Duration, ticket: u64) {
        self.waiting.remove(&ticket);
        self.refusals
            .push((now + PUBLISH_WAIT, ticket, crashes_engines()));
    }

    /// Clears a suspect that ran apart and completed.
    pub(super) fn clear_suspect(&mut self, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        let apart = matches!(&request.stage, RequestStage::OnGroup(run) if run.apart);
        if !apart {
            return;
        }
        if let Some(entry) = self.suspects.clear(request.intake.fingerprint) {
            out.push(DispatchAction::PublishSuspects(vec![entry]));
        }
    }
}
