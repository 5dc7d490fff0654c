use {
    std::{collections::HashMap, sync::Arc, time::Duration},
    toucanring::{
        core::{
            dispatch::{
                AttemptOrder, AttemptTarget, DeskAction, DeskEvent, Refusal, RefusalReason,
                RequestIntake,
            },
            view::ClusterView,
        },
        wire::{Execution, GroupEntry, GroupState},
    },
};

/// Immediate retries of anything.
const RETRIES: u32 = 3;

/// Simple request desk: groups in turn, no queue, no limits, no claims, and
/// three immediate retries.
#[derive(Debug, Default)]
pub struct NaiveDesk {
    view: Arc<ClusterView>,
    turn: usize,
    open: HashMap<u64, (RequestIntake, u32)>,
}

impl NaiveDesk {
    /// Takes one event and appends the actions that follow from it.
    pub fn step(&mut self, _now: Duration, event: DeskEvent, out: &mut Vec<DeskAction>) {
        match event {
            DeskEvent::View(view) => self.view = view,
            DeskEvent::Arrived(intake) => {
                let ticket = intake.ticket;
                self.open.insert(ticket, (*intake, 0));
                self.send(ticket, out);
            }
            DeskEvent::AttemptEnded(report) => self.send(report.ticket, out),
            DeskEvent::Completed(ticket, ..) | DeskEvent::CallerLeft(ticket) => {
                self.open.remove(&ticket);
            }
            _ => {}
        }
    }

    fn send(&mut self, ticket: u64, out: &mut Vec<DeskAction>) {
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
            out.push(DeskAction::Refuse(ticket, refusal));
            return;
        }
        *attempts += 1;
        self.turn += 1;
        let entry = serving[self.turn % serving.len()];
        out.push(DeskAction::Start(AttemptOrder {
            ticket,
            attempt: format!("{ticket}-{attempts}"),
            target: AttemptTarget::Group(entry.id.clone(), entry.epoch),
            address: entry.members[0].address,
            deadline: intake.deadline,
            priority: intake.priority,
        }));
    }
}
