use {
    std::{collections::HashMap, sync::Arc, time::Duration},
    toucanring::{
        core::{
            dispatch::{
                AttemptOrder, AttemptTarget, DispatchAction, DispatchEvent, Refusal, RefusalReason,
                RequestIntake,
            },
            view::ClusterView,
        },
        wire::{Execution, GroupEntry, GroupState},
    },
};

/// Number of immediate retries after a first attempt, whatever the reason of its failure.
const MAX_RETRIES: u32 = 3;

/// Naive request dispatcher: takes serving groups in turn, retries a failed attempt three times at
/// once, and has no queue, limits or claims.
#[derive(Debug, Default)]
pub struct NaiveDispatcher {
    view: Arc<ClusterView>,
    /// Number of attempts started; it selects the group of the next one.
    attempt_count: usize,
    /// Open requests with the number of their attempts, by ticket.
    open: HashMap<u64, (RequestIntake, u32)>,
}

impl NaiveDispatcher {
    /// Handles one event and appends the actions that follow from it.
    pub fn step(
        &mut self,
        _now: Duration,
        event: DispatchEvent,
        actions: &mut Vec<DispatchAction>,
    ) {
        match event {
            DispatchEvent::View(view) => self.view = view,
            DispatchEvent::Arrived(intake) => {
                let ticket = intake.ticket;
                self.open.insert(ticket, (*intake, 0));
                self.send_attempt(ticket, actions);
            }
            DispatchEvent::AttemptEnded(report) => self.send_attempt(report.ticket, actions),
            DispatchEvent::Completed(ticket, ..) | DispatchEvent::CallerLeft(ticket) => {
                self.open.remove(&ticket);
            }
            _ => {}
        }
    }

    fn send_attempt(&mut self, ticket: u64, actions: &mut Vec<DispatchAction>) {
        let Some((intake, attempts)) = self.open.get_mut(&ticket) else {
            return;
        };
        let serving: Vec<&GroupEntry> = self
            .view
            .groups
            .values()
            .filter(|entry| entry.state == GroupState::Serving)
            .collect();
        if *attempts > MAX_RETRIES || serving.is_empty() {
            let detail = "all attempts failed";
            let refusal = Refusal::new(RefusalReason::Interrupted, Execution::Unknown, detail);
            self.open.remove(&ticket);
            actions.push(DispatchAction::Refuse(ticket, refusal));
            return;
        }
        *attempts += 1;
        self.attempt_count += 1;
        let entry = serving[self.attempt_count % serving.len()];
        actions.push(DispatchAction::Start(AttemptOrder {
            ticket,
            attempt: format!("{ticket}-{attempts}"),
            target: AttemptTarget::Group(entry.id.clone(), entry.epoch),
            address: entry.members[0].address,
            deadline: intake.deadline,
            priority: intake.priority,
        }));
    }
}
