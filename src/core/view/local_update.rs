use crate::wire::{ControllerHeartbeat, GroupEntry, SuspectEntry, UsageEntry};

/// An update that originates in this process and is sent to its peers.
#[derive(Debug, Clone, PartialEq)]
pub enum LocalUpdate {
    /// Changed group entries, sent by the lease holder of their failure domain.
    Groups(Vec<GroupEntry>),
    /// Heartbeat of this process as lease holder.
    Controller(ControllerHeartbeat),
    /// Usage of each client account on this gateway over the last second.
    Usage(Vec<UsageEntry>),
    /// Requests that this gateway suspects of crashing replica groups, or has cleared.
    Suspects(Vec<SuspectEntry>),
    /// Whether this process considers itself ready; without a configuration it is reported as not
    /// ready all the same.
    Ready(bool),
}
