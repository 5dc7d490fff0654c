use {
    super::{CallFailures, GroupKey, OrderBody},
    crate::core::fleet::{BackendEntry, EngineMembership},
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of a server record in the formation manager.
    pub struct ServerKey;
}

value_type! {
    /// An order that was sent to a server and has no outcome yet.
    pub struct PendingOrder {
        /// Number under which the outcome is reported.
        pub number: u64,
        /// Instruction for the engine.
        pub body: OrderBody,
        /// When it was sent, on the monotonic clock.
        pub sent_at: Duration,
    }

    /// One start of an engine as the formation manager knows it.
    pub struct FormationServer {
        /// Identifier in the fleet entry; a restarted engine may have the same.
        pub id: String,
        /// Address for orders and probes.
        pub address: SocketAddr,
        /// Fabric domain; all members of a group are in the same one.
        pub fabric: String,
        /// Start time in Unix milliseconds; tells apart starts with the same identifier.
        pub born_ms: u64,
        /// True while the fleet has its entry and no later start has replaced it.
        pub present: bool,
        /// True when the engine takes no new work, as in a planned stop.
        pub leaving: bool,
        /// Group membership that the engine reported last.
        pub membership: Option<EngineMembership>,
        /// Models whose weights are on its host.
        pub staged: Vec<String>,
        /// Model of the last group that it was seen in since its start; it joins a group of this
        /// model fastest.
        pub last_model: Option<String>,
        /// Group that the manager has assigned it to.
        pub group: Option<GroupKey>,
        /// Group and epoch that it left last; its fleet entry may lag and still show them.
        pub last_left: Option<(String, u64)>,
        /// Order without an outcome yet; a server has at most one.
        pub pending_order: Option<PendingOrder>,
        /// Earliest time of the next order.
        pub next_order_at: Duration,
        /// Model that its host loads, and when the load was ordered.
        pub staging: Option<(String, Duration)>,
        /// Calls that failed since the last answer.
        pub failures: CallFailures,
        /// True while the result of a probe is pending.
        pub probing: bool,
        /// Time until which the server gets no orders and no probes, because it asked for a pause.
        pub quiet_until: Duration,
        /// Earliest time of the next probe while the server is unreachable or has no
        /// fleet entry.
        pub next_probe_at: Duration,
    }
}

impl FormationServer {
    /// Creates the record of a server from its fleet entry.
    #[must_use]
    pub fn new(entry: &BackendEntry) -> Self {
        let mut server = Self {
            id: entry.id.clone(),
            address: entry.address,
            fabric: entry.fabric.clone(),
            born_ms: entry.born_ms,
            present: true,
            leaving: entry.leaving,
            membership: None,
            staged: Vec::new(),
            last_model: None,
            group: None,
            last_left: None,
            pending_order: None,
            next_order_at: Duration::ZERO,
            staging: None,
            failures: CallFailures::default(),
            probing: false,
            quiet_until: Duration::ZERO,
            next_probe_at: Duration::ZERO,
        };
        server.update(entry);
        server
    }

    /// Updates the record from a newer entry of the same start of the server.
    pub fn update(&mut self, entry: &BackendEntry) {
        self.present = true;
        self.address = entry.address;
        self.leaving = entry.leaving;
        self.membership.clone_from(&entry.membership);
        self.staged.clone_from(&entry.staged);
        let staged = &self.staged;
        if let Some((model, _)) = &self.staging
            && staged.contains(model)
        {
            self.staging = None;
        }
        if let Some(model) = &entry.model
            && entry.membership.is_some()
        {
            self.last_model = Some(model.clone());
        }
    }

    /// True when the failed calls show that the server no longer serves its group.
    #[must_use]
    pub const fn is_unreachable(&self) -> bool {
        self.failures.show_loss()
    }

    /// True when the server is listed, reachable and not about to leave.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.present && !self.leaving && !self.is_unreachable()
    }

    /// True when the server reports a group that it is not known to have left.
    #[must_use]
    pub fn is_member(&self) -> bool {
        let Some(member) = &self.membership else {
            return false;
        };
        let last_left = self.last_left.as_ref();
        last_left.is_none_or(|(group, epoch)| *group != member.group || *epoch != member.epoch)
    }

    /// True when the server reports this group and epoch.
    #[must_use]
    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.group == group && member.epoch == epoch)
    }
}
