use {
    super::BackendServer,
    std::sync::Arc,
    toucanring::wire::{GroupId, InstanceState},
};

/// The members of a group at the start of a request; the request runs only
/// while all of them are up with the same incarnation, group and epoch.
#[derive(Debug, Clone)]
pub struct GroupLease {
    /// Group of the request.
    pub group: GroupId,
    /// Epoch of the request.
    pub epoch: u64,
    /// Members by rank, with their incarnation.
    pub members: Vec<(Arc<BackendServer>, u64)>,
}

impl GroupLease {
    /// True while every member is up and in its place.
    #[must_use]
    pub fn holds(&self) -> bool {
        for (rank, (server, incarnation)) in self.members.iter().enumerate() {
            let state = server.lock();
            let in_place = state.membership.as_ref().is_some_and(|membership| {
                membership.group == self.group
                    && membership.epoch == self.epoch
                    && membership.rank as usize == rank
            });
            if server.up() != Some(*incarnation)
                || !in_place
                || state.instance_state() != InstanceState::Ready
            {
                return false;
            }
        }
        true
    }

    /// Factor on the step time: that of the slowest member.
    #[must_use]
    pub fn slow_factor(&self) -> f64 {
        let factors = self
            .members
            .iter()
            .map(|(server, _)| server.lock().slow_factor);
        factors.fold(0.01, f64::max)
    }

    /// Waits while any member is paused.
    pub async fn pass_pauses(&self) {
        for (server, _) in &self.members {
            server.pause.pass().await;
        }
    }
}
