use {
    super::PlatformClient,
    crate::{
        core::view::ClusterView,
        wire::{ControllerBeat, GroupEntry, SuspectEntry, UsageEntry},
    },
    slog::Logger,
    std::{sync::Arc, time::Instant},
    tokio::sync::{mpsc, watch},
};

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

/// What every process of the system has: logs, platform access and the
/// exchange with its peers.
#[derive(Debug, Clone)]
pub struct NodeRuntime {
    /// Root logger.
    pub logger: Logger,
    /// Origin of monotonic time in events.
    pub started: Instant,
    /// Platform client.
    pub platform: PlatformClient,
    /// Newest snapshot of configuration, groups and peers.
    pub view: watch::Receiver<Arc<ClusterView>>,
    /// Queue of updates for the peers; bounded.
    pub updates: mpsc::Sender<LocalUpdate>,
}
