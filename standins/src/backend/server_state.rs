use {
    std::net::SocketAddr,
    tokio::time::Instant,
    toucanring::wire::{FencingNumber, GroupMembership, InstanceState, LoadReport, LoadedShard},
};

/// Mutable state of a backend server, with the faults in force.
#[derive(Debug, Default)]
pub struct ServerState {
    /// Unix time in seconds at the start of the process, plus 1 for each restart of the server.
    pub incarnation: u64,
    /// Place in a group.
    pub membership: Option<GroupMembership>,
    /// Addresses of all members, by rank.
    pub members: Vec<SocketAddr>,
    /// Shard in the accelerators, loaded completely when `bytes_left` is 0.
    pub shard: Option<LoadedShard>,
    /// Bytes of the shard still to be loaded.
    pub bytes_left: u64,
    /// Number of the current load; a load with another number stops.
    pub load_generation: u64,
    /// When `BackendFault::Leaving` was set; `None` while the server is not leaving.
    pub leaving_since: Option<Instant>,
    /// Highest fencing number of an accepted order; stays at its default without checks.
    pub fencing: FencingNumber,
    /// Crashes by a crash marker since the start of the process.
    pub crashes: u32,
    /// Factor on prefill and decode times; see [`super::BackendFault::Straggle`].
    pub slow_factor: f64,
    /// Requests that hold a slot of the batch.
    pub running: u32,
    /// Requests that wait for a slot of the batch.
    pub waiting: u32,
    /// Tokens of the prompts that are not prefilled yet.
    pub queued_tokens: u64,
    /// Load figures of the last report, with the time when they were taken.
    pub published: Option<(Instant, LoadReport)>,
    /// Calls of plain services that started since the start of the process.
    pub plain_runs: u64,
    /// Attempt and answer digest of the last run, from which late chunks are made.
    pub last_attempt: Option<(String, u64)>,
    /// See [`super::BackendFault::CrashMarker`].
    pub crash_marker: Option<String>,
    /// See [`super::BackendFault::DelayAnswers`].
    pub delay_answers_ms: u64,
    /// See [`super::BackendFault::DelayOrders`].
    pub delay_orders_ms: u64,
    /// See [`super::BackendFault::LateChunks`].
    pub late_chunks: u32,
    /// See [`super::BackendFault::OutOfOrder`].
    pub out_of_order: u32,
    /// See [`super::BackendFault::LoseAnswers`].
    pub lose_answers: u32,
}

impl ServerState {
    /// State of the instance, as its report shows it.
    #[must_use]
    pub const fn instance_state(&self) -> InstanceState {
        match (&self.membership, self.bytes_left) {
            (None, _) => InstanceState::Free,
            (Some(_), 0) => InstanceState::Ready,
            (Some(_), _) => InstanceState::Loading,
        }
    }

    /// Starts a new incarnation without group, shard, fencing number or leaving notice.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.membership = None;
        self.members.clear();
        self.shard = None;
        self.bytes_left = 0;
        self.load_generation += 1;
        self.leaving_since = None;
        self.fencing = FencingNumber::default();
        self.published = None;
        self.last_attempt = None;
    }
}

/// Decrements the counter of a fault; true when the fault applies, that is, it was not 0.
pub const fn consume_fault(counter: &mut u32) -> bool {
    let applies = *counter > 0;
    *counter = counter.saturating_sub(1);
    applies
}
