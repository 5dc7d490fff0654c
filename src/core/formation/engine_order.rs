value_type! {
    /// How the requests of a group end when the group is closed.
    #[derive(Copy, Eq)]
    pub enum CloseMode {
        /// The head finishes the requests that it has accepted, queued ones included.
        Finish,
        /// The head cuts off running requests.
        Cut,
    }

    /// Instruction to an engine, without the term of the lease.
    #[derive(Eq)]
    pub enum OrderBody {
        /// Joins a group; replaces any other membership.
        Join {
            /// Group name, `<failure domain>-<epoch>`.
            group: String,
            /// Epoch of the group; engines refuse one lower than they have seen.
            epoch: u64,
            /// Model that the group serves.
            model: String,
            /// Identifiers of all members, the head first.
            members: Vec<String>,
        },
        /// Starts to accept requests; sent to the head of a group.
        Open {
            /// Group name, `<failure domain>-<epoch>`.
            group: String,
            /// Epoch of the group; engines refuse one lower than they have seen.
            epoch: u64,
        },
        /// Stops accepting requests; sent to the head of a group.
        Close {
            /// Group name, `<failure domain>-<epoch>`.
            group: String,
            /// Epoch of the group; engines refuse one lower than they have seen.
            epoch: u64,
            /// How its accepted requests end.
            mode: CloseMode,
        },
        /// Leaves the group at once.
        Leave {
            /// Group name, `<failure domain>-<epoch>`.
            group: String,
            /// Epoch of the group; engines refuse one lower than they have seen.
            epoch: u64,
        },
        /// Loads the weights of a model from the weight store onto the host.
        Stage {
            /// Name of the model to load.
            model: String,
        },
    }

    /// An order with its fencing number.
    #[derive(Eq)]
    pub struct EngineOrder {
        /// Identifier of the engine. Another server that has taken over its address refuses the
        /// order.
        pub server: String,
        /// Term of the lease and number of the order; engines refuse a lower one than they have
        /// seen, and so refuse an order that comes after newer ones.
        pub fence: u64,
        /// Instruction for the engine.
        pub body: OrderBody,
    }

    /// Answer to an order, or the way in which the call failed.
    #[derive(Copy, Eq)]
    pub enum OrderOutcome {
        /// The engine has accepted the order and carries it out.
        Begun,
        /// The order is complete, or the engine was already in that state.
        Done,
        /// The order does not fit the state of the engine, such as a group that it is not in.
        Unfit,
        /// The engine has seen a higher term or epoch.
        Outranked,
        /// Another server has this address now.
        OtherServer,
        /// The engine does not know this order, or gave an unexpected answer.
        Rejected,
        /// The engine asked for a pause and did not carry out the order.
        Deferred,
        /// The connection failed; the engine has not received the order.
        Unreachable,
        /// No answer arrived; the engine may carry out the order now or later.
        Unanswered,
    }
}

impl OrderBody {
    /// Name of the order in log lines and counters.
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

    /// Group and epoch of the order; none for a load, which concerns only the host.
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
