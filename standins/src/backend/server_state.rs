use {
    std::net::SocketAddr,
    tokio::time::Instant,
    toucanring::wire::{FencingNumber, GroupMembership, InstanceState, LoadReport, LoadedShard},
};

/// Changing state of a backend server.
#[derive(Debug, Default)]
pub struct ServerState {
    /// Changes with each start.
    pub incarnation: u64,
    /// Place in a group.
    pub membership: Option<GroupMembership>,
    /// Addresses of all members, by rank.
    pub members: Vec<SocketAddr>,
    /// Shard in the accelerators, complete when `bytes_left` is 0.
    pub shard: Option<LoadedShard>,
    /// Bytes still to be loaded.
    pub bytes_left: u64,
    /// Changes when a running load is to stop.
    pub load_generation: u64,
    /// When the server announced that it is leaving.
    pub leaving_since: Option<Instant>,
    /// Highest fencing number accepted.
    pub fencing: FencingNumber,
    /// Engine crashes.
    pub crashes: u32,
    /// Factor on all times of the engine.
    pub slow_factor: f64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Prompt tokens still to be prefilled.
    pub queued_tokens: u64,
    /// Load as published last.
    pub published: Option<(Instant, LoadReport)>,
    /// Calls of plain services that ran.
    pub plain_runs: u64,
    /// Attempt and digest of the last stream, the source of late chunks.
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
    /// What the instance is doing.
    #[must_use]
    pub const fn instance_state(&self) -> InstanceState {
        match (&self.membership, self.bytes_left) {
            (None, _) => InstanceState::Free,
            (Some(_), 0) => InstanceState::Ready,
            (Some(_), _) => InstanceState::Loading,
        }
    }

    /// Forgets group, shard and fencing number, as a restart does.
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

/// Uses up one unit of a counted fault; true when there was one.
pub const fn take_one(counter: &mut u32) -> bool {
    let present = *counter > 0;
    *counter = counter.saturating_sub(1);
    present
}
