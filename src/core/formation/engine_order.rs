value_type! {
    /// What happens to the requests of a group that is closed.
    #[derive(Copy, Eq)]
    pub enum CloseMode {
        /// Accepted requests are finished.
        Finish,
        /// Running requests are cut off.
        Cut,
    }

    /// What an engine is told to do.
    #[derive(Eq)]
    pub enum OrderBody {
        /// Become a member of a group; replaces any other membership.
        Join {
            /// Group name.
            group: String,
            /// Epoch of the group.
            epoch: u64,
            /// Model that the group serves.
            model: String,
            /// Identifiers of all members, the head first.
            members: Vec<String>,
        },
        /// Start serving; for the head of a group.
        Open {
            /// Group name.
            group: String,
            /// Epoch of the group.
            epoch: u64,
        },
        /// Stop serving; for the head of a group.
        Close {
            /// Group name.
            group: String,
            /// Epoch of the group.
            epoch: u64,
            /// What happens to its requests.
            mode: CloseMode,
        },
        /// Leave the group at once.
        Leave {
            /// Group name.
            group: String,
            /// Epoch of the group.
            epoch: u64,
        },
        /// Load the weights of a model onto the host.
        Stage {
            /// Model name.
            model: String,
        },
    }

    /// An order under a lease.
    #[derive(Eq)]
    pub struct EngineOrder {
        /// Term of the lease; engines refuse a lower one than they have seen.
        pub fence: u64,
        /// What to do.
        pub body: OrderBody,
    }

    /// What became of an order.
    #[derive(Copy, Eq)]
    pub enum OrderOutcome {
        /// The engine has begun it.
        Begun,
        /// The state holds already, or the order is done.
        Done,
        /// It does not fit the state of the engine.
        Unfit,
        /// The engine has seen a higher term or epoch.
        Outranked,
        /// Another server has the address now.
        OtherServer,
        /// The engine does not know such an order, or answered something else.
        Rejected,
        /// No connection; the order was not given.
        Unreachable,
        /// No answer; the order may be carried out, now or later.
        Unanswered,
    }
}

impl OrderBody {
    /// Name in logs and counters.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }

    /// The group and epoch that the order names.
    #[must_use]
    pub fn group(&self) -> Option<(&str, u64)> {
        match self {
            Self::Join { group, epoch, .. }
            | Self::Open { group, epoch }
            | Self::Close { group, epoch, .. }
            | Self::Leave { group, epoch } => Some((group, *epoch)),
            Self::Stage { .. } => None,
        }
    }
}
