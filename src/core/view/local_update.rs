use crate::wire::{ControllerBeat, GroupEntry, SuspectEntry, UsageEntry};

/// What a process tells its peers.
#[derive(Debug, Clone, PartialEq)]
pub enum LocalUpdate {
    /// Changed entries of the group view, from the lease holder.
    Groups(Vec<GroupEntry>),
    /// Heartbeat of the lease holder.
    Controller(ControllerBeat),
    /// Account usage of this gateway over the last second.
    Usage(Vec<UsageEntry>),
    /// Suspect requests seen by this gateway.
    Suspects(Vec<SuspectEntry>),
    /// Whether this process is ready.
    Ready(bool),
}
