use {
    super::{CallFailures, GroupKey, OrderBody},
    crate::core::{
        fleet::{EngineMembership, KnownEntry},
        store::StoreVersion,
    },
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

    /// A group that a server is not in, by its answer to an order to leave.
    pub struct LeftGroup {
        /// Name of the group.
        pub name: String,
        /// Epoch of the group.
        pub epoch: u64,
        /// Time of the answer.
        pub at: Duration,
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
        /// True while the fleet has its entry, no later start has replaced it, and no other server
        /// has answered at its address since its last row.
        pub present: bool,
        /// True when the engine takes no new work, as in a planned stop.
        pub leaving: bool,
        /// Version of the row that the record was updated from last.
        pub row_version: StoreVersion,
        /// Group membership that the engine stated last: in its entry, in a report, or by the answer
        /// to an order to leave.
        pub membership: Option<EngineMembership>,
        /// Models whose weights are on its host.
        pub staged: Vec<String>,
        /// Model of the last group that it was seen in since its start; it joins a group of this
        /// model fastest.
        pub last_model: Option<String>,
        /// Group that the manager has assigned it to.
        pub group: Option<GroupKey>,
        /// Name and epoch of the group to which the manager has assigned it last.
        pub last_group: Option<(String, u64)>,
        /// Group that it said last that it is not in.
        pub last_left: Option<LeftGroup>,
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
    pub fn new(known: &KnownEntry) -> Self {
        let entry = &known.entry;
        let mut server = Self {
            id: entry.id.clone(),
            address: entry.address,
            fabric: entry.fabric.clone(),
            born_ms: entry.born_ms,
            present: true,
            leaving: entry.leaving,
            row_version: StoreVersion::default(),
            membership: None,
            staged: Vec::new(),
            last_model: None,
            group: None,
            last_group: None,
            last_left: None,
            pending_order: None,
            next_order_at: Duration::ZERO,
            staging: None,
            failures: CallFailures::default(),
            probing: false,
            quiet_until: Duration::ZERO,
            next_probe_at: Duration::ZERO,
        };
        server.update(known);
        server
    }

    /// Updates the record from an entry of the same start of the server. What the server has
    /// stated since a row that is known already is newer than the row.
    pub fn update(&mut self, known: &KnownEntry) {
        let entry = &known.entry;
        self.address = entry.address;
        self.leaving = entry.leaving;
        if known.version <= self.row_version {
            return;
        }
        self.row_version = known.version;
        self.present = true;
        self.membership.clone_from(&entry.membership);
        self.staged.clone_from(&entry.staged);
        if let Some(model) = &entry.model
            && entry.membership.is_some()
        {
            self.last_model = Some(model.clone());
        }
    }

    /// Model and time of the order of a load that has ended: the host holds the weights.
    pub(super) fn take_finished_load(&mut self) -> Option<(String, Duration)> {
        let staged = &self.staged;
        self.staging.take_if(|(model, _)| staged.contains(model))
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

    /// The membership that the server states, if it is one of another group.
    #[must_use]
    pub fn group_other_than(&self, group: &str, epoch: u64) -> Option<EngineMembership> {
        let stated = self.membership.as_ref();
        let other = stated.filter(|stated| stated.group != group || stated.epoch != epoch);
        other.cloned()
    }

    /// Records the answer of the server that it is not in a group. A later row or report that names
    /// the group again is newer: a join of the group may have been carried out late.
    pub fn note_left(&mut self, now: Duration, name: &str, epoch: u64) {
        if self.is_in(name, epoch) {
            self.membership = None;
        }
        self.last_left = Some(LeftGroup {
            name: name.to_owned(),
            epoch,
            at: now,
        });
    }

    /// True when the server said less than `time` ago that it is not in this group.
    #[must_use]
    pub fn has_just_left(&self, now: Duration, name: &str, epoch: u64, time: Duration) -> bool {
        self.last_left
            .as_ref()
            .is_some_and(|left| left.name == name && left.epoch == epoch && now < left.at + time)
    }

    /// True when the server reports this group and epoch.
    #[must_use]
    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.group == group && member.epoch == epoch)
    }
}
