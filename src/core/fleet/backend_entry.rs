use std::net::SocketAddr;

wire_type! {
    /// State of an engine as a member of its replica group.
    #[derive(Copy, Eq)]
    pub enum MemberState {
        /// The engine loads the model or waits for it.
        Joining,
        /// The model is loaded.
        Ready,
        /// The engine is the head of the group and accepts requests.
        Open,
        /// The engine is the head of the group and finishes the requests it has accepted, but
        /// accepts no new ones.
        Closing,
        /// The group has lost a member and accepts no requests.
        Broken,
    }

    /// Membership of an engine in a replica group.
    #[derive(Eq)]
    pub struct EngineMembership {
        /// Name of the group.
        pub group: String,
        /// Epoch of the group, set by the lease holder that formed it. It grows with each formed
        /// group, also across changes of the lease holder.
        pub epoch: u64,
        /// Position in the list of members, from 0; the member of rank 0 is the head, which accepts
        /// the requests of the group.
        pub rank: u32,
        /// State of this member, which may differ from that of the others.
        pub state: MemberState,
    }

    /// Entry that a backend server writes about itself in the store.
    #[derive(Eq)]
    pub struct BackendEntry {
        /// Identifier of the server: the key of its row in the store.
        pub id: String,
        /// Name of the service that the server runs.
        pub service: String,
        /// Address to which requests and orders are sent.
        pub address: SocketAddr,
        /// Failure domain in which the server runs.
        pub failure_domain: String,
        /// True when the server is draining and accepts no new requests.
        pub leaving: bool,
        /// Number of requests that the server can run at once.
        pub slots: u32,
        /// Start time of the process in Unix milliseconds; 0 when the entry does not have it. A
        /// change means that the server was restarted.
        pub born_ms: u64,
        /// Fabric domain of the accelerators; empty for plain services.
        pub fabric: String,
        /// Models whose weights are stored on its host.
        pub staged: Vec<String>,
        /// Model loaded into its accelerators; none when no model is loaded.
        pub model: Option<String>,
        /// Place of the server in a replica group; none while it belongs to no group.
        pub membership: Option<EngineMembership>,
        /// Number that rises with each entry that the server writes, from its start; 0 when the
        /// entry does not have it.
        pub write_count: u64,
        /// Milliseconds for which the server stays cold from the time at which the entry is
        /// received; none when the entry does not state it.
        pub cold_left_ms: Option<u32>,
    }
}

impl BackendEntry {
    /// True when the later entry `other` says the same, whenever both were written. A remaining cold
    /// time that has not grown is the same one, which counts down.
    #[must_use]
    pub fn has_content_of(&self, other: &Self) -> bool {
        if self.cold_left_ms.unwrap_or(0) < other.cold_left_ms.unwrap_or(0) {
            return false;
        }
        let rewritten = Self {
            write_count: other.write_count,
            cold_left_ms: other.cold_left_ms,
            ..self.clone()
        };
        rewritten == *other
    }

    /// Start of the server and number of the entry, by which the entries that a server has written
    /// are ordered without the store.
    #[must_use]
    pub const fn written_as(&self) -> (u64, u64) {
        (self.born_ms, self.write_count)
    }

    /// True when the server is the head of a group that accepts requests.
    #[must_use]
    pub fn leads_open_group(&self) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.rank == 0 && member.state == MemberState::Open)
    }

    /// True when the server is a member of `group` in exactly this epoch.
    #[must_use]
    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.group == group && member.epoch == epoch)
    }
}
