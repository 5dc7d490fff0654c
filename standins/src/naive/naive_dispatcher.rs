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

/// Immediate retries of anything.
const RETRIES: u32 = 3;

/// Simple request dispatcher: groups in turn, no queue, no limits, no claims, and
/// three immediate retries.
#[derive(Debug, Default)]
pub struct NaiveDispatcher {
    view: Arc<ClusterView>,
    turn: usize,
    open: HashMap<u64, (RequestIntake, u32)>,
}

impl NaiveDispatcher {
    /// Takes one event and appends the actions that follow from it.
    pub fn step(&mut self, _now: Duration, event: DispatchEvent, out: &mut Vec<DispatchAction>) {
        match event {
            DispatchEvent::View(view) => self.view = view,
            DispatchEvent::Arrived(intake) => {
                let ticket = intake.ticket;
                self.open.insert(ticket, (*intake, 0));
                self.send(ticket, out);
            }
            DispatchEvent::AttemptEnded(report) => self.send(report.ticket, out),
            DispatchEvent::Completed(ticket, ..) | DispatchEvent::CallerLeft(ticket) => {
                self.open.remove(&ticket);
            }
            _ => {}
        }
    }

    fn send(&mut self, ticket: u64, out: &mut Vec<DispatchAction>) {
        let Some((intake, attempts)) = self.open.get_mut(&ticket) else {
            return;
        };
        let serving: Vec<&GroupEntry> = self
            .view
            .groups
            .values()
            .filter(|entry| entry.state == GroupState::Serving)
            .collect();
        if *attempts > RETRIES || serving.is_empty() {
            let detail = "all attempts failed";
            let refusal = Refusal::new(RefusalReason::Interrupted, Execution::Unknown, detail);
            self.open.remove(&ticket);
            out.push(DispatchAction::Refuse(ticket, refusal));
            return;
        }
        *attempts += 1;
        self.turn += 1;
        let entry = serving[self.turn % serving.len()];
        out.push(DispatchAction::Start(AttemptOrder {
            ticket,
            attempt: format!("{ticket}-{attempts}"),
            target: AttemptTarget::Group(entry.id.clone(), entry.epoch),
            address: entry.members[0].address,
            deadline: intake.deadline,
            priority: intake.priority,
        }));
    }
}
