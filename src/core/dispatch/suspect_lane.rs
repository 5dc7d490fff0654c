use {
    super::{
        DeskAction, RequestDesk,
        open_request::{GroupRun, OpenRequest, RequestStage},
        placement::pick_request,
        request_desk::crashes_engines,
    },
    crate::wire::{GroupCrash, SuspectEntry},
    std::time::Duration,
};

/// Wait between the news of a second crash and the refusal, so that the peers
/// know the suspect before its caller can send it again.
const PUBLISH_WAIT: Duration = Duration::from_millis(100);

impl RequestDesk {
    /// Runs a suspect on a group that runs nothing else; empties one if needed.
    pub(super) fn place_alone(
        &mut self,
        now: Duration,
        ticket: u64,
        out: &mut Vec<DeskAction>,
    ) -> bool {
        let Some(request) = self.open.get(&ticket) else {
            return true;
        };
        let mut pick = pick_request(&request.intake, &request.tried, true);
        // Suspects choose by fingerprint, so that two of them seldom meet on a group.
        pick.prefix = request.intake.fingerprint;
        let reserved = match request.stage {
            RequestStage::Emptying(key) if self.router.usable(key) => Some(key),
            RequestStage::Emptying(key) => {
                self.router.unreserve(key, ticket);
                None
            }
            _ => None,
        };
        let picked = match reserved {
            Some(key) => self.router.emptied(key, ticket),
            None => self.router.pick_alone(now, &pick),
        };
        if let Some(picked) = picked {
            self.router.reserve(picked.key, ticket);
            self.start_on_group(now, ticket, &picked, true, out);
            return true;
        }
        if reserved.is_some() {
            return false;
        }
        let chosen = self.router.pick_to_empty(now, &pick);
        if let Some(key) = chosen {
            self.router.reserve(key, ticket);
        }
        if let Some(request) = self.open.get_mut(&ticket) {
            request.stage = chosen.map_or(RequestStage::Pausing(now), RequestStage::Emptying);
        }
        self.waiting.insert(ticket);
        false
    }

    /// Puts every request that ran on the crashed group under suspicion.
    pub(super) fn note_crash(
        &mut self,
        request: &OpenRequest,
        run: &GroupRun,
        out: &mut Vec<DeskAction>,
    ) {
        let mut news: Vec<SuspectEntry> = Vec::new();
        let mut note = |desk: &mut Self, fingerprint: u64, alone: bool| {
            let crash = GroupCrash {
                group: run.id.clone(),
                epoch: run.epoch,
                alone,
            };
            news.extend(desk.suspects.note(fingerprint, crash));
        };
        note(self, request.intake.fingerprint, run.alone);
        let beside: Vec<(u64, bool)> = self
            .open
            .values()
            .filter_map(|other| match &other.stage {
                RequestStage::OnGroup(seen) if seen.id == run.id && seen.epoch == run.epoch => {
                    Some((other.intake.fingerprint, seen.alone))
                }
                _ => None,
            })
            .collect();
        for (fingerprint, alone) in beside {
            note(self, fingerprint, alone);
        }
        if !news.is_empty() {
            out.push(DeskAction::PublishSuspects(news));
        }
    }

    /// Refuses a request that crashed two groups, once the peers know of it.
    pub(super) fn refuse_later(&mut self, now: Duration, ticket: u64) {
        self.waiting.remove(&ticket);
        self.refusals
            .push((now + PUBLISH_WAIT, ticket, crashes_engines()));
    }

    /// Clears a suspect that ran alone and completed.
    pub(super) fn clear_suspect(&mut self, ticket: u64, out: &mut Vec<DeskAction>) {
        let Some(request) = self.open.get(&ticket) else {
            return;
        };
        let alone = matches!(&request.stage, RequestStage::OnGroup(run) if run.alone);
        if !alone {
            return;
        }
        if let Some(entry) = self.suspects.clear(request.intake.fingerprint) {
            out.push(DeskAction::PublishSuspects(vec![entry]));
        }
    }
}
