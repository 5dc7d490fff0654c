use {
    super::BackendServer,
    std::sync::Arc,
    toucanring::wire::{GroupId, InstanceState},
};

/// The members of a group when a request arrived. The request runs only while all of them are up
/// with the same incarnation, group, epoch and rank.
#[derive(Debug, Clone)]
pub struct GroupSnapshot {
    /// Group that the request named.
    pub group: GroupId,
    /// Epoch of the group that the request named.
    pub epoch: u64,
    /// Members by rank, with the incarnation that each had.
    pub members: Vec<(Arc<BackendServer>, u64)>,
}

impl GroupSnapshot {
    /// True while every member is up, ready and holds its rank in the group.
    #[must_use]
    pub fn is_current(&self) -> bool {
        for (rank, (server, incarnation)) in self.members.iter().enumerate() {
            let state = server.lock();
            let holds_rank = state.membership.as_ref().is_some_and(|membership| {
                membership.group == self.group
                    && membership.epoch == self.epoch
                    && membership.rank as usize == rank
            });
            if server.live_incarnation() != Some(*incarnation)
                || !holds_rank
                || state.instance_state() != InstanceState::Ready
            {
                return false;
            }
        }
        true
    }

    /// Factor on prefill and decode times: that of the slowest member.
    #[must_use]
    pub fn slow_factor(&self) -> f64 {
        let factors = self
            .members
            .iter()
            .map(|(server, _)| server.lock().slow_factor);
        factors.fold(0.01, f64::max)
    }

    /// Waits for each member in turn until it is not paused.
    pub async fn wait_unpaused(&self) {
        for (server, _) in &self.members {
            server.pause_gate.wait_open().await;
        }
    }
}
