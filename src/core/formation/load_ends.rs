//! Ends of the loads of weights: a host reports the weights, or does not do so in time.

use {
    super::{FormationAction, FormationManager, FormationServer},
    std::time::Duration,
};

/// Timeout of a staging order as a multiple of the slowest load time; loads that
/// share the weight store take longer than one load alone.
const STAGING_TIMEOUT_FACTOR: u32 = 3;

impl FormationManager {
    /// Ends the loads whose weights the hosts hold now.
    pub(super) fn finish_loads(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        for record in self.servers.values_mut() {
            if let Some(load) = record.take_finished_load() {
                out.push(load_ended(now, record, load, true));
            }
        }
    }

    /// Drops staging marks of loads that the host never reported: the order was not carried out.
    /// The planner stages the host again if the weights are still needed.
    pub(super) fn expire_staging(&mut self, now: Duration, out: &mut Vec<FormationAction>) {
        let slowest = self.profile.models.iter().map(|model| model.load).max();
        let limit = slowest.unwrap_or_default() * STAGING_TIMEOUT_FACTOR;
        for record in self.servers.values_mut() {
            let late = |staging: &mut (String, Duration)| now >= staging.1 + limit;
            if let Some(load) = record.staging.take_if(late) {
                out.push(load_ended(now, record, load, false));
            }
        }
    }
}

fn load_ended(
    now: Duration,
    record: &FormationServer,
    (model, ordered_at): (String, Duration),
    is_finished: bool,
) -> FormationAction {
    FormationAction::LoadEnded {
        server: record.id.clone(),
        model,
        is_finished,
        took: now.saturating_sub(ordered_at),
    }
}
