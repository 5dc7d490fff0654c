use std::net::SocketAddr;

wire_type! {
    /// Where an engine stands in its replica group.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// Loads the model or waits for it.
        Joining,
        /// Holds the model.
        Ready,
        /// Leads the group and accepts requests.
        Open,
        /// Leads the group and finishes what it has accepted.
        Closing,
        /// Lost a member and accepts nothing.
        Broken,
    }

    /// Membership of an engine in a replica group.
    #[derive(Eq)]
    pub struct EngineMembership {
        /// Name of the group.
        pub group: String,
        /// Epoch of the group; it grows over all holders of the lease.
        pub epoch: u64,
        /// Position in the list of members; rank 0 is the head.
        pub rank: u32,
        /// State of this member.
        pub state: MemberState,
    }

    /// What a backend server says of itself in the store.
    #[derive(Eq)]
    pub struct BackendEntry {
        /// Identifier of this life of the server.
        pub id: String,
        /// Service that it runs.
        pub service: String,
        /// Address for requests and orders.
        pub address: SocketAddr,
        /// Failure domain.
        pub failure_domain: String,
        /// True when it takes no new work.
        pub leaving: bool,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Unix milliseconds of its start; 0 when it does not say.
        pub born_ms: u64,
        /// Fabric domain; empty for plain services.
        pub fabric: String,
        /// Models whose weights lie on its host.
        pub staged: Vec<String>,
        /// Model in its accelerators.
        pub model: Option<String>,
        /// Its replica group.
        pub membership: Option<EngineMembership>,
    }
}

impl BackendEntry {
    /// True when the server leads an open group.
    #[must_use]
    pub fn leads_open_group(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.rank == 0 && member.state == MemberState::Open)
    }

    /// True when the server is a member of this group and epoch.
    #[must_use]
    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.group == group && member.epoch == epoch)
    }
}
