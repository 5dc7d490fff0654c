use {
    super::{GroupKey, OrderBody},
    crate::core::fleet::{BackendEntry, EngineMembership},
    std::{net::SocketAddr, time::Duration},
};

slotmap::new_key_type! {
    /// Key of a server in the formation keeper.
    pub struct ServerKey;
}

/// Failed calls in a row after which a server counts as unreachable.
const FAILURES_TO_UNREACHABLE: u32 = 2;

value_type! {
    /// An order that has no outcome yet, or that has to be given again.
    pub struct OpenOrder {
        /// Number of the order.
        pub number: u64,
        /// What to do.
        pub body: OrderBody,
        /// When it was given.
        pub sent_at: Duration,
    }

    /// An engine as the formation keeper knows it.
    pub struct FormationServer {
        /// Identifier.
        pub id: String,
        /// Address for orders.
        pub address: SocketAddr,
        /// Fabric domain.
        pub fabric: String,
        /// Unix milliseconds of its start.
        pub born_ms: u64,
        /// True while its entry is in the list.
        pub present: bool,
        /// True when it is about to leave.
        pub leaving: bool,
        /// Group that it says to be in.
        pub membership: Option<EngineMembership>,
        /// Models whose weights lie on its host.
        pub staged: Vec<String>,
        /// Model of its last group since its start; it joins such a group fastest.
        pub last_model: Option<String>,
        /// Group that the keeper has put it into.
        pub group: Option<GroupKey>,
        /// Group and epoch that it was seen to leave last; entries may show it there still.
        pub left: Option<(String, u64)>,
        /// The order that is under way.
        pub order: Option<OpenOrder>,
        /// When the next order may be given.
        pub next_order: Duration,
        /// Model that it stages, and since when.
        pub staging: Option<(String, Duration)>,
        /// Failed calls in a row, and the time of the first.
        pub failures: u32,
        /// Time of the first failed call in a row.
        pub failing_since: Duration,
        /// True while a probe is under way.
        pub probing: bool,
        /// When an unreachable server is probed again.
        pub next_probe: Duration,
    }
}

impl FormationServer {
    /// Creates the record of a server from its entry.
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
            left: None,
            order: None,
            next_order: Duration::ZERO,
            staging: None,
            failures: 0,
            failing_since: Duration::ZERO,
            probing: false,
            next_probe: Duration::ZERO,
        };
        server.update(entry);
        server
    }

    /// Takes a newer entry of the same life.
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

    /// True when calls to the server fail.
    #[must_use]
    pub const fn is_unreachable(&self) -> bool {
        self.failures >= FAILURES_TO_UNREACHABLE
    }

    /// Notes a call without an answer.
    pub fn note_failure(&mut self, now: Duration) {
        if self.failures == 0 {
            self.failing_since = now;
        }
        self.failures += 1;
    }

    /// Notes an answer.
    pub const fn note_answer(&mut self) {
        self.failures = 0;
    }

    /// True when the server can be put into a group.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.present && !self.leaving && !self.is_unreachable()
    }

    /// True when the server is in a group that it was not seen to leave.
    #[must_use]
    pub fn is_member(&self) -> bool {
        let Some(member) = &self.membership else {
            return false;
        };
        let left = self.left.as_ref();
        left.is_none_or(|(group, epoch)| *group != member.group || *epoch != member.epoch)
    }

    /// True when the server says to be in this group.
    #[must_use]
    pub fn is_in(&self, group: &str, epoch: u64) -> bool {
        self.membership
            .as_ref()
            .is_some_and(|member| member.group == group && member.epoch == epoch)
    }
}
